"""Weights change, engines restart and lie, and trainers go on, during a lot."""

import asyncio

import pytest

from tests.support import World, make_lot

SLOW_ENGINE = {"token_seconds": 0.005, "swap_seconds": 0.05}
FAULTS = {
    "none": {},
    "wrong_version": {"kind": "wrong_version", "value": 9, "count": 3},
    "swap_fails": {"kind": "swap_fails", "count": 1},
    "crossed_id": {"kind": "crossed_id", "count": 3},
    "truncate": {"kind": "truncate", "value": 5, "count": 3},
    "declared": {"kind": "truncate_declared", "value": 5, "count": 3},
}


@pytest.mark.parametrize("fault", FAULTS)
def test_labels_and_age_while_weights_change(fault):
    """Both engines load versions 2 to 4; the trainer follows behind them."""

    async def scenario(world):
        trainer = world.make_trainer()
        version = 1
        lot = make_lot("lot-0", groups=8, samples=8, tokens=100, maximum_age=1)
        add_fault(world, fault)
        running = asyncio.create_task(
            world.run_lot(trainer, lot, get_version=lambda: version)
        )
        # The second step makes all that runs at its beginning too old.
        for newer in ((2,), (3, 4)):
            count = len(world.evidence.samples) + 8
            await world.until(
                lambda n=count: len(world.evidence.samples) >= n, "samples come"
            )
            add_fault(world, fault)
            for number in newer:
                order = {"version": number, "term": number}
                for engine in world.upstreams.values():
                    # A swap that fails is ordered again.
                    await asyncio.to_thread(swap, engine, order)
            version = newer[-1]
            await trainer.set_version(version)
        assert len(await running) == 64
        versions = {v for s in world.evidence.samples for _, _, v in s.labels}
        assert len(versions) > 1, "no sample was made by newer weights"
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))


def add_fault(world, fault):
    for engine in world.upstreams.values():
        if FAULTS[fault]:
            engine.add_fault(**FAULTS[fault])


def swap(engine, order):
    for _ in range(3):
        try:
            engine.call("POST", "/v1/orders/load_version", order)
        except OSError:
            continue
        return
    raise AssertionError("the engine loads no weights")


def test_a_restarted_engine_serves_what_it_says():
    async def scenario(world):
        trainer = world.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=100)
        running = asyncio.create_task(world.run_lot(trainer, lot))
        await world.until(lambda: len(world.evidence.samples) >= 2, "samples come")
        world.upstreams["engine-0"].add_fault("restart", value=5)
        assert len(await running) == 16
        world.check()

    with World(engines=2, engine_flags=SLOW_ENGINE) as world:
        asyncio.run(scenario(world))
