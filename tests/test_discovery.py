"""Workers' registrations expire during a store outage; a new upstream starts cold."""

import asyncio
import itertools

from tests.harness import PLAIN_SERVICE, DeploymentHarness

COLD_RATE = 20.0  # requests a second
COLD_SECONDS = 4.0  # how long a new upstream is cold
STORE_RETENTION = 60.0  # seconds


def test_calls_continue_when_registrations_expire_during_store_outage():
    """An expired registration doesn't mean that a worker has exited.

    Workers can't renew their registrations while the store rejects appends.
    """

    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.run_background_load(
            lambda: harness.send_lookup(caller)
        ) as finished:
            await harness.wait_until(lambda: len(finished) > 10, "calls succeed")
            harness.store.add_fault("busy", target="append")
            for name in harness.workers:
                # The store removes registrations that are not renewed in time.
                harness.store.request_json("POST", "/control/drop", {"key": name})
            await asyncio.sleep(1.0)
            harness.store.clear_faults()
            outage_ended_at = finished[-1].started_at
            await harness.wait_until(
                lambda: finished[-1].started_at > outage_ended_at + 3.0,
                "calls continue",
                timeout=30,
            )
        assert {call.status for call in finished} <= {200, 0}
        late_calls = [
            call for call in finished if call.started_at > outage_ended_at + 2.0
        ]
        assert {call.error_code for call in late_calls} == {""}
        harness.collect_and_check()

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_a_cold_upstream_gets_no_more_than_it_bears():
    """A new upstream gets at most its cold rate, summed over all entries.

    The limit is checked over any second.
    """

    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.run_background_load(
            lambda: harness.send_lookup(caller), clients=24
        ) as finished:
            await harness.wait_until(
                lambda: len(finished) > 100, "the load has started"
            )
            worker = await asyncio.to_thread(
                harness.add_worker,
                "desk-1",
                "bench-b",
                PLAIN_SERVICE,
                cold_seconds=COLD_SECONDS,
            )
            await asyncio.sleep(COLD_SECONDS - 0.5)
            journal = await asyncio.to_thread(worker.read_journal, "run")
        starts = sorted(entry["at"] for entry in journal)
        assert len(starts) >= COLD_RATE, (
            "the cold upstream got too few requests for the check"
        )
        for earlier, later in itertools.pairwise(starts[:: int(COLD_RATE) + 1]):
            assert later - earlier >= 1.0, (
                "more requests than the cold rate in one second"
            )
        harness.collect_and_check()

    with DeploymentHarness(
        services=1,
        entries=3,
        service_flags={"work_seconds": 0.05},
        entry_settings={"cold_rate": COLD_RATE},
    ) as harness:
        asyncio.run(scenario(harness))
