"""Weights change, engines fail and restart, and trainers go on, during a lot."""

import asyncio

import pytest

from tests.harness import DeploymentHarness, make_lot

SLOW_ENGINE = {"event_seconds": 0.005, "load_seconds": 0.05}
FAULTS = {
    "none": {},
    "error": {"kind": "error", "count": 3},
    "full": {"kind": "full", "count": 3},
    "cut": {"kind": "cut", "value": 40, "count": 3},
    "cut at the end": {"kind": "cut_end", "count": 3},
    "stall": {"kind": "stall", "value": 10, "seconds": 2.0, "count": 2},
    "lost order": {"kind": "mute_order", "count": 2},
    "late order": {"kind": "late_order", "seconds": 0.8, "count": 1},
}


@pytest.mark.parametrize("fault", FAULTS)
def test_labels_and_age_while_weights_change(fault):
    """Both engines load the versions that the trainer names in the middle."""

    async def scenario(harness):
        trainer = harness.make_trainer()
        version = 1
        lot = make_lot("lot-0", groups=8, samples=8, tokens=100, maximum_age=1)
        add_fault(harness, fault)
        running = asyncio.create_task(
            harness.run_lot(trainer, lot, get_version=lambda: version)
        )
        # The second step makes all that runs at its beginning too old.
        for newer in (2, 4):
            count = len(harness.observations.samples) + 8
            await harness.until(
                lambda n=count: len(harness.observations.samples) >= n, "samples come"
            )
            add_fault(harness, fault)
            version = newer
            await trainer.set_version(version)
        assert len(await running) == 64
        versions = {v for s in harness.observations.samples for _, _, v in s.labels}
        assert len(versions) > 1, "no sample was made by newer weights"
        harness.check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))


def add_fault(harness, fault):
    for engine in harness.workers.values():
        if FAULTS[fault]:
            engine.add_fault(**FAULTS[fault])


def test_a_restarted_engine_serves_what_it_says():
    async def scenario(harness):
        trainer = harness.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=100)
        running = asyncio.create_task(harness.run_lot(trainer, lot))
        await harness.until(
            lambda: len(harness.observations.samples) >= 2, "samples come"
        )
        harness.kill_worker("engine-0")
        await asyncio.to_thread(
            harness.add_engine, "engine-0", "bench-a", "geometry-models", version=3
        )
        assert len(await running) == 16
        harness.check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE) as harness:
        asyncio.run(scenario(harness))
