"""Items of routes on which one weight version must produce the whole text."""

import asyncio
from typing import Any

from buckthornstile.entry.tests.in_process import (
    MODEL_NAME,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    InProcessWorker,
    make_expected_text,
    make_job,
    make_routes,
    with_deployment,
)
from buckthornstile.jobs import Job, JobId

EVENTS = 30


def require_single_version(deployment: InProcessDeployment) -> None:
    deployment.routes = make_routes()
    deployment.routes[-1]["singleVersion"] = True
    deployment.put_configuration()


def add_engine(deployment: InProcessDeployment, name: str) -> InProcessWorker:
    return deployment.add_worker(name, MODEL_SERVICE, events=EVENTS, event_seconds=0.04)


def set_engine_version(engine: InProcessWorker, version: int) -> None:
    engine.state.versions = {MODEL_NAME: version}
    engine.write_registration(sequence=10 + version, born=engine.state.started_at_ms)


async def wait_for_progress(
    deployment: InProcessDeployment, entry: str, job_id: str
) -> Job:
    """Waits until an entry has read stored events of the job's first item."""
    table = deployment.entries[entry].job_store.table
    await deployment.wait_for(lambda: table.find(JobId(job_id)))
    job = table.find(JobId(job_id))
    assert job is not None
    await deployment.wait_for(lambda: job.get_progress("i0"))
    return job


async def expect_whole_result(
    deployment: InProcessDeployment, entry: str, job_id: str, version: int
) -> None:
    (result,) = await deployment.wait_for_results(entry, job_id, 1)
    assert result["state"] == "complete"
    assert result["text"] == make_expected_text("i0", EVENTS)
    assert result["versions"] == [version]


def list_resumed_runs(engine: InProcessWorker) -> list[dict[str, Any]]:
    return [run for run in engine.list_runs() if "Last-Event-Id" in run["headers"]]


@with_deployment
async def test_item_listed_again_after_a_version_change_is_run_from_the_start(
    deployment: InProcessDeployment,
) -> None:
    """Stored events of a version that no engine holds kept the item from running."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    engines = [add_engine(deployment, name) for name in ("m1", "m2")]
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await wait_for_progress(deployment, "e1", "j1")
    assert (await deployment.send_request("e1", "DELETE", "/-/lots/j1")).status == 200
    for engine in engines:
        set_engine_version(engine, 2)
    job = make_job(1, minimum_version=1)
    assert await deployment.submit_job("e1", job, "j2") == 202
    await expect_whole_result(deployment, "e1", "j2", 2)


@with_deployment
async def test_item_of_a_lost_engine_is_run_from_the_start_by_newer_engines(
    deployment: InProcessDeployment,
) -> None:
    """The item waited for the version of an engine that had left within its step."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    lost = add_engine(deployment, "m1")
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await wait_for_progress(deployment, "e1", "j1")
    set_engine_version(add_engine(deployment, "m2"), 2)
    await lost.stop()
    lost.remove_registration()
    await expect_whole_result(deployment, "e1", "j1", 2)


@with_deployment
async def test_item_does_not_wait_for_an_engine_that_stays_full(
    deployment: InProcessDeployment,
) -> None:
    """The one engine that held the version of the events refused all requests."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    full = add_engine(deployment, "m1")
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await wait_for_progress(deployment, "e1", "j1")
    set_engine_version(add_engine(deployment, "m2"), 2)
    full.faults.add({"kind": "full"})
    await full.stop()
    full.start()
    await expect_whole_result(deployment, "e1", "j1", 2)


@with_deployment
async def test_item_goes_on_at_another_engine_that_holds_its_version(
    deployment: InProcessDeployment,
) -> None:
    """Events must not be discarded while another engine can go on from them."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    lost = add_engine(deployment, "m1")
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await wait_for_progress(deployment, "e1", "j1")
    same = add_engine(deployment, "m2")
    newer = add_engine(deployment, "m3")
    set_engine_version(newer, 2)
    await asyncio.sleep(0.1)
    await lost.stop()
    lost.remove_registration()
    await expect_whole_result(deployment, "e1", "j1", 1)
    assert list_resumed_runs(same)
    assert not newer.list_runs()


@with_deployment
async def test_new_owner_never_joins_the_events_of_two_runs(
    deployment: InProcessDeployment,
) -> None:
    """Stored events of the discarded run followed those of the new run."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    engine = add_engine(deployment, "m1")
    for name in ("e1", "e2", "e3"):
        await deployment.add_entry(name)
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    owner, other = await deployment.find_job_owner("j1")
    job = await wait_for_progress(deployment, other, "j1")
    await deployment.wait_for(lambda: len(job.progress["i0"]) > 1)
    set_engine_version(engine, 2)
    await deployment.kill_entry(owner)
    await deployment.wait_for(
        lambda: {event.version for event in job.get_progress("i0").events} == {2}
    )
    owner, other = await deployment.find_job_owner("j1")
    await deployment.kill_entry(owner)
    await expect_whole_result(deployment, other, "j1", 2)


async def check_version_change_during_a_run(
    deployment: InProcessDeployment, *, becomes_single: bool
) -> None:
    """Checks the result of an item whose engine changes its version in its run."""
    if not becomes_single:
        require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    engine = add_engine(deployment, "m1")
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await wait_for_progress(deployment, "e1", "j1")
    set_engine_version(engine, 2)
    if becomes_single:
        require_single_version(deployment)
    await expect_whole_result(deployment, "e1", "j1", 2)


@with_deployment
async def test_item_whose_engine_changes_its_version_is_run_again(
    deployment: InProcessDeployment,
) -> None:
    """The result named both versions."""
    await check_version_change_during_a_run(deployment, becomes_single=False)


@with_deployment
async def test_route_that_becomes_single_version_lists_no_mixed_result(
    deployment: InProcessDeployment,
) -> None:
    await check_version_change_during_a_run(deployment, becomes_single=True)


@with_deployment
async def test_order_after_a_route_was_moved_lets_its_items_finish(
    deployment: InProcessDeployment,
) -> None:
    """The old engines continued the running items under the new version."""
    require_single_version(deployment)
    deployment.add_worker("w1", PLAIN_SERVICE)
    engine = add_engine(deployment, "m1")
    entry = await deployment.add_entry("e1")
    version = deployment.configuration_version
    deployment.routes[-1]["service"] = "other-models"
    deployment.put_configuration()
    await deployment.wait_for(lambda: entry.view.configuration.version > version)
    deployment.set_version(2)
    await deployment.wait_for(engine.list_load_orders)
    assert [order["mode"] for order in engine.list_load_orders()] == ["wait"]
