"""The platform's log is down, or its answers are lost after taking effect."""

import asyncio

import pytest

from buckthornstile.commands import ExitCode
from tests.checker import check_usage_exact, count_received, count_reported
from tests.support import World


@pytest.mark.parametrize("fault", ["down", "slow"])
def test_calls_go_on_while_the_log_fails(fault):
    async def scenario(world):
        caller = world.make_caller()
        world.platform.add_fault(fault, target="log", seconds=30)
        async with world.load(lambda: world.order(caller)) as ended:
            code, answer = await world.run_command(
                "drain", "bench-b", "--platform_timeout=0.5"
            )
            assert (code, answer["ok"]) == (ExitCode.PLATFORM_UNAVAILABLE, False)
            await world.until(lambda: len(ended) >= 50, "orders go on")
        world.platform.clear_faults()
        assert {call.status for call in ended} == {200}
        await wait_billed(world)
        check_usage_exact(world.check())

    with World(services=2) as world:
        asyncio.run(scenario(world))


async def wait_billed(world):
    await world.until(
        lambda: count_reported(world.collect()) == count_received(world.evidence),
        "usage is reported",
        seconds=30,
    )


def test_lost_answers_double_nothing():
    async def scenario(world):
        caller = world.make_caller()
        before = len(await world.follow_history())
        world.platform.add_fault("lose_answer", target="log.post", seconds=0.05)
        world.platform.add_fault("lose_answer", target="usage", seconds=0.05)
        async with world.load(lambda: world.order(caller)) as ended:
            code, answer = await world.run_command("drain", "bench-b")
            assert (code, answer["changed"]) == (ExitCode.OK, True)
            await world.until(lambda: len(ended) >= 50, "orders go on")
        changes = await world.follow_history()
        assert len(changes) == before + 1
        world.platform.clear_faults()
        assert {call.status for call in ended} == {200}
        await wait_billed(world)
        check_usage_exact(world.check())

    with World(services=2) as world:
        asyncio.run(scenario(world))
