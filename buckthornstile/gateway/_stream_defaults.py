"""Observes the software versions in service, and keeps the routes' default versions."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from buckthornstile.base import (
    BuckthornstileError,
    ProcessName,
    ServiceName,
    SoftwareVersion,
)
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.gateway._stream_record_writer import STREAM_VERSION_TOPIC
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    AppendConflictError,
    StoreClient,
    encode_keyed_record,
)
from buckthornstile.stream_versions import (
    RoutePrefix,
    StreamVersionTable,
    VersionObservations,
    encode_default,
    encode_route_key,
    plan_defaults,
)
from buckthornstile.topology import Route, RouteKind, TopologyView

OBSERVATION_INTERVAL = 0.2
"""Seconds between two observations of the versions in service."""
MAX_VIEW_STALENESS = 3.0
"""Seconds since the upstreams were read up to which an observation is made."""
EXPIRY_INTERVAL = 5.0
"""Seconds between two removals of what has expired."""
MAX_REMOVALS = 200
"""Number of batches of entries that are gone that one append removes."""

VersionCount = Counter[SoftwareVersion]


class StreamDefaults:
    """Observes versions; while this process holds the lease, changes the defaults.

    Args:
        store: Client of the store.
        view: The topology in effect.
        table: The defaults and records that were read.
        consumer: Reads the topic of both.
        clock: Returns the monotonic time in seconds.
        get_view_staleness: Returns the seconds since the upstreams were read.
        is_holder: Whether this process holds the lease.
        list_entries: Returns the entries that may be writing.
    """

    def __init__(
        self,
        store: StoreClient,
        view: TopologyView,
        table: StreamVersionTable,
        consumer: PartitionConsumer,
        *,
        clock: Callable[[], float],
        get_view_staleness: Callable[[], float],
        is_holder: Callable[[], bool],
        list_entries: Callable[[], list[ProcessName]],
    ) -> None:
        self.store = store
        self.view = view
        self.table = table
        self.consumer = consumer
        self.clock = clock
        self.get_view_staleness = get_view_staleness
        self.is_holder = is_holder
        self.list_entries = list_entries
        self.observations = VersionObservations()

    def list_routes(self) -> list[Route]:
        """Returns the routes whose streams clients may resume."""
        configuration = self.view.configuration
        return [
            route
            for route in (configuration.routes if configuration else ())
            if route.is_streaming
            and route.is_resumable
            and route.kind is not RouteKind.ROLLOUT
        ]

    def count_versions(
        self, routes: Iterable[Route]
    ) -> dict[RoutePrefix, VersionCount]:
        """Returns the number of registered upstreams of routes by their version."""
        by_service: dict[ServiceName, VersionCount] = {}
        for upstream in self.view.upstreams.values():
            count = by_service.setdefault(upstream.service, Counter())
            count[upstream.software_version] += 1
        return {
            get_route_prefix(route): sum(
                (by_service.get(service, Counter()) for service, _ in route.services),
                Counter(),
            )
            for route in routes
        }

    def list_former_routes(self, target: str) -> list[RoutePrefix]:
        """Returns the routes that served a host and path before they were removed."""
        current = {get_route_prefix(route) for route in self.list_routes()}
        return [
            route
            for route in self.table.list_routes()
            if route not in current and target.startswith(route)
        ]

    async def run(self) -> None:
        """Observes versions, and changes and removes records, until cancelled."""
        expired_at = self.clock()
        while True:
            await asyncio.sleep(OBSERVATION_INTERVAL)
            await self.observe_and_change()
            if self.clock() - expired_at >= EXPIRY_INTERVAL:
                expired_at = self.clock()
                self.table.expire(expired_at)
                if self.is_holder():
                    await self._remove_expired_batches()

    async def observe_and_change(self) -> None:
        """Records which versions are in service, and changes defaults if due.

        Does neither while the upstreams have not been read recently: a version would
        count as absent for as long as it could not be seen.
        """
        if self.get_view_staleness() > MAX_VIEW_STALENESS:
            return
        counts = self.count_versions(self.list_routes())
        self.observations.observe(counts, self.clock())
        if self.is_holder() and self.consumer.is_caught_up:
            await self._change_defaults()

    async def _change_defaults(self) -> None:
        changes = plan_defaults(self.table, self.observations, self.clock())
        if not changes:
            return
        pairs = [
            (
                encode_route_key(change.route),
                encode_default(change.default) if change.default is not None else b"",
            )
            for change in changes
        ]
        # The changes hold only if no other one was made since the last read.
        if not await self._append(pairs, at=self.consumer.end_offset):
            return
        for change in changes:
            default = change.default
            log_event(
                "stream_version.default",
                route=change.route,
                software=default.version if default is not None else None,
                retired=default is None or default.is_retired,
            )

    async def _remove_expired_batches(self) -> None:
        """Removes the batches of entries that are gone, whose streams are over."""
        writers = set(self.list_entries())
        keys = [
            key
            for key in self.table.list_expired_batches(self.clock())
            if key.rpartition("/")[0] not in writers
        ]
        if keys:
            await self._append([(key, b"") for key in keys[:MAX_REMOVALS]])

    async def _append(
        self, pairs: Iterable[tuple[str, bytes]], *, at: int | None = None
    ) -> bool:
        records = [encode_keyed_record(key, value) for key, value in pairs]
        try:
            await self.store.append(STREAM_VERSION_TOPIC, 0, records, at=at)
        except AppendConflictError:
            return False
        except BuckthornstileError as error:
            log_event("stream_version.append_failed", reason=error.message)
            return False
        return True


def get_route_prefix(route: Route) -> RoutePrefix:
    """Returns the host and the path prefix of a route."""
    return RoutePrefix(route.host + route.path_prefix)
