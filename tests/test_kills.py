"""Processes die at once, in the middle of calls and lots."""

import asyncio

import pytest

from tests.harness import DeploymentHarness, make_lot
from tests.invariants import (
    check_usage_exact,
    count_received,
    count_reported,
    count_runs,
)

SLOW_SERVICE = {"work_seconds": 0.2}
SLOW_ENGINE = {"event_seconds": 0.01}
LONG_TOKENS = 3000


def test_no_fault_bills_each_account_exactly_what_it_received():
    async def scenario(harness):
        caller, other = (
            harness.make_caller(),
            harness.make_caller(key=harness.other_key),
        )
        calls = [harness.order(caller) for _ in range(20)]
        calls += [harness.complete(caller) for _ in range(20)]
        calls += [harness.complete(caller, stream=True) for _ in range(10)]
        calls += [harness.order(other, account="ledger") for _ in range(7)]
        seen = await asyncio.gather(*calls)
        await wait_billed(harness)
        # Whatever was billed twice would show beside one more call of each.
        seen.append(await harness.order(caller, path="/private"))
        seen.append(await harness.order(other, account="ledger"))
        assert {call.status for call in seen} == {200}
        refused = await harness.order(other, account="ledger", path="/private")
        assert (refused.code, refused.verdict) == ("request.route_unknown", "not_run")
        await wait_billed(harness)
        check_usage_exact(harness.check())

    with DeploymentHarness(engines=2, services=2) as harness:
        harness.other_key, items = harness.create_account("ledger")
        harness.observations.keys.append(harness.other_key)
        harness.apply_change(*items)
        harness.wait_until_ready()
        asyncio.run(scenario(harness))


def list_all_runs(harness):
    workers = harness.workers.values()
    return [run for worker in workers for run in worker.read_journal("run")]


async def wait_billed(harness):
    await harness.until(
        lambda: (
            count_reported(harness.collect()).total()
            >= count_received(harness.observations).total()
        ),
        "usage is reported",
    )


@pytest.mark.parametrize("role", ["entry", "upstream"])
def test_kill_in_the_middle_of_orders(role):
    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.load(lambda: harness.order(caller), clients=8) as ended:
            await harness.until(lambda: len(ended) >= 20, "orders run")
            if role == "upstream":
                harness.keep_journal("desk-0")
                harness.kill_worker("desk-0")
            else:
                harness.entries["entry-0"].kill()
            killed_at = len(ended)
            await harness.until(
                lambda: sum(c.status == 200 for c in ended[killed_at:]) >= 20,
                "orders run again",
            )
        harness.check()

    with DeploymentHarness(services=2, service_flags=SLOW_SERVICE) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_kill_in_the_middle_of_streams(role):
    async def scenario(harness):
        caller = harness.make_caller()
        calls = [
            harness.complete(caller, tokens=LONG_TOKENS, stream=True) for _ in range(4)
        ]
        streams = [asyncio.create_task(call) for call in calls]
        await harness.until(
            lambda: sum(len(c.answer) > 20 for c in harness.observations.calls) == 4,
            "all streams run",
        )
        if role == "engine":
            for name in list(harness.workers):
                harness.kill_worker(name)
        else:
            for process in harness.entries.values():
                process.kill()
        seen = await asyncio.gather(*streams)
        # Every stream has begun, so each must end with an honest error.
        assert [call.status for call in seen] == [0] * 4
        assert {call.verdict for call in seen} <= {"may_have_run", "ran"}
        assert all(len(call.answer) < LONG_TOKENS for call in seen)
        harness.check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))


def test_a_stream_goes_on_at_another_engine():
    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        calls = [harness.complete(caller, tokens=200, stream=True) for _ in range(6)]
        streams = [asyncio.create_task(call) for call in calls]
        await harness.until(
            lambda: sum(len(c.answer) > 20 for c in harness.observations.calls) == 6,
            "all streams run",
        )
        harness.keep_journal("engine-0")
        assert harness.observations.upstreams["engine-0"], (
            "the engine runs none of them"
        )
        harness.kill_worker("engine-0")
        seen = await asyncio.gather(*streams)
        assert [call.status for call in seen] == [200] * 6
        harness.check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_kill_in_the_middle_of_a_lot(role):
    async def scenario(harness):
        trainer = harness.make_trainer()
        # Twice as many as there are places, so that half come a second later.
        wanted = make_lot("lot-1", samples=16)
        lot = asyncio.create_task(harness.run_lot(trainer, wanted))
        await harness.until(
            lambda: len(harness.observations.samples) >= 3, "the first samples came"
        )
        if role == "entry":
            harness.entries["entry-0"].kill()
        else:
            harness.keep_journal("engine-0")
            harness.kill_worker("engine-0")
        seen = await lot
        assert len(seen) == 32
        assert trainer.attach_count == (2 if role == "entry" else 1)
        harness.check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("stalled", [False, True])
def test_listed_samples_outlive_all_entries(stalled):
    """Also those whose first run stalled, and was left for another engine."""

    async def scenario(harness):
        if stalled:
            harness.workers["engine-0"].add_fault("stall", seconds=3, value=9, count=1)
        trainer = harness.make_trainer()
        specification = make_lot("lot-2", groups=1, samples=4, tokens=50)
        lot = asyncio.create_task(harness.run_lot(trainer, specification))
        await harness.until(lambda: harness.count_runs() >= 4, "it runs")
        # The store holds every result before an entry passes it on.
        await harness.until(
            lambda: len(harness.observations.samples) >= 1, "a sample came"
        )
        await harness.until(
            lambda: sum(run["finished"] for run in list_all_runs(harness)) == 4,
            "the engines are done",
        )
        await asyncio.sleep(0.5)
        runs = len(list_all_runs(harness))
        names = list(harness.entries)
        for name in names:
            harness.entries[name].kill()
        for name in names:
            # The trainer knows the entries by their addresses.
            harness.add_entry(name, "bench-a", replaces=harness.entries[name])
        assert len(await lot) == 4
        # No sample was made again: the store had them.
        assert max(count_runs(harness.check()).values()) == runs
        # A run that was left for another engine never finishes at the first one.
        assert runs >= 4 + stalled

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))
