"""Connections between entry and worker are cut in the middle of a message."""

import asyncio
import contextlib
import itertools
import socket

import pytest

from standins.relay import FROM_TARGET, TO_TARGET, Relay
from tests.support import DESK, MODEL, MODELS, World, make_lot

CUT_BYTES = (1, 3, 50, 400, 1900, 9000)
PADDING_BYTES = 1200  # makes a request longer than one read of its head


@pytest.mark.parametrize("direction", [TO_TARGET, FROM_TARGET])
@pytest.mark.parametrize("name", ["desk-0", "engine-0"])
def test_cut_at_several_bytes(name, direction):
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
            again = await asyncio.gather(*[call() for call in kinds])
            assert [call.status for call in again] == [200] * 4
        world.check()

    with make_world() as (world, relays):
        asyncio.run(scenario(world, relays[name]))


@contextlib.contextmanager
def make_world():
    """Starts a world whose workers are reached by relays only."""
    with World(entries=1) as world, contextlib.ExitStack() as stack:
        relays = {}
        workers = (("desk-0", DESK, ""), ("engine-0", MODELS, MODEL))
        for name, service, models in workers:
            address = world.take_address()
            port = find_port(address)
            relay = relays[name] = stack.enter_context(Relay(address, port))
            world._addresses -= 1
            world.add_worker(
                name,
                "bench-a",
                service,
                models=models,
                port=port,
                advertise=f"{relay.address}:{relay.port}",
            )
        world.wait_ready()
        yield world, relays


def find_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def test_cut_in_the_middle_of_a_lot():
    async def scenario(world, relay):
        trainer = world.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=60)
        running = asyncio.create_task(world.run_lot(trainer, lot))
        for number, count in enumerate((700, 2500, 5000)):
            relay.cut_after(count, FROM_TARGET)
            await world.until(lambda n=number: relay.cuts > n, f"cut at byte {count}")
        assert len(await running) == 16
        world.check()

    with make_world() as (world, relays):
        asyncio.run(scenario(world, relays["engine-0"]))
