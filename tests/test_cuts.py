"""Connections between entry and agent are cut in the middle of a frame."""

import asyncio
import contextlib
import itertools

import pytest

from standins.relay import FROM_TARGET, TO_TARGET, Relay
from tests.support import DESK, MODELS, World, make_lot

CUT_BYTES = (1, 3, 50, 400, 1900, 9000)
PADDING_BYTES = 1200  # makes a frame longer than one heartbeat


@pytest.mark.parametrize("direction", [TO_TARGET, FROM_TARGET])
@pytest.mark.parametrize(("name", "service"), [("desk-0", DESK), ("engine-0", MODELS)])
def test_cut_at_several_bytes(name, service, direction):
    async def scenario(world, relay):
        caller = world.make_caller()
        kinds = [
            lambda: world.order(caller, padding=PADDING_BYTES),
            lambda: world.look_up(caller),
            lambda: world.complete(caller),
            lambda: world.complete(caller, stream=True),
        ]
        turns = itertools.cycle(kinds)
        for number, count in enumerate(CUT_BYTES):
            async with world.load(lambda: next(turns)()):
                relay.cut_after(count, direction)
                await world.until(lambda n=number: relay.cuts > n, f"cut at {count}")
            await world.until(
                lambda: is_connected(world, name), f"{name} is connected again"
            )
            again = await asyncio.gather(*[call() for call in kinds])
            assert [call.status for call in again] == [200] * 4
        world.check()

    with make_world() as (world, relays):
        relay = relays[name]
        world.list_agent(name, "bench-a", service, **place(relay))
        world.wait_for(lambda: relay.passed[FROM_TARGET] > 0, "it goes by the relay")
        world.wait_for(lambda: is_connected(world, name), "it is connected")
        asyncio.run(scenario(world, relay))


@contextlib.contextmanager
def make_world():
    with World(engines=1, services=1, entries=1) as world, contextlib.ExitStack() as s:
        relays = {
            name: s.enter_context(Relay(agent.address, agent.port))
            for name, agent in world.agents.items()
        }
        yield world, relays


def place(relay):
    return {"address": relay.address, "port": relay.port}


def is_connected(world, name):
    upstreams = world.read_status("entry-0")["upstreams"]
    return all(u["connected"] for u in upstreams if u["upstream"] == name)


def test_cut_in_the_middle_of_a_lot():
    async def scenario(world, relay):
        trainer = world.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=60)
        running = asyncio.create_task(world.run_lot(trainer, lot))
        for number, count in enumerate((700, 2500, 5000)):
            relay.cut_after(count, FROM_TARGET)
            await world.until(lambda n=number: relay.cuts > n, f"cut at byte {count}")
            await world.until(
                lambda: is_connected(world, "engine-0"), "it is connected again"
            )
        assert len(await running) == 16
        world.check()

    with make_world() as (world, relays):
        relay = relays["engine-0"]
        world.list_agent("engine-0", "bench-a", MODELS, **place(relay))
        world.wait_for(lambda: relay.passed[FROM_TARGET] > 0, "it goes by the relay")
        asyncio.run(scenario(world, relay))
