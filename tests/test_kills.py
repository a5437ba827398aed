"""Processes are killed in the middle of calls, streams and lots."""

import asyncio

import pytest

from tests.harness import DeploymentHarness, make_lot
from tests.invariants import (
    check_usage_exact,
    count_delivered_usage,
    count_reported_usage,
    count_runs_by_name,
)

SLOW_SERVICE_FLAGS = {"work_seconds": 0.2}
SLOW_ENGINE_FLAGS = {"event_seconds": 0.01}
LONG_TOKEN_COUNT = 3000


def test_reported_usage_equals_delivered_usage_without_faults():
    async def scenario(harness):
        caller, other = (
            harness.make_caller(),
            harness.make_caller(key=harness.other_key),
        )
        calls = [harness.place_order(caller) for _ in range(20)]
        calls += [harness.send_completion(caller) for _ in range(20)]
        calls += [harness.send_completion(caller, stream=True) for _ in range(10)]
        calls += [harness.place_order(other, account="ledger") for _ in range(7)]
        records = await asyncio.gather(*calls)
        await wait_for_usage_reports(harness)
        # One more call of each client account: duplicates that are reported late
        # are then part of the final counts.
        records.append(await harness.place_order(caller, path="/private"))
        records.append(await harness.place_order(other, account="ledger"))
        assert {call.status for call in records} == {200}
        refused = await harness.place_order(other, account="ledger", path="/private")
        assert (refused.error_code, refused.verdict) == (
            "request.route_unknown",
            "not_run",
        )
        await wait_for_usage_reports(harness)
        check_usage_exact(harness.collect_and_check())

    with DeploymentHarness(engines=2, services=2) as harness:
        harness.other_key, items = harness.create_account("ledger")
        harness.observations.keys.append(harness.other_key)
        harness.apply_change(*items)
        harness.wait_until_ready()
        asyncio.run(scenario(harness))


def list_all_runs(harness):
    workers = harness.workers.values()
    return [run for worker in workers for run in worker.read_journal("run")]


async def wait_for_usage_reports(harness):
    await harness.wait_until(
        lambda: (
            count_reported_usage(harness.collect_observations()).total()
            >= count_delivered_usage(harness.observations).total()
        ),
        "usage is reported",
    )


@pytest.mark.parametrize("role", ["entry", "upstream"])
def test_kill_in_the_middle_of_orders(role):
    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.run_background_load(
            lambda: harness.place_order(caller), clients=8
        ) as finished:
            await harness.wait_until(lambda: len(finished) >= 20, "orders succeed")
            if role == "upstream":
                harness.save_journal("desk-0")
                harness.kill_worker("desk-0")
            else:
                harness.entries["entry-0"].kill()
            count_at_kill = len(finished)
            await harness.wait_until(
                lambda: sum(c.status == 200 for c in finished[count_at_kill:]) >= 20,
                "orders succeed again",
            )
        harness.collect_and_check()

    with DeploymentHarness(services=2, service_flags=SLOW_SERVICE_FLAGS) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_kill_in_the_middle_of_streams(role):
    async def scenario(harness):
        caller = harness.make_caller()
        calls = [
            harness.send_completion(caller, tokens=LONG_TOKEN_COUNT, stream=True)
            for _ in range(4)
        ]
        streams = [asyncio.create_task(call) for call in calls]
        await harness.wait_until(
            lambda: sum(len(c.response) > 20 for c in harness.observations.calls) == 4,
            "all streams have started",
        )
        if role == "engine":
            for name in list(harness.workers):
                harness.kill_worker(name)
        else:
            for process in harness.entries.values():
                process.kill()
        records = await asyncio.gather(*streams)
        # Every stream has started, so each must fail and none may claim that it did
        # not run.
        assert [call.status for call in records] == [0] * 4
        assert {call.verdict for call in records} <= {"may_have_run", "ran"}
        assert all(len(call.response) < LONG_TOKEN_COUNT for call in records)
        harness.collect_and_check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))


def test_stream_continues_on_another_engine():
    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        calls = [
            harness.send_completion(caller, tokens=200, stream=True) for _ in range(6)
        ]
        streams = [asyncio.create_task(call) for call in calls]
        await harness.wait_until(
            lambda: sum(len(c.response) > 20 for c in harness.observations.calls) == 6,
            "all streams have started",
        )
        harness.save_journal("engine-0")
        assert harness.observations.upstream_journals["engine-0"], (
            "engine-0 runs none of the streams"
        )
        harness.kill_worker("engine-0")
        records = await asyncio.gather(*streams)
        assert [call.status for call in records] == [200] * 6
        harness.collect_and_check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_lot_completes_after_process_is_killed(role):
    async def scenario(harness):
        trainer = harness.make_trainer()
        # Twice as many samples as can run at once, so that half of them arrive a
        # second later.
        specification = make_lot("lot-1", samples=16)
        lot = asyncio.create_task(harness.run_lot(trainer, specification))
        await harness.wait_until(
            lambda: len(harness.observations.samples) >= 3,
            "the first samples have arrived",
        )
        if role == "entry":
            harness.entries["entry-0"].kill()
        else:
            harness.save_journal("engine-0")
            harness.kill_worker("engine-0")
        samples = await lot
        assert len(samples) == 32
        assert trainer.attach_count == (2 if role == "entry" else 1)
        harness.collect_and_check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("stalled", [False, True])
def test_stored_samples_survive_kill_of_all_entries(stalled):
    """All entries are killed and restarted after the samples are in the store.

    Samples whose first run stalled and that another engine ran must survive as well.
    """

    async def scenario(harness):
        if stalled:
            harness.workers["engine-0"].add_fault("stall", seconds=3, value=9, count=1)
        trainer = harness.make_trainer()
        specification = make_lot("lot-2", groups=1, samples=4, tokens=50)
        lot = asyncio.create_task(harness.run_lot(trainer, specification))
        await harness.wait_until(
            lambda: harness.count_current_runs() >= 4, "the lot runs"
        )
        # An entry stores every result before it delivers it.
        await harness.wait_until(
            lambda: len(harness.observations.samples) >= 1, "a sample has arrived"
        )
        await harness.wait_until(
            lambda: sum(run["finished"] for run in list_all_runs(harness)) == 4,
            "the engines have finished",
        )
        await asyncio.sleep(0.5)
        runs = len(list_all_runs(harness))
        names = list(harness.entries)
        for name in names:
            harness.entries[name].kill()
        for name in names:
            # The trainer knows only the addresses of the killed entries.
            harness.add_entry(name, "bench-a", replaces=harness.entries[name])
        assert len(await lot) == 4
        # No sample was generated again, as the store held them.
        assert max(count_runs_by_name(harness.collect_and_check()).values()) == runs
        # A stalled run does not finish on its first engine, so there is another run.
        assert runs >= 4 + stalled

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))
