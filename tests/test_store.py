"""The store is down or slow, or its answers are lost after taking effect."""

import asyncio
import contextlib

import pytest

from buckthornstile.commands import ExitCode
from tests.checker import check_usage_exact, count_received, count_reported
from tests.support import World

OUTAGE = 2.5  # seconds; with what a busy machine adds, under the bound below
KEY_BOUND = 5.0  # seconds, the entries' default


@pytest.mark.parametrize("fault", ["busy", "slow", "silent"])
def test_calls_go_on_while_the_store_fails(fault):
    """They do for as long as keys may be trusted unseen, and again afterwards."""

    async def scenario(world):
        caller = world.make_caller()
        async with world.load(lambda: world.order(caller)) as ended:
            await world.until(lambda: len(ended) >= 20, "orders run")
            world.store.add_fault(fault, seconds=30)
            await asyncio.sleep(OUTAGE)
            world.store.clear_faults()
            count = len(ended)
            await world.until(lambda: len(ended) >= count + 50, "orders go on")
        assert count >= 50
        assert {call.code for call in ended} == {""}
        await wait_billed(world)
        check_usage_exact(world.check())

    with World(services=2) as world:
        asyncio.run(scenario(world))


def test_an_operator_is_told_that_the_store_fails():
    async def scenario(world):
        world.store.add_fault("busy")
        code, answer = await world.run_command("drain", "bench-b")
        assert (code, answer["ok"]) == (ExitCode.PLATFORM_UNAVAILABLE, False)
        world.store.clear_faults()
        assert (await world.run_command("drain", "bench-b"))[1]["changed"]

    with World(entries=1) as world:
        asyncio.run(scenario(world))


def test_keys_are_not_trusted_for_ever_without_the_store():
    async def scenario(world):
        caller = world.make_caller(attempts=1)
        world.store.add_fault("busy")
        async with world.load(lambda: world.look_up(caller)) as ended:
            await world.until(
                lambda: ended and ended[-1].code != "", "calls are refused"
            )
            world.store.clear_faults()
            await world.until(lambda: ended[-1].status == 200, "calls run again")
        refused = [call for call in ended if call.status != 200]
        assert {call.code for call in refused} == {"process.configuration_old"}
        # What ran when the time was up was broken off; all later ones never began.
        later = [call for call in refused if call.began > refused[0].ended]
        assert {call.verdict for call in later} == {"not_run"}
        assert refused[0].began - ended[0].began < KEY_BOUND
        world.check()

    with World(services=1) as world:
        asyncio.run(scenario(world))


async def wait_billed(world):
    """Waits until all that was received is reported, or nothing changes any more."""
    with contextlib.suppress(TimeoutError):
        await world.until(
            lambda: count_reported(world.collect()) == count_received(world.evidence),
            "usage is reported",
            seconds=30,
        )


def test_lost_answers_double_nothing():
    async def scenario(world):
        caller = world.make_caller()
        before = len(await world.follow_history())
        world.store.add_fault("lose_answer", target="append", count=60)
        world.store.add_fault("lose_answer", target="duty", count=3)
        async with world.load(lambda: world.order(caller)) as ended:
            code, answer = await world.run_command("drain", "bench-b")
            assert (code, answer["changed"]) == (ExitCode.OK, True)
            await world.until(lambda: len(ended) >= 50, "orders go on")
        changes = await world.follow_history()
        assert len(changes) == before + 1
        world.store.clear_faults()
        assert {call.code for call in ended} == {""}
        await wait_billed(world)
        check_usage_exact(world.check())

    with World(services=2) as world:
        asyncio.run(scenario(world))


def test_history_that_is_dropped_loses_nothing():
    async def scenario(world):
        caller = world.make_caller()
        code, _ = await world.run_command("drain", "bench-b")
        assert code == ExitCode.OK
        world.store.call("POST", "/control/compact")
        world.add_entry("entry-9", "bench-a")
        await world.until(
            lambda: world.read_status("entry-9")["drained"] == ["bench-b"],
            "a new entry knows",
        )
        world.store.call("POST", "/control/compact")
        await world.run_command("restore", "bench-b")
        for name in world.entries:
            await world.until(
                lambda name=name: world.read_status(name)["drained"] == [],
                "all know",
            )
        assert (await world.order(caller)).status == 200
        world.check()

    with World(services=2) as world:
        asyncio.run(scenario(world))
