"""Lease holders are killed, or paused until the lease expires.

Only one process at a time may send usage reports.
"""

import asyncio

import pytest

from tests.harness import DeploymentHarness


def list_reporters(harness):
    return [entry["holder"] for entry in harness.store.read_journal("usage")]


@pytest.mark.parametrize("fault", ["slow", "lose_answer"])
def test_paused_lease_holder_stops_reporting(fault):
    """A lease holder is paused until its lease expires and another entry holds it.

    When it resumes it must not send the usage reports that it had started.
    """

    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.run_background_load(
            lambda: harness.send_lookup(caller), clients=2
        ):
            # Whenever the holder is paused, a report is in flight or its response lost.
            harness.store.add_fault(fault, target="duty", seconds=0.2)
            await harness.wait_until(
                lambda: harness.find_lease_holder() != "", "an entry holds the lease"
            )
            first_holder = harness.find_lease_holder()
            await harness.wait_until(
                lambda: first_holder in list_reporters(harness),
                "the lease holder reports",
            )
            harness.entries[first_holder].pause()
            find_other_holder = lambda: harness.find_lease_holder(exclude=first_holder)
            await harness.wait_until(
                lambda: find_other_holder() != "", "another entry holds the lease"
            )
            second_holder = find_other_holder()
            await harness.wait_until(
                lambda: second_holder in list_reporters(harness),
                "the lease holder reports",
            )
            reported = list_reporters(harness).count(first_holder)
            term = harness.read_lease_status(second_holder)["term"]
            harness.entries[first_holder].resume()
            await harness.wait_until(
                lambda: harness.read_lease_status(first_holder)["term"] >= term,
                "the first holder has seen the new term",
            )
            count = len(list_reporters(harness))
            await harness.wait_until(
                lambda: len(list_reporters(harness)) >= count + 2, "reports continue"
            )
            assert list_reporters(harness).count(first_holder) == reported
        harness.collect_and_check()

    with DeploymentHarness(services=1, entries=3) as harness:
        asyncio.run(scenario(harness))


def test_killed_lease_holder_is_replaced():
    async def scenario(harness):
        caller = harness.make_caller()
        async with harness.run_background_load(
            lambda: harness.send_lookup(caller), clients=2
        ):
            for _ in range(2):
                await harness.wait_until(
                    lambda: harness.find_lease_holder() != "",
                    "an entry holds the lease",
                )
                holder = harness.find_lease_holder()
                await harness.wait_until(
                    lambda h=holder: h in list_reporters(harness),
                    "the lease holder reports",
                )
                harness.entries[holder].kill()
            await harness.wait_until(
                lambda: harness.find_lease_holder() != "",
                "the last entry holds the lease",
            )
            last = harness.find_lease_holder()
            await harness.wait_until(
                lambda: last in list_reporters(harness), "the lease holder reports"
            )
        harness.collect_and_check()

    with DeploymentHarness(services=1, entries=3) as harness:
        asyncio.run(scenario(harness))
