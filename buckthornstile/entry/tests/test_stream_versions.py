"""A stream holds events of one software version of a service, over all attempts."""

from dataclasses import replace

from buckthornstile.entry.tests.in_process import (
    HOST,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    START_INTERVAL_MS,
    InProcessDeployment,
    with_deployment,
)
from buckthornstile.entry.tests.stream_clients import (
    StreamClient,
    add_engine,
    add_stream_route,
    start_attempt,
    wait_for_events,
)
from buckthornstile.stream_versions import compute_stream_digest


@with_deployment
async def test_broken_stream_is_not_joined_from_two_software_versions(
    deployment: InProcessDeployment,
) -> None:
    add_stream_route(deployment)
    first = add_engine(deployment, "m1", "v1", event_seconds=0.05)
    first.faults.add({"kind": "cut", "value": 8, "count": 1})
    entry = await deployment.add_entry("e1")
    client = StreamClient(deployment, "r")
    attempt = start_attempt(client, "e1")
    await wait_for_events(client, 1)
    add_engine(deployment, "m2", "v2")
    await deployment.wait_for(lambda: "m2" in entry.view.upstreams)
    assert await attempt
    assert client.is_whole()
    assert len(client.list_software()) == 1


@with_deployment
async def test_stream_breaks_if_only_another_software_version_could_resume_it(
    deployment: InProcessDeployment,
) -> None:
    add_stream_route(deployment)
    first = add_engine(deployment, "m1", "v1", event_seconds=0.05)
    first.faults.add({"kind": "cut", "value": 8, "count": 1})
    entry = await deployment.add_entry("e1")
    client = StreamClient(deployment, "r")
    attempt = start_attempt(client, "e1")
    await wait_for_events(client, 1)
    second = add_engine(deployment, "m2", "v2")
    await deployment.wait_for(lambda: "m2" in entry.view.upstreams)
    first.faults.add({"kind": "full", "count": 20})
    assert not await attempt
    assert client.list_events() == [str(n + 1) for n in range(8)]
    assert not second.list_runs()


@with_deployment
async def test_events_of_an_upstream_that_was_replaced_are_not_taken_for_its_version(
    deployment: InProcessDeployment,
) -> None:
    add_stream_route(deployment)
    first = add_engine(deployment, "m1", "v1", event_seconds=0.4)
    entry = await deployment.add_entry("e1")
    client = StreamClient(deployment, "r")
    attempt = start_attempt(client, "e1")
    await deployment.wait_for(lambda: first.state.running)
    first.state.event_seconds = 0.01
    started_at_ms = first.state.started_at_ms + START_INTERVAL_MS
    first.write_registration(version="v2", born=started_at_ms)
    assert await attempt
    assert client.is_whole()
    resolution = entry.stream_versions.table.find(compute_stream_digest("r-0"), 0.0)
    assert resolution is not None and resolution.version == "v2"


@with_deployment
async def test_service_without_an_eligible_upstream_is_not_chosen(
    deployment: InProcessDeployment,
) -> None:
    add_stream_route(deployment)
    add_engine(deployment, "m1", "v1")
    deployment.add_worker("d1", PLAIN_SERVICE, software_version="v2")
    entry = await deployment.add_entry("e1")
    await deployment.wait_for(lambda: len(entry.view.upstreams) == 2)
    route = entry.view.find_route(HOST, "/notes/1")
    both = replace(route, services=((PLAIN_SERVICE, 99.0), (MODEL_SERVICE, 0.1)))
    chosen = {
        entry.sender.choose_service(both, lambda one: one.software_version == "v1")
        for _ in range(20)
    }
    assert chosen == {MODEL_SERVICE}
