"""Workers' entries lapse while the store is away; a new upstream starts cold."""

import asyncio
import itertools

from tests.harness import PLAIN_SERVICE, DeploymentHarness

COLD_RATE = 20.0  # requests a second
COLD_SECONDS = 4.0
STORE_RETENTION = 60.0


def test_service_goes_on_while_entries_lapse():
    """Entries that ran out while the store was away are no proof of an end."""

    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.load(lambda: harness.look_up(caller)) as ended:
            await harness.until(lambda: len(ended) > 10, "calls run")
            harness.store.add_fault("busy", target="append")
            for name in harness.workers:
                # The store itself removes what did not write in time.
                harness.store.request_json("POST", "/control/drop", {"key": name})
            await asyncio.sleep(1.0)
            harness.store.clear_faults()
            began = ended[-1].began
            await harness.until(
                lambda: ended[-1].began > began + 3.0, "calls go on", seconds=30
            )
        assert {call.status for call in ended} <= {200, 0}
        served = [call for call in ended if call.began > began + 2.0]
        assert {call.code for call in served} == {""}
        harness.check()

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_a_cold_upstream_gets_no_more_than_it_bears():
    """The bound holds over all entries together, in any second."""

    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.load(lambda: harness.look_up(caller), clients=24) as ended:
            await harness.until(lambda: len(ended) > 100, "there is a load")
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
        assert len(starts) >= COLD_RATE, "the cold upstream was hardly tried"
        for first, later in itertools.pairwise(starts[:: int(COLD_RATE) + 1]):
            assert later - first >= 1.0, "more than it bears in one second"
        harness.check()

    with DeploymentHarness(
        services=1,
        entries=3,
        service_flags={"work_seconds": 0.05},
        entry_settings={"cold_rate": COLD_RATE},
    ) as harness:
        asyncio.run(scenario(harness))
