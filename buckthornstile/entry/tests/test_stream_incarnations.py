"""Streams at upstreams that have started again with other software, unnoticed.

An entry may read the registrations late, and an upstream may be cut off from the store.
"""

import asyncio

import pytest

from buckthornstile.entry import Entry
from buckthornstile.entry.tests.in_process import InProcessDeployment, with_deployment
from buckthornstile.entry.tests.stream_clients import (
    StreamClient,
    add_engine,
    add_stream_route,
    start_attempt,
    wait_for_events,
)
from buckthornstile.entry.tests.test_stream_take_ups import (
    begin_streams,
    check_whole,
    start_two_versions,
    wait_for_default,
)

STREAM_COUNT = 16


class HungStore:
    """A store whose reads get no response."""

    async def read(self, *args: object, **options: object) -> None:
        await asyncio.Event().wait()


def hang_registrations(entry: Entry) -> None:
    """Makes an entry read no further registrations; its other reads go on."""
    entry.topology_watcher.upstream_consumer.store = HungStore()


async def restart_first_engine(
    deployment: InProcessDeployment, *, registers: bool
) -> None:
    """Starts m1, which was v1, again as v2; entries that can read it know it then."""
    await deployment.workers["m1"].restart_with("v2", registers=registers)
    if registers:
        await deployment.wait_for(
            lambda: (
                deployment.entries["e1"].view.upstreams["m1"].software_version == "v2"
            )
        )


def list_joined(clients: list[StreamClient]) -> list[str]:
    """Returns the streams that hold events of several software versions."""
    return [client.name for client in clients if len(client.list_software()) > 1]


@pytest.mark.parametrize("registers", [True, False], ids=["late entry", "cut upstream"])
def test_stream_is_not_taken_up_at_an_upstream_with_other_software(registers) -> None:
    """Streams of v1 went on at what an entry still took for v1."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        await start_two_versions(deployment)
        hang_registrations(deployment.entries["e2"])
        if registers:
            await restart_first_engine(deployment, registers=True)
        clients = await begin_streams(deployment, "e1", STREAM_COUNT)
        if not registers:
            await restart_first_engine(deployment, registers=False)
        assert all(await asyncio.gather(*(client.attempt("e2") for client in clients)))
        check_whole(clients)

    test()


@pytest.mark.parametrize("is_answered", [True, False], ids=["report", "no report"])
def test_stream_that_begins_at_an_unknown_version_is_not_joined(is_answered) -> None:
    """Streams that began at v2 were taken for streams of v1, the default version."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        await start_two_versions(deployment)
        await restart_first_engine(deployment, registers=False)
        if not is_answered:
            fault = {"kind": "mute_report", "count": 100_000}
            deployment.workers["m1"].faults.add(fault)
        clients = await begin_streams(deployment, "e1", STREAM_COUNT)
        restarted = deployment.workers["m1"]
        assert restarted.list_runs()
        restarted.faults.add({"kind": "full", "count": 100_000})
        await asyncio.gather(*(client.attempt("e2") for client in clients))
        assert list_joined(clients) == []

    test()


@with_deployment
async def test_broken_stream_does_not_go_on_at_an_upstream_with_other_software(
    deployment: InProcessDeployment,
) -> None:
    """One response held events of v1 and of an upstream that had become v2."""
    add_stream_route(deployment)
    first = add_engine(deployment, "m1", "v1", event_seconds=0.05)
    await deployment.add_entry("e1")
    await wait_for_default(deployment, "v1")
    first.faults.add({"kind": "cut", "value": 8, "count": 1})
    client = StreamClient(deployment, "r")
    attempt = start_attempt(client, "e1")
    await wait_for_events(client, 1)
    other = add_engine(deployment, "m2", "v1")
    view = deployment.entries["e1"].view
    await deployment.wait_for(lambda: "m2" in view.upstreams)
    await other.restart_with("v2", registers=False)
    first.faults.add({"kind": "full", "count": 20})
    assert not await attempt
    assert list_joined([client]) == []


@with_deployment
async def test_stream_is_whole_at_an_upstream_that_gives_no_report(
    deployment: InProcessDeployment,
) -> None:
    """A check that could not be made ended a sound stream."""
    add_stream_route(deployment)
    engine = add_engine(deployment, "m1", "v1")
    await deployment.add_entry("e1")
    await wait_for_default(deployment, "v1")
    engine.faults.add({"kind": "mute_report", "count": 100_000})
    client = StreamClient(deployment, "r")
    assert await client.attempt("e1")
    check_whole([client])
    assert len(engine.list_runs()) == 1


@with_deployment
async def test_upstream_that_reads_its_clock_twice_is_not_taken_for_two(
    deployment: InProcessDeployment,
) -> None:
    """Streams were refused if report and registration differed by milliseconds."""
    await start_two_versions(deployment)
    for worker in deployment.workers.values():
        worker.state.started_at_ms -= 40
    clients = await begin_streams(deployment, "e1", STREAM_COUNT)
    assert all(await asyncio.gather(*(client.attempt("e2") for client in clients)))
    check_whole(clients)
