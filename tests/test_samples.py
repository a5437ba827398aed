"""Weights change, and engines fail or restart, during a lot."""

import asyncio

import pytest

from tests.harness import DeploymentHarness, make_lot

SLOW_ENGINE_FLAGS = {"event_seconds": 0.005, "load_seconds": 0.05}
FAULTS = {
    "none": {},
    "error": {"kind": "error", "count": 3},
    "full": {"kind": "full", "count": 3},
    "disconnect": {"kind": "cut", "value": 40, "count": 3},
    "disconnect at the end": {"kind": "cut_end", "count": 3},
    "stall": {"kind": "stall", "value": 10, "seconds": 2.0, "count": 2},
    "lost load order": {"kind": "mute_order", "count": 2},
    "late load order": {"kind": "late_order", "seconds": 0.8, "count": 1},
}


@pytest.mark.parametrize("fault", FAULTS)
def test_labels_and_age_are_right_while_weights_change(fault):
    """The trainer names new weight versions during a lot; both engines load them."""

    async def scenario(harness):
        trainer = harness.make_trainer()
        version = 1
        lot = make_lot("lot-0", groups=8, samples=8, tokens=100, maximum_age=1)
        add_fault(harness, fault)
        running = asyncio.create_task(
            harness.run_lot(trainer, lot, get_version=lambda: version)
        )
        # All samples that are running when version 4 is named become too old.
        for new_version in (2, 4):
            count = len(harness.observations.samples) + 8
            await harness.wait_until(
                lambda n=count: len(harness.observations.samples) >= n, "samples arrive"
            )
            add_fault(harness, fault)
            version = new_version
            await trainer.set_version(version)
        assert len(await running) == 64
        versions = {v for s in harness.observations.samples for _, _, v in s.labels}
        assert len(versions) > 1, "no sample was generated with newer weights"
        harness.collect_and_check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))


def add_fault(harness, fault):
    for engine in harness.workers.values():
        if FAULTS[fault]:
            engine.add_fault(**FAULTS[fault])


def test_labels_are_right_after_engine_restarts_with_newer_weights():
    async def scenario(harness):
        trainer = harness.make_trainer()
        lot = make_lot("lot-0", groups=2, samples=8, tokens=100)
        running = asyncio.create_task(harness.run_lot(trainer, lot))
        await harness.wait_until(
            lambda: len(harness.observations.samples) >= 2, "samples arrive"
        )
        harness.kill_worker("engine-0")
        await asyncio.to_thread(
            harness.add_engine, "engine-0", "bench-a", "geometry-models", version=3
        )
        assert len(await running) == 16
        harness.collect_and_check()

    with DeploymentHarness(engines=2, engine_flags=SLOW_ENGINE_FLAGS) as harness:
        asyncio.run(scenario(harness))
