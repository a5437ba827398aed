"""The store is down or slow, or its answers are lost after taking effect."""

import asyncio
import contextlib

import pytest

from buckthornstile.commands import ExitCode
from tests.harness import DeploymentHarness
from tests.invariants import check_usage_exact, count_received, count_reported

OUTAGE = 2.5  # seconds; with what a busy machine adds, under the bound below
KEY_BOUND = 5.0  # seconds, the entries' default


@pytest.mark.parametrize("fault", ["busy", "slow", "silent"])
def test_calls_go_on_while_the_store_fails(fault):
    """They do for as long as keys may be trusted unseen, and again afterwards."""

    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.load(lambda: harness.order(caller)) as ended:
            await harness.until(lambda: len(ended) >= 20, "orders run")
            harness.store.add_fault(fault, seconds=30)
            await asyncio.sleep(OUTAGE)
            harness.store.clear_faults()
            count = len(ended)
            await harness.until(lambda: len(ended) >= count + 50, "orders go on")
        assert count >= 50
        assert {call.code for call in ended} == {""}
        await wait_billed(harness)
        check_usage_exact(harness.check())

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_an_operator_is_told_that_the_store_fails():
    async def scenario(harness):
        harness.store.add_fault("busy")
        code, answer = await harness.run_command("drain", "bench-b")
        assert (code, answer["ok"]) == (ExitCode.PLATFORM_UNAVAILABLE, False)
        harness.store.clear_faults()
        assert (await harness.run_command("drain", "bench-b"))[1]["changed"]

    with DeploymentHarness(entries=1) as harness:
        asyncio.run(scenario(harness))


def test_keys_are_not_trusted_for_ever_without_the_store():
    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        harness.store.add_fault("busy")
        async with harness.load(lambda: harness.look_up(caller)) as ended:
            await harness.until(
                lambda: ended and ended[-1].code != "", "calls are refused"
            )
            harness.store.clear_faults()
            await harness.until(lambda: ended[-1].status == 200, "calls run again")
        refused = [call for call in ended if call.status != 200]
        assert {call.code for call in refused} == {"process.configuration_old"}
        # What ran when the time was up was broken off; all later ones never began.
        later = [call for call in refused if call.began > refused[0].ended]
        assert {call.verdict for call in later} == {"not_run"}
        assert refused[0].began - ended[0].began < KEY_BOUND
        harness.check()

    with DeploymentHarness(services=1) as harness:
        asyncio.run(scenario(harness))


async def wait_billed(harness):
    """Waits until all that was received is reported, or nothing changes any more."""
    with contextlib.suppress(TimeoutError):
        await harness.until(
            lambda: (
                count_reported(harness.collect())
                == count_received(harness.observations)
            ),
            "usage is reported",
            seconds=30,
        )


def test_lost_answers_double_nothing():
    async def scenario(harness):
        caller = harness.make_caller()
        before = len(await harness.follow_history())
        harness.store.add_fault("lose_answer", target="append", count=60)
        harness.store.add_fault("lose_answer", target="duty", count=3)
        async with harness.load(lambda: harness.order(caller)) as ended:
            code, answer = await harness.run_command("drain", "bench-b")
            assert (code, answer["changed"]) == (ExitCode.OK, True)
            await harness.until(lambda: len(ended) >= 50, "orders go on")
        changes = await harness.follow_history()
        assert len(changes) == before + 1
        harness.store.clear_faults()
        assert {call.code for call in ended} == {""}
        await wait_billed(harness)
        check_usage_exact(harness.check())

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_history_that_is_dropped_loses_nothing():
    async def scenario(harness):
        caller = harness.make_caller()
        code, _ = await harness.run_command("drain", "bench-b")
        assert code == ExitCode.OK
        harness.store.request_json("POST", "/control/compact")
        harness.add_entry("entry-9", "bench-a")
        await harness.until(
            lambda: harness.read_status("entry-9")["drained"] == ["bench-b"],
            "a new entry knows",
        )
        harness.store.request_json("POST", "/control/compact")
        await harness.run_command("restore", "bench-b")
        for name in harness.entries:
            await harness.until(
                lambda name=name: harness.read_status(name)["drained"] == [],
                "all know",
            )
        assert (await harness.order(caller)).status == 200
        harness.check()

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))
