"""The VM list lags, is empty or down; a new upstream starts cold."""

import asyncio
import time

import pytest

from tests.support import DESK, SETTLE, World

INITIAL_LIMIT = 2


@pytest.mark.parametrize("fault", ["empty", "down", "lag"])
def test_service_goes_on_without_a_true_vm_list(fault):
    async def scenario(world):
        caller = world.make_caller(attempts=1)
        async with world.load(lambda: world.order(caller)) as ended:
            await world.until(lambda: len(ended) > 10, "calls run")
            world.platform.add_fault(fault, target="vms", seconds=60)
            reads = 5.0  # seconds, in which each entry reads the list some times
            began = ended[-1].began
            await world.until(
                lambda: ended[-1].began > began + reads, "calls go on", seconds=30
            )
        assert {call.status for call in ended} == {200}
        world.check()

    with World(services=2) as world:
        asyncio.run(scenario(world))


def test_a_new_upstream_is_ramped():
    """Concurrency grows from the initial limit by one a finished call at most."""

    async def scenario(world):
        caller = world.make_caller()
        async with world.load(lambda: world.look_up(caller), clients=60):
            await world.until(
                lambda: len(world.evidence.calls) > 200, "there is a load"
            )
            await asyncio.to_thread(
                world.add_service, "desk-1", "bench-b", DESK, delay_seconds=0.4
            )
            peaks = {}
            deadline = time.monotonic() + SETTLE
            while time.monotonic() < deadline and max(peaks, default=0) < 30:
                journal = await asyncio.to_thread(
                    world.upstreams["desk-1"].call, "GET", "/control/journal"
                )
                runs = len(journal["entries"])
                peaks[runs] = journal.get("peak_running", 0)
                await asyncio.sleep(0.05)
        assert max(peaks.values()) > INITIAL_LIMIT, "the ramp was never tried"
        above = {n: p for n, p in peaks.items() if p > INITIAL_LIMIT + n}
        assert not above, f"peaks by finished calls: {above}"
        world.check()

    with World(
        services=1,
        entries=2,
        service_flags={"delay_seconds": 0.05},
        agent_settings={"initial_limit": INITIAL_LIMIT},
    ) as world:
        asyncio.run(scenario(world))
