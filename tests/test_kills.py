"""Processes die at once, in the middle of calls and lots."""

import asyncio

import pytest

from tests.checker import check_usage_exact, count_reported, count_runs
from tests.support import World, make_lot

SLOW_SERVICE = {"delay_seconds": 0.2}
SLOW_ENGINE = {"token_seconds": 0.01}
LONG_TOKENS = 3000


def test_no_fault_bills_exactly_what_was_received():
    async def scenario(world):
        caller = world.make_caller()
        calls = [world.order(caller) for _ in range(20)]
        calls += [world.complete(caller) for _ in range(20)]
        calls += [world.complete(caller, stream=True) for _ in range(10)]
        seen = await asyncio.gather(*calls)
        await wait_billed(world, len(seen))
        # Whatever was billed twice would show beside one more call.
        seen.append(await world.order(caller))
        await wait_billed(world, len(seen))
        assert {call.status for call in seen} == {200}
        check_usage_exact(world.check())

    with World(engines=2, services=2) as world:
        asyncio.run(scenario(world))


async def wait_billed(world, count):
    await world.until(
        lambda: count_reported(world.collect())["mill"] >= count, "usage is reported"
    )


@pytest.mark.parametrize("role", ["entry", "agent", "upstream"])
def test_kill_in_the_middle_of_orders(role):
    async def scenario(world):
        caller = world.make_caller()
        async with world.load(lambda: world.order(caller), clients=8) as ended:
            await world.until(lambda: len(ended) >= 20, "orders run")
            if role == "upstream":
                world.keep_journal("desk-0")
                world.kill_upstream("desk-0")
            else:
                name = {"entry": "entry-0", "agent": "desk-0"}[role]
                processes = world.entries if role == "entry" else world.agents
                processes[name].kill()
            killed_at = len(ended)
            await world.until(
                lambda: sum(c.status == 200 for c in ended[killed_at:]) >= 20,
                "orders run again",
            )
        world.check()

    with World(services=2, service_flags=SLOW_SERVICE) as world:
        asyncio.run(scenario(world))


@pytest.mark.parametrize("role", ["entry", "agent", "engine"])
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
            for name in list(world.upstreams):
                world.kill_upstream(name)
        else:
            group = world.entries if role == "entry" else world.agents
            for process in group.values():
                process.kill()
        seen = await asyncio.gather(*streams)
        # Every stream has begun, so each must end with an honest error.
        assert [call.status for call in seen] == [0] * 4
        assert {call.verdict for call in seen} <= {"may_have_run", "ran"}
        assert all(len(call.answer) < LONG_TOKENS for call in seen)
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


@pytest.mark.parametrize("role", ["entry", "agent", "engine"])
def test_kill_in_the_middle_of_a_lot(role):
    async def scenario(world):
        trainer = world.make_trainer()
        lot = asyncio.create_task(world.run_lot(trainer, make_lot("lot-1", samples=8)))
        await world.until(
            lambda: len(world.evidence.samples) >= 3, "the first samples came"
        )
        if role == "entry":
            world.entries["entry-0"].kill()
        elif role == "agent":
            world.agents["engine-0"].kill()
        else:
            world.keep_journal("engine-0")
            world.kill_upstream("engine-0")
        seen = await lot
        assert len(seen) == 16
        assert trainer.attach_count == (2 if role == "entry" else 1)
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


def test_finished_samples_outlive_the_entry_that_asked_for_them():
    async def scenario(world):
        trainer = world.make_trainer()
        first, second = world.entries.values()
        specification = make_lot("lot-2", groups=1, samples=4, tokens=50)
        lot = asyncio.create_task(world.run_lot(trainer, specification))
        await world.until(lambda: world.count_upstream("completion") >= 4, "it runs")
        # Paused, it takes in nothing; the agents finish without it.
        first.pause()
        await world.until(
            lambda: all(
                "ended" in entry
                for process in world.upstreams.values()
                for entry in process.read_journal("completion")
            ),
            "the engines are done",
        )
        first.kill()
        seen = await lot
        assert len(seen) == 4
        # No sample was made again: the agents had them.
        evidence = world.check()
        assert max(count_runs(evidence).values()) == 4
        assert second.is_running

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))
