"""Jobs that their client ended, while their owner cannot read that in time."""

import asyncio
import time
from typing import Any
from unittest import mock

from buckthornstile.base import AccountId, ProcessName
from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)
from buckthornstile.gateway import JobFreshness
from buckthornstile.http_client import HTTPResponse
from buckthornstile.jobs import (
    JobId,
    JobTable,
    OwnerClaim,
    encode_claim,
    encode_specification,
)
from buckthornstile.jobs.tests.test_table import JOB, make_specification
from buckthornstile.platform import JOB_TOPIC
from buckthornstile.topology import TopologyView

CANCEL_MS = 3000  # as in the platform's settings


async def start_long_job(
    deployment: InProcessDeployment, cancel_ms: int = CANCEL_MS
) -> tuple[str, str]:
    """Starts a job whose items run for many seconds; returns its owner and another."""
    deployment.bounds["cancelMs"] = cancel_ms
    deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("m1", MODEL_SERVICE, slots=2, event_seconds=0.02)
    await deployment.add_entry("e1")
    await deployment.add_entry("e2")
    assert await deployment.submit_job("e1", make_job(400, scored=True), "j1") == 202
    owner, other = await deployment.find_job_owner("j1")
    await deployment.wait_for(lambda: deployment.workers["m1"].list_runs())
    table = deployment.entries[other].job_store.table
    await deployment.wait_for(lambda: table.find(JobId("j1")))
    return owner, other


async def end_job(deployment: InProcessDeployment, entry: str) -> float:
    """Ends the job as a client does; returns the time of the acknowledgement."""

    async def end() -> bool:
        response = await deployment.send_request(entry, "DELETE", "/-/lots/j1")
        return response.status == 200

    await deployment.retry_until_true(end)
    return time.time()


def list_arrivals_after(deployment: InProcessDeployment, at: float) -> list[str]:
    """Returns the ids of all requests of the job that arrive after a time."""
    return [
        run["request"]
        for worker in deployment.workers.values()
        for run in worker.list_runs()
        if run["at"] > at
    ]


@with_deployment
async def test_owner_states_how_old_its_records_were_when_it_stops_a_job(
    deployment: InProcessDeployment,
) -> None:
    owner, other = await start_long_job(deployment)
    events = deployment.entries[owner].event_handler
    with events.applicationbound():
        await end_job(deployment, other)
        await deployment.wait_for(lambda: events.list_recent("job.stop"))
    (stop,) = events.list_recent("job.stop")
    assert stop["ended"]
    assert 0.0 <= stop["delay"] < CANCEL_MS / 1000
    assert 0.0 < stop["max_send_age"] < CANCEL_MS / 1000


@with_deployment
async def test_items_of_an_ended_job_are_not_sent_by_an_owner_with_old_records(
    deployment: InProcessDeployment,
) -> None:
    owner, other = await start_long_job(deployment)
    deployment.store_faults.add({"kind": "many", "target": f"read/{JOB_TOPIC}"})
    await asyncio.sleep(0.6)  # longer than the long polls that are open
    ended_at = await end_job(deployment, other)
    await asyncio.sleep(CANCEL_MS / 1000)
    pool = deployment.entries[owner].pool
    with mock.patch.object(pool, "send", wraps=pool.send) as send:
        await asyncio.sleep(1.0)
    assert send.call_count == 0  # held items are not tried again and again
    assert deployment.entries[owner].job_manager.count_held() == 1
    job = deployment.entries[owner].job_store.table.find(JobId("j1"))
    assert job is not None and not job.ended
    assert list_arrivals_after(deployment, ended_at + CANCEL_MS / 1000) == []


