"""Progress of batch jobs: resumed streams, stored events and their sizes."""

import asyncio
from typing import Any

import pytest

from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_expected_text,
    make_job,
    with_deployment,
)


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "cut", "value": 2, "count": 1},
        {"kind": "stall", "value": 2, "seconds": 5, "count": 1},
    ],
)
def test_broken_stream_is_resumed_after_its_last_event(fault: dict[str, Any]) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        deployment.add_worker("w1", PLAIN_SERVICE)
        for name in ("m1", "m2"):
            deployment.add_worker(name, MODEL_SERVICE).faults.add(dict(fault))
        await deployment.add_entry("e1")
        assert await deployment.submit_job("e1", make_job(3), "j1") == 202
        for result in await deployment.wait_for_results("e1", "j1", 3):
            assert result["text"] == make_expected_text(result["id"])
        runs = [
            run for worker in deployment.workers.values() for run in worker.list_runs()
        ]
        last_event_ids = [run["headers"].get("Last-Event-Id") for run in runs]
        assert "2" in last_event_ids

    test()


@with_deployment
async def test_stream_cut_after_its_last_event_is_completed(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    model = deployment.add_worker("m1", MODEL_SERVICE)
    model.faults.add({"kind": "cut_end", "count": 1})
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    (result,) = await deployment.wait_for_results("e1", "j1", 1)
    assert result["text"] == make_expected_text("i0")
    assert len(model.list_runs()) == 2


@with_deployment
async def test_stream_moves_away_from_an_engine_that_became_slow(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    slow = deployment.add_worker("m1", MODEL_SERVICE, events=30, event_seconds=0.01)
    fast = deployment.add_worker("m2", MODEL_SERVICE, events=30, event_seconds=0.01)
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(14), "j0") == 202
    await deployment.wait_for_results("e1", "j0", 14)
    assert slow.list_runs()
    slow.state.event_seconds = 0.3
    assert await deployment.submit_job("e1", make_job(14, prefix="k"), "j1") == 202
    for result in await deployment.wait_for_results("e1", "j1", 14):
        assert result["text"] == make_expected_text(result["id"], 30)
    runs = slow.list_runs() + fast.list_runs()
    assert [run for run in runs if "Last-Event-Id" in run["headers"]]


@with_deployment
async def test_new_owner_resumes_from_stored_events(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    model = deployment.add_worker("m1", MODEL_SERVICE, events=40, event_seconds=0.05)
    await deployment.add_entry("e1")
    await deployment.add_entry("e2")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    owner, other = await deployment.find_job_owner("j1")
    second = deployment.entries[other]
    await deployment.wait_for(lambda: second.job_store.table.find("j1"))
    job = second.job_store.table.find("j1")
    await deployment.wait_for(lambda: job.get_progress("i0"))
    await deployment.kill_entry(owner)
    (result,) = await deployment.wait_for_results(other, "j1", 1)
    assert result["text"] == make_expected_text("i0", 40)
    last_headers = model.list_runs()[-1]["headers"]
    assert int(last_headers["Last-Event-Id"]) >= 8
    await deployment.wait_for(lambda: not job.get_progress("i0"))


@with_deployment
async def test_planned_stop_hands_jobs_over_to_another_entry(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    model = deployment.add_worker("m1", MODEL_SERVICE, events=60, event_seconds=0.05)
    await deployment.add_entry("e1")
    await deployment.add_entry("e2")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    owner, other = await deployment.find_job_owner("j1")
    await deployment.wait_for(model.list_runs)
    await asyncio.sleep(0.3)
    stop_task = asyncio.create_task(deployment.entries[owner]._drain())
    await deployment.wait_for(
        deployment.entries[other].job_manager.count_running, timeout=1.5
    )
    (result,) = await deployment.wait_for_results(other, "j1", 1)
    assert result["text"] == make_expected_text("i0", 60)
    await stop_task


@with_deployment
async def test_resubmitted_group_resumes_from_stored_events(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    model = deployment.add_worker("m1", MODEL_SERVICE, events=40, event_seconds=0.05)
    entry = await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(1), "j1") == 202
    await deployment.wait_for(lambda: entry.job_store.table.find("j1"))
    job = entry.job_store.table.find("j1")
    await deployment.wait_for(lambda: job.get_progress("i0"))
    assert (await deployment.send_request("e1", "DELETE", "/-/lots/j1")).status == 200
    assert (
        await deployment.submit_job("e1", make_job(1, minimum_version=1), "j2") == 202
    )
    (result,) = await deployment.wait_for_results("e1", "j2", 1)
    assert result["text"] == make_expected_text("i0", 40)
    assert int(model.list_runs()[-1]["headers"]["Last-Event-Id"]) >= 8


@with_deployment
async def test_long_texts_fit_the_records_and_appends_of_the_store(
    deployment: InProcessDeployment,
) -> None:
    """A refused append was repeated for ever, and all results waited behind it."""
    deployment.add_worker("w1", PLAIN_SERVICE)
    padding = "\u00e9" * 900 + '"'
    deployment.add_worker(
        "m1", MODEL_SERVICE, slots=16, events=100, event_seconds=0.01, padding=padding
    )
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(16), "j1") == 202
    results: dict[str, str] = {}

    async def read() -> bool:
        _, data = await deployment.read_results("e1", "j1", after=len(results))
        found = data.get("results", [])  # none with a 503, after which clients retry
        results.update((result["id"], result["text"]) for result in found)
        return len(results) == 16

    await deployment.retry_until_true(read, timeout=20.0)
    for item, text in results.items():
        assert text == make_expected_text(item, 100, padding)
