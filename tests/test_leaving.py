"""A worker leaves while the store cannot be reached."""

import asyncio

from tests.harness import DeploymentHarness
from tests.invariants import list_request_times

DRAIN_LIMIT = 2.0
"""Seconds after a response with the statement that a worker leaves, after which it gets
no new request."""


def test_leaving_worker_gets_no_requests_while_the_store_is_silent():
    """Both entries knew of a departure from the store alone."""

    async def scenario(harness: DeploymentHarness) -> bool:
        callers = [
            harness.make_caller(entries=[url], attempts=1) for url in harness.entry_urls
        ]
        loops = [
            lambda c=caller: harness.send_lookup(c)
            for caller in callers
            for _ in "1234"
        ]
        async with asyncio.TaskGroup() as group:
            harness.store.pause()
            harness.workers["desk-0"].terminate()

            async def send(call) -> None:
                for _ in range(60):
                    await call()
                    await asyncio.sleep(0.05)

            for call in loops:
                group.create_task(send(call))
        return harness.workers["desk-0"].is_running

    with DeploymentHarness(
        engines=1, services=2, service_flags={"work_seconds": 0.03}
    ) as harness:
        is_still_running = asyncio.run(scenario(harness))
        harness.save_journal("desk-0")
        harness.store.resume()
        assert is_still_running
        observations = harness.collect_and_check()
        times = list_request_times(observations, "desk-0")
        for entry in harness.entries.values():
            assert entry.read_events("upstream.leaving")
        first = min(
            float(event["time"])
            for entry in harness.entries.values()
            for event in entry.read_events("upstream.leaving")
        )
        assert [at for at in times if at > first + DRAIN_LIMIT] == []