@with_deployment
async def test_owner_that_acknowledges_an_end_stops_without_reading_it(
    deployment: InProcessDeployment,
) -> None:
    owner, _ = await start_long_job(deployment)
    deployment.store_faults.add({"kind": "many", "target": f"read/{JOB_TOPIC}"})
    await asyncio.sleep(0.6)  # longer than the long polls that are open
    ended_at = await end_job(deployment, owner)
    assert deployment.entries[owner].job_manager.count_running() == 0
    await asyncio.sleep(0.5)
    assert list_arrivals_after(deployment, ended_at + 0.1) == []


@with_deployment
async def test_items_whose_connection_opens_late_are_not_sent_with_old_records(
    deployment: InProcessDeployment,
) -> None:
    cancel_ms = 500
    owner, other = await start_long_job(deployment, cancel_ms)
    pool = deployment.entries[owner].pool
    send = pool.send

    async def send_late(*arguments: Any, **options: Any) -> HTTPResponse:
        await asyncio.sleep(1.0)  # less than the time without a first event
        return await send(*arguments, **options)

    pool.send = send_late  # type: ignore[method-assign]
    deployment.store_faults.add({"kind": "many", "target": f"read/{JOB_TOPIC}"})
    await asyncio.sleep(0.45)  # longer than the long polls that are open
    ended_at = await end_job(deployment, other)
    await asyncio.sleep(cancel_ms / 1000 + 1.5)
    assert list_arrivals_after(deployment, ended_at + cancel_ms / 1000) == []


@with_deployment
async def test_job_is_ended_while_the_records_of_jobs_are_loaded_again(
    deployment: InProcessDeployment,
) -> None:
    """All entries refused the end for as long as the load took."""
    owner, other = await start_long_job(deployment)
    deployment.store_faults.add({"kind": "busy", "target": f"newest/{JOB_TOPIC}"})
    deployment.store_faults.add({"kind": "many", "target": f"read/{JOB_TOPIC}"})
    await asyncio.sleep(0.6)  # longer than the long polls that are open
    for partition in deployment.topic_store.partitions.values():
        partition.drop_history()
    deployment.store_faults.clear("many")
    stores = [entry.job_store for entry in deployment.entries.values()]
    part = stores[0].find_partition(AccountId("mill"))
    await deployment.wait_for(
        lambda: not any(store.is_consumed(part) for store in stores)
    )
    for name in (other, owner):
        response = await deployment.send_request(name, "DELETE", "/-/lots/j1")
        assert response.status == 200


def test_runner_sends_nothing_for_a_job_that_it_does_not_own_any_more() -> None:
    table = JobTable()
    records = [*encode_specification(make_specification(), 1 << 18)]
    records.append(encode_claim(JOB, OwnerClaim(ProcessName("e1"), 2)))
    for offset, record in enumerate(records):
        table.apply(0, offset, record.key, record.value, 5.0, wall_time=1000.0)
    job = table.find(JOB)
    assert job is not None
    store = mock.Mock(max_record_age=1.8, table=table, get_record_age=lambda _: 0.5)
    freshness = JobFreshness(store, TopologyView())
    assert freshness.find_refusal_reason(job, 2) == ""
    assert freshness.find_refusal_reason(job, 1) == "the job belongs to another runner"
    table.drop_partition(0)
    assert freshness.find_refusal_reason(job, 2) == "the job belongs to another runner"


@with_deployment
async def test_job_goes_on_after_its_owner_claimed_it_again(
    deployment: InProcessDeployment,
) -> None:
    """The runner of the earlier claim was held, and no other one was started."""
    deployment.bounds["cancelMs"] = CANCEL_MS
    deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(4), "j1") == 202
    await deployment.wait_for(lambda: entry.job_manager.count_running() == 1)
    job = entry.job_store.table.find(JobId("j1"))
    assert job is not None and job.claim is not None
    await entry.job_store.claim(job)
    await deployment.wait_for(lambda: job.claim and job.claim.epoch > 1)
    deployment.add_worker("m1", MODEL_SERVICE, slots=4)
    await deployment.wait_for(lambda: len(job.results) == 4)
