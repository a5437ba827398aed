"""Entries and workers stop gracefully: no request fails and all lots complete."""

import asyncio
from urllib.error import URLError

import pytest

from tests.harness import SETTLE_TIMEOUT, DeploymentHarness, make_lot

SLOW_WORKER_FLAGS = {
    "engine_flags": {"event_seconds": 0.005, "drain_seconds": 4.0},
    "service_flags": {"work_seconds": 0.1, "drain_seconds": 4.0},
}


class RoundRobinBalancer:
    """Creates each client for the next entry that reports that it is ready."""

    def __init__(self, harness):
        self.harness = harness
        self.next_index = 0

    async def make_client(self):
        for _ in range(100):
            self.next_index += 1
            entries = list(self.harness.entries.values())
            entry = entries[self.next_index % len(entries)]
            if await asyncio.to_thread(is_ready, entry):
                return self.harness.make_caller(entries=[entry.url], attempts=1)
        raise AssertionError("no entry is ready")


def is_ready(entry):
    try:
        return entry.request_json("GET", "/readyz")["ready"]
    except (URLError, OSError):
        return False


@pytest.mark.parametrize("role", ["entry", "worker"])
def test_graceful_stop_breaks_no_request(role):
    """An entry or two workers are stopped while orders, streams and a lot run."""

    async def scenario(harness):
        balancer = RoundRobinBalancer(harness)

        async def order():
            return await harness.place_order(await balancer.make_client())

        async def stream():
            caller = await balancer.make_client()
            return await harness.send_completion(caller, tokens=200, stream=True)

        trainer = harness.make_trainer()
        lot = make_lot("lot-0", groups=4, samples=8, tokens=200)
        async with (
            harness.run_background_load(order) as orders,
            harness.run_background_load(stream) as streams,
        ):
            await harness.wait_until(
                lambda: len(orders) > 20 and len(streams) > 4, "calls succeed"
            )
            # The lot is started last, so that most of it runs after the stop.
            running = asyncio.create_task(harness.run_lot(trainer, lot))
            await harness.wait_until(
                lambda: harness.observations.samples != [], "the lot has started"
            )
            stopping = [harness.entries["entry-0"]]
            if role == "worker":
                stopping = [harness.workers["desk-0"], harness.workers["engine-0"]]
                # A worker's journal is lost when the worker exits.
                for name in ("desk-0", "engine-0"):
                    harness.observations.lost_journals.add(name)
            for process in stopping:
                process.terminate()
            exit_statuses = [
                await asyncio.to_thread(process.process.wait, SETTLE_TIMEOUT)
                for process in stopping
            ]
            assert exit_statuses == [0] * len(stopping)
            count = len(orders)
            await harness.wait_until(
                lambda: len(orders) > count + 20, "orders continue"
            )
        failure_codes = [c.error_code for c in [*orders, *streams] if c.status != 200]
        assert not failure_codes
        assert len(await running) == 32
        # When its entry stops, the trainer attaches to the other one.
        assert trainer.attach_count == (2 if role == "entry" else 1)
        harness.collect_and_check()

    with DeploymentHarness(engines=2, services=2, **SLOW_WORKER_FLAGS) as harness:
        asyncio.run(scenario(harness))
