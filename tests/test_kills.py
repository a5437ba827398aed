"""Processes die at once, in the middle of calls and lots."""

import asyncio

import pytest

from tests.checker import (
    check_usage_exact,
    count_received,
    count_reported,
    count_runs,
)
from tests.support import World, make_lot

SLOW_SERVICE = {"work_seconds": 0.2}
SLOW_ENGINE = {"event_seconds": 0.01}
LONG_TOKENS = 3000


def test_no_fault_bills_each_account_exactly_what_it_received():
    async def scenario(world):
        caller, other = world.make_caller(), world.make_caller(key=world.other_key)
        calls = [world.order(caller) for _ in range(20)]
        calls += [world.complete(caller) for _ in range(20)]
        calls += [world.complete(caller, stream=True) for _ in range(10)]
        calls += [world.order(other, account="ledger") for _ in range(7)]
        seen = await asyncio.gather(*calls)
        await wait_billed(world)
        # Whatever was billed twice would show beside one more call of each.
        seen.append(await world.order(caller, path="/private"))
        seen.append(await world.order(other, account="ledger"))
        assert {call.status for call in seen} == {200}
        refused = await world.order(other, account="ledger", path="/private")
        assert (refused.code, refused.verdict) == ("request.route_unknown", "not_run")
        await wait_billed(world)
        check_usage_exact(world.check())

    with World(engines=2, services=2) as world:
        world.other_key, items = world.make_account("ledger")
        world.evidence.keys.append(world.other_key)
        world.change(*items)
        world.wait_ready()
        asyncio.run(scenario(world))


def list_all_runs(world):
    workers = world.workers.values()
    return [run for worker in workers for run in worker.read_journal("run")]


async def wait_billed(world):
    await world.until(
        lambda: (
            count_reported(world.collect()).total()
            >= count_received(world.evidence).total()
        ),
        "usage is reported",
    )


@pytest.mark.parametrize("role", ["entry", "upstream"])
def test_kill_in_the_middle_of_orders(role):
    async def scenario(world):
        caller = world.make_caller()
        async with world.load(lambda: world.order(caller), clients=8) as ended:
            await world.until(lambda: len(ended) >= 20, "orders run")
            if role == "upstream":
                world.keep_journal("desk-0")
                world.kill_worker("desk-0")
            else:
                world.entries["entry-0"].kill()
            killed_at = len(ended)
            await world.until(
                lambda: sum(c.status == 200 for c in ended[killed_at:]) >= 20,
                "orders run again",
            )
        world.check()

    with World(services=2, service_flags=SLOW_SERVICE) as world:
        asyncio.run(scenario(world))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_kill_in_the_middle_of_streams(role):
    async def scenario(world):
        caller = world.make_caller()
        calls = [
            world.complete(caller, tokens=LONG_TOKENS, stream=True) for _ in range(4)
        ]
        streams = [asyncio.create_task(call) for call in calls]
        await world.until(
            lambda: sum(len(c.answer) > 20 for c in world.evidence.calls) == 4,
            "all streams run",
        )
        if role == "engine":
            for name in list(world.workers):
                world.kill_worker(name)
        else:
            for process in world.entries.values():
                process.kill()
        seen = await asyncio.gather(*streams)
        # Every stream has begun, so each must end with an honest error.
        assert [call.status for call in seen] == [0] * 4
        assert {call.verdict for call in seen} <= {"may_have_run", "ran"}
        assert all(len(call.answer) < LONG_TOKENS for call in seen)
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


def test_a_stream_goes_on_at_another_engine():
    async def scenario(world):
        caller = world.make_caller(attempts=1)
        calls = [world.complete(caller, tokens=200, stream=True) for _ in range(6)]
        streams = [asyncio.create_task(call) for call in calls]
        await world.until(
            lambda: sum(len(c.answer) > 20 for c in world.evidence.calls) == 6,
            "all streams run",
        )
        world.keep_journal("engine-0")
        assert world.evidence.upstreams["engine-0"], "the engine runs none of them"
        world.kill_worker("engine-0")
        seen = await asyncio.gather(*streams)
        assert [call.status for call in seen] == [200] * 6
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


@pytest.mark.parametrize("role", ["entry", "engine"])
def test_kill_in_the_middle_of_a_lot(role):
    async def scenario(world):
        trainer = world.make_trainer()
        # Twice as many as there are places, so that half come a second later.
        wanted = make_lot("lot-1", samples=16)
        lot = asyncio.create_task(world.run_lot(trainer, wanted))
        await world.until(
            lambda: len(world.evidence.samples) >= 3, "the first samples came"
        )
        if role == "entry":
            world.entries["entry-0"].kill()
        else:
            world.keep_journal("engine-0")
            world.kill_worker("engine-0")
        seen = await lot
        assert len(seen) == 32
        assert trainer.attach_count == (2 if role == "entry" else 1)
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


@pytest.mark.parametrize("stalled", [False, True])
def test_listed_samples_outlive_all_entries(stalled):
    """Also those whose first run stalled, and was left for another engine."""

    async def scenario(world):
        if stalled:
            world.workers["engine-0"].add_fault("stall", seconds=3, value=9, count=1)
        trainer = world.make_trainer()
        specification = make_lot("lot-2", groups=1, samples=4, tokens=50)
        lot = asyncio.create_task(world.run_lot(trainer, specification))
        await world.until(lambda: world.count_runs() >= 4, "it runs")
        # The store holds every result before an entry passes it on.
        await world.until(lambda: len(world.evidence.samples) >= 1, "a sample came")
        await world.until(
            lambda: sum(run["finished"] for run in list_all_runs(world)) == 4,
            "the engines are done",
        )
        await asyncio.sleep(0.5)
        runs = len(list_all_runs(world))
        names = list(world.entries)
        for name in names:
            world.entries[name].kill()
        for name in names:
            # The trainer knows the entries by their addresses.
            world.add_entry(name, "bench-a", instead_of=world.entries[name])
        assert len(await lot) == 4
        # No sample was made again: the store had them.
        assert max(count_runs(world.check()).values()) == runs
        # A run that was left for another engine never finishes at the first one.
        assert runs >= 4 + stalled

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))
