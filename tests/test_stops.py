"""A planned stop of any role cuts no request and hands lots over."""

import asyncio
from urllib.error import URLError

import pytest

from tests.support import SETTLE, World, make_lot

SLOW = {
    "engine_flags": {"event_seconds": 0.005, "drain_seconds": 4.0},
    "service_flags": {"work_seconds": 0.1, "drain_seconds": 4.0},
}


class Balancer:
    """Sends each call to the next entry that says it is ready."""

    def __init__(self, world):
        self.world = world
        self.turn = 0

    async def choose(self):
        for _ in range(100):
            self.turn += 1
            entries = list(self.world.entries.values())
            entry = entries[self.turn % len(entries)]
            if await asyncio.to_thread(is_ready, entry):
                return self.world.make_caller(entries=[entry.url], attempts=1)
        raise AssertionError("no entry is ready")


def is_ready(entry):
    try:
        return entry.call("GET", "/readyz")["ready"]
    except (URLError, OSError):
        return False


@pytest.mark.parametrize("role", ["entry", "worker"])
def test_a_planned_stop_cuts_no_request(role):
    async def scenario(world):
        balancer = Balancer(world)

        async def order():
            return await world.order(await balancer.choose())

        async def stream():
            caller = await balancer.choose()
            return await world.complete(caller, tokens=200, stream=True)

        trainer = world.make_trainer()
        lot = make_lot("lot-0", groups=4, samples=8, tokens=200)
        async with world.load(order) as orders, world.load(stream) as streams:
            await world.until(
                lambda: len(orders) > 20 and len(streams) > 4, "calls run"
            )
            # Begun last, so that the stop comes while most of it is still to run.
            running = asyncio.create_task(world.run_lot(trainer, lot))
            await world.until(lambda: world.evidence.samples != [], "the lot runs")
            stopping = [world.entries["entry-0"]]
            if role == "worker":
                stopping = [world.workers["desk-0"], world.workers["engine-0"]]
                for name in ("desk-0", "engine-0"):
                    world.evidence.lost_journals.add(name)
            for process in stopping:
                process.ask_to_stop()
            codes = [
                await asyncio.to_thread(process.process.wait, SETTLE)
                for process in stopping
            ]
            assert codes == [0] * len(stopping)
            count = len(orders)
            await world.until(lambda: len(orders) > count + 20, "orders go on")
        failed = [c.code for c in [*orders, *streams] if c.status != 200]
        assert not failed
        assert len(await running) == 32
        assert trainer.attach_count == (2 if role == "entry" else 1)
        world.check()

    with World(engines=2, services=2, **SLOW) as world:
        asyncio.run(scenario(world))
