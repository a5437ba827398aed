"""Items of services whose upstreams run several versions of their software."""

import functools
from types import SimpleNamespace
from typing import Any

import pytest

from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    START_INTERVAL_MS,
    InProcessDeployment,
    InProcessWorker,
    make_expected_text,
    make_job,
    with_deployment,
)
from buckthornstile.entry.tests.test_single_version import (
    list_resumed_runs,
    wait_for_progress,
)
from buckthornstile.gateway._item_execution import RESTARTS_COUNTER, ItemExecution
from buckthornstile.jobs import ProgressCheckpoint
from buckthornstile.jobs.tests.test_progress import ITEM, apply_records, make_chunks
from buckthornstile.metrics import Counters
from buckthornstile.topology import Upstream

EVENTS = 50


def add_engine(
    deployment: InProcessDeployment, name: str, software_version: str
) -> InProcessWorker:
    """Adds an engine whose events name the version of its software."""
    return deployment.add_worker(
        name,
        MODEL_SERVICE,
        events=EVENTS,
        event_seconds=0.04,
        software_version=software_version,
        padding=f" {software_version}",
    )


async def start_item(deployment: InProcessDeployment, *entries: str) -> InProcessWorker:
    """Runs an item at an engine of version ``v1`` until its first events are stored."""
    deployment.add_worker("w1", PLAIN_SERVICE)
    engine = add_engine(deployment, "m1", "v1")
    for name in entries:
        await deployment.add_entry(name)
    assert await deployment.submit_job(entries[0], make_job(1), "j1") == 202
    await wait_for_progress(deployment, entries[-1], "j1")
    return engine


async def lose_engine(engine: InProcessWorker) -> None:
    await engine.stop()
    engine.remove_registration()


async def expect_whole_text(
    deployment: InProcessDeployment, entry: str, job_id: str, software_version: str
) -> None:
    """Checks that one version of the software has made all events of the result."""
    (result,) = await deployment.wait_for_results(entry, job_id, 1)
    assert result["state"] == "complete"
    assert result["text"] == make_expected_text("i0", EVENTS, f" {software_version}")


@with_deployment
async def test_text_does_not_go_on_at_another_software_version(
    deployment: InProcessDeployment,
) -> None:
    lost = await start_item(deployment, "e1")
    add_engine(deployment, "m2", "v2")
    await lose_engine(lost)
    await expect_whole_text(deployment, "e1", "j1", "v2")
    counters = deployment.entries["e1"].event_handler.counters
    reason = "software_version_is_not_held"
    assert counters.get(RESTARTS_COUNTER, reason=reason) == 1


@with_deployment
async def test_text_goes_on_at_another_engine_of_its_software_version(
    deployment: InProcessDeployment,
) -> None:
    lost = await start_item(deployment, "e1")
    same, other = add_engine(deployment, "m2", "v1"), add_engine(deployment, "m3", "v2")
    view = deployment.entries["e1"].view
    await deployment.wait_for(lambda: {"m2", "m3"} <= view.upstreams.keys())
    await lose_engine(lost)
    await expect_whole_text(deployment, "e1", "j1", "v1")
    assert list_resumed_runs(same)
    assert not other.list_runs()


@with_deployment
async def test_new_owner_does_not_join_stored_events_with_another_software_version(
    deployment: InProcessDeployment,
) -> None:
    lost = await start_item(deployment, "e1", "e2")
    owner, other = await deployment.find_job_owner("j1")
    await wait_for_progress(deployment, other, "j1")
    await deployment.kill_entry(owner)
    add_engine(deployment, "m2", "v2")
    await lose_engine(lost)
    await expect_whole_text(deployment, other, "j1", "v2")


@with_deployment
async def test_item_listed_again_is_not_joined_with_another_software_version(
    deployment: InProcessDeployment,
) -> None:
    lost = await start_item(deployment, "e1")
    assert (await deployment.send_request("e1", "DELETE", "/-/lots/j1")).status == 200
    add_engine(deployment, "m2", "v2")
    await lose_engine(lost)
    job = make_job(1, minimum_version=1)
    assert await deployment.submit_job("e1", job, "j2") == 202
    await expect_whole_text(deployment, "e1", "j2", "v2")


@with_deployment
async def test_text_does_not_go_on_at_an_upgraded_engine_of_the_same_id(
    deployment: InProcessDeployment,
) -> None:
    engine = await start_item(deployment, "e1")
    await engine.stop()
    engine.state.software_version, engine.state.padding = "v2", " v2"
    engine.start()
    await expect_whole_text(deployment, "e1", "j1", "v2")


@with_deployment
async def test_events_of_an_engine_that_is_listed_late_as_upgraded_are_not_joined(
    deployment: InProcessDeployment,
) -> None:
    engine = await start_item(deployment, "e1")
    await engine.stop()
    engine.state.padding = " v2"
    engine.start()
    await deployment.wait_for(lambda: list_resumed_runs(engine))
    engine.state.software_version = "v2"
    engine.write_registration(born=engine.state.started_at_ms + START_INTERVAL_MS)
    await expect_whole_text(deployment, "e1", "j1", "v2")


ROUTE: Any = SimpleNamespace(services=(("models", 1),), requires_single_version=False)


def make_execution(dependencies: Any) -> ItemExecution:
    """Returns an item with stored events of version ``s1``, and others of ``s2``."""
    table = apply_records(*make_chunks(("s1", "s2")))
    dependencies.store = SimpleNamespace(table=table)
    context: Any = SimpleNamespace(job=table.find("j1"), dependencies=dependencies)
    checkpoint = ProgressCheckpoint("j1", "i0")
    return ItemExecution(ITEM, context, (0, 0, 0), 0, checkpoint)


@pytest.mark.parametrize("has_room", [True, False])
def test_text_waits_briefly_for_its_software_version_if_another_has_room(
    has_room: bool,
) -> None:
    upstreams = [
        Upstream(f"m{version}", "models", "h", 1, "a", 4, software_version=version)
        for version in ("s1", "s2")
    ]
    dependencies = SimpleNamespace(
        view=SimpleNamespace(list_available_upstreams=lambda service: upstreams),
        balancer=SimpleNamespace(
            is_ejected=lambda upstream: False,
            has_capacity=lambda upstream: upstream.id == "ms2" and has_room,
        ),
        shares=SimpleNamespace(counters=Counters()),
    )
    execution = make_execution(dependencies)
    execution.load_progress(None)
    for now, count in ((10.0, 8), (10.4, 8), (10.6, 0 if has_room else 8)):
        dependencies.clock = functools.partial(float, now)
        execution.discard_unusable_progress(ROUTE)
        assert len(execution.progress.events) == count


def test_stored_events_that_are_not_gone_on_from_are_deleted() -> None:
    """The records of the next run would be joined with those that follow."""
    execution = make_execution(SimpleNamespace())
    execution.load_progress(None)
    assert len(execution.progress.events) == 8
    assert execution.checkpoint.stale_keys == {"p/j1/i0/0.1", "p/j1/i0/8.1"}


def test_items_of_two_software_versions_have_different_needs() -> None:
    """One that no engine can take kept all items that wait from being started."""
    execution = make_execution(SimpleNamespace())
    needs = execution.list_needs(ROUTE)
    execution.load_progress(None)
    assert execution.list_needs(ROUTE) != needs
