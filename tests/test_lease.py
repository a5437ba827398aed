"""The holder of the lease is paused past its lease, or dies; nobody acts as two."""

import asyncio

import pytest

from tests.harness import DeploymentHarness


def list_reporters(harness):
    return [entry["holder"] for entry in harness.store.read_journal("usage")]


@pytest.mark.parametrize("fault", ["slow", "lose_answer"])
def test_a_paused_holder_acts_no_more(fault):
    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.load(lambda: harness.look_up(caller), clients=2):
            # Reports are under way, or have lost their answer, at any pause.
            harness.store.add_fault(fault, target="duty", seconds=0.2)
            await harness.until(
                lambda: harness.find_holder() != "", "one holds the lease"
            )
            first = harness.find_holder()
            await harness.until(lambda: first in list_reporters(harness), "it reports")
            harness.entries[first].pause()
            others = lambda: harness.find_holder(exclude=first)
            await harness.until(lambda: others() != "", "another holds the lease")
            second = others()
            await harness.until(lambda: second in list_reporters(harness), "it reports")
            reported = list_reporters(harness).count(first)
            term = harness.read_control(second)["term"]
            harness.entries[first].resume()
            await harness.until(
                lambda: harness.read_control(first)["term"] >= term, "the first knows"
            )
            count = len(list_reporters(harness))
            await harness.until(
                lambda: len(list_reporters(harness)) >= count + 2, "reports go on"
            )
            assert list_reporters(harness).count(first) == reported
        harness.check()

    with DeploymentHarness(services=1, entries=3) as harness:
        asyncio.run(scenario(harness))


def test_a_killed_holder_is_followed():
    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.load(lambda: harness.look_up(caller), clients=2):
            for _ in range(2):
                await harness.until(lambda: harness.find_holder() != "", "one holds it")
                holder = harness.find_holder()
                await harness.until(
                    lambda h=holder: h in list_reporters(harness), "acts"
                )
                harness.entries[holder].kill()
            await harness.until(
                lambda: harness.find_holder() != "", "the last holds it"
            )
            last = harness.find_holder()
            await harness.until(lambda: last in list_reporters(harness), "it reports")
        harness.check()

    with DeploymentHarness(services=1, entries=3) as harness:
        asyncio.run(scenario(harness))
