"""Drained failure domains and stopping workers get no requests after 5 s."""

import asyncio
import time

import pytest

from buckthornstile.configuration import ItemReference
from tests.harness import PROPAGATION_LIMIT, DeploymentHarness
from tests.invariants import list_request_times

RECOVERY_TIMEOUT = 10.0
"""Seconds within which a restored failure domain must get requests; users rely on
this limit."""


def list_late_requests(harness, upstream, deadline):
    harness.collect_observations()
    return [
        at for at in list_request_times(harness.observations, upstream) if at > deadline
    ]


async def wait_until_after(moment):
    await asyncio.sleep(max(0.0, moment - time.time()))


def test_failure_domain_is_drained_and_restored():
    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.run_background_load(
            lambda: harness.place_order(caller)
        ) as finished:
            await harness.wait_until(
                lambda: len(list_late_requests(harness, "desk-0", 0)) > 5,
                "desk-0 gets requests",
            )
            harness.drain_domain("bench-a")
            deadline = harness.find_append_time('"kind":"drain"') + PROPAGATION_LIMIT
            await harness.wait_until(
                lambda: finished[-1].started_at > deadline + 1, "calls continue"
            )
            assert not list_late_requests(harness, "desk-0", deadline)
            harness.apply_change(remove=[ItemReference(kind="drain", name="bench-a")])
            await harness.wait_until(
                lambda: list_late_requests(harness, "desk-0", deadline) != [],
                "desk-0 gets requests again",
                timeout=RECOVERY_TIMEOUT,
            )
        assert {call.status for call in finished} == {200}
        harness.collect_and_check()

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_entry_paused_during_drain_sends_no_late_requests():
    """An entry is paused with requests in its socket buffers during a drain.

    When it resumes it must not send them to the drained upstream.
    """

    async def scenario(harness):
        process = harness.entries["entry-0"]
        caller = harness.make_caller(entries=[process.url], attempts=1)
        process.pause()
        calls = [asyncio.create_task(harness.place_order(caller)) for _ in range(16)]
        await asyncio.sleep(0.5)
        assert not all(call.done() for call in calls)
        harness.drain_domain("bench-a")
        deadline = harness.find_append_time('"kind":"drain"') + PROPAGATION_LIMIT
        await wait_until_after(deadline)
        process.resume()
        await asyncio.gather(*calls)
        await harness.wait_until(
            lambda: harness.read_status("entry-0")["drained"] == ["bench-a"],
            "entry-0 has applied the drain",
        )
        assert not list_late_requests(harness, "desk-0", deadline)
        harness.collect_and_check()

    with DeploymentHarness(services=2, entries=2) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("paused", ["", "entry"])
def test_stopping_worker_gets_no_new_requests(paused):
    """A worker announces that it stops; an entry may be paused at that time."""

    async def scenario(harness):
        process = harness.entries["entry-0"]
        caller = harness.make_caller(entries=[process.url], attempts=1)
        async with harness.run_background_load(
            lambda: harness.send_lookup(caller)
        ) as finished:
            await harness.wait_until(
                lambda: len(list_late_requests(harness, "desk-0", 0)) > 5,
                "desk-0 gets requests",
            )
            if paused:
                process.pause()
                await asyncio.sleep(0.5)  # requests collect in socket buffers
            harness.workers["desk-0"].terminate()
            deadline = time.time() + PROPAGATION_LIMIT
            await wait_until_after(deadline)
            if paused:
                process.resume()
            count = len(list_late_requests(harness, "desk-1", 0))
            await harness.wait_until(
                lambda: len(list_late_requests(harness, "desk-1", 0)) > count + 20,
                "calls continue",
            )
        assert not list_late_requests(harness, "desk-0", deadline)
        if not paused:
            assert {call.error_code for call in finished} == {""}
        harness.collect_and_check()

    with DeploymentHarness(
        services=2, entries=2, service_flags={"drain_seconds": 3 * PROPAGATION_LIMIT}
    ) as harness:
        asyncio.run(scenario(harness))
