"""The defaults of stream versions are changed only on a recent view."""

import asyncio
from unittest.mock import AsyncMock, Mock

from buckthornstile.base import ServiceName, SoftwareVersion, UpstreamId
from buckthornstile.gateway._stream_defaults import StreamDefaults
from buckthornstile.stream_versions import (
    RouteDefault,
    RoutePrefix,
    StreamVersionTable,
    encode_route_key,
)
from buckthornstile.topology import TopologyView, Upstream

ROUTE = RoutePrefix("mill.example/notes/")


class Setup:
    """Defaults at the lease holder, with a clock and a staleness that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.staleness = 0.1
        self.store = Mock(append=AsyncMock())
        self.view = TopologyView()
        route = Mock(
            host="mill.example",
            path_prefix="/notes/",
            is_streaming=True,
            is_resumable=True,
            services=(("models", 1.0),),
        )
        self.view.configuration = Mock(routes=[route])
        table = StreamVersionTable()
        default = RouteDefault(ROUTE, SoftwareVersion("v1"))
        table.apply_default(encode_route_key(ROUTE), default, self.now)
        self.defaults = StreamDefaults(
            self.store,
            self.view,
            table,
            Mock(is_caught_up=True, end_offset=3),
            clock=lambda: self.now,
            get_view_staleness=lambda: self.staleness,
            is_holder=lambda: True,
            list_entries=lambda: [],
        )

    def set_version(self, version: str) -> None:
        """Registers one upstream, of a version."""
        self.view.upstreams = {
            UpstreamId("m1"): Upstream(
                UpstreamId("m1"),
                ServiceName("models"),
                "127.0.0.1",
                9000,
                "a",
                8,
                software_version=SoftwareVersion(version),
            )
        }

    def step(self, seconds: float) -> None:
        self.now += seconds
        asyncio.run(self.defaults.observe_and_change())


def test_default_is_not_retired_while_the_registrations_are_not_read() -> None:
    """A version counted as absent for as long as the holder could not see it."""
    setup = Setup()
    setup.set_version("v1")
    setup.step(0.2)
    setup.set_version("v2")
    setup.step(0.2)
    setup.staleness = 20.0
    setup.step(20.0)
    assert not setup.store.append.called
    setup.staleness = 0.1
    setup.set_version("v1")
    setup.step(0.2)
    assert not setup.store.append.called


def test_default_is_retired_after_the_version_has_been_seen_to_be_absent() -> None:
    setup = Setup()
    setup.set_version("v1")
    setup.step(0.2)
    setup.set_version("v2")
    for _ in range(30):
        setup.step(0.2)
    assert setup.store.append.called
