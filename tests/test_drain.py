"""Failure domains are taken out and workers leave; nothing new comes after 5 s."""

import asyncio
import time

import pytest

from buckthornstile.configuration import ItemReference
from tests.harness import PROPAGATION_LIMIT, DeploymentHarness
from tests.invariants import list_request_times

RECOVERY_SECONDS = 10.0  # the users' bound for a failure domain's return


def find_late(harness, upstream, deadline):
    harness.collect()
    return [
        at for at in list_request_times(harness.observations, upstream) if at > deadline
    ]


async def wait_until_after(moment):
    await asyncio.sleep(max(0.0, moment - time.time()))


def test_a_failure_domain_leaves_and_returns():
    async def scenario(harness):
        caller = harness.make_caller(attempts=1)
        async with harness.load(lambda: harness.order(caller)) as ended:
            await harness.until(
                lambda: len(find_late(harness, "desk-0", 0)) > 5, "it works"
            )
            harness.drain("bench-a")
            deadline = harness.find_append('"kind":"drain"') + PROPAGATION_LIMIT
            await harness.until(lambda: ended[-1].began > deadline + 1, "calls go on")
            assert not find_late(harness, "desk-0", deadline)
            harness.apply_change(remove=[ItemReference(kind="drain", name="bench-a")])
            await harness.until(
                lambda: find_late(harness, "desk-0", deadline) != [],
                "work comes again",
                seconds=RECOVERY_SECONDS,
            )
        assert {call.status for call in ended} == {200}
        harness.check()

    with DeploymentHarness(services=2) as harness:
        asyncio.run(scenario(harness))


def test_drained_while_an_entry_was_frozen():
    """What it was sent before must not reach the upstream when it thaws."""

    async def scenario(harness):
        process = harness.entries["entry-0"]
        caller = harness.make_caller(entries=[process.url], attempts=1)
        process.pause()
        calls = [asyncio.create_task(harness.order(caller)) for _ in range(16)]
        await asyncio.sleep(0.5)
        assert not all(call.done() for call in calls)
        harness.drain("bench-a")
        deadline = harness.find_append('"kind":"drain"') + PROPAGATION_LIMIT
        await wait_until_after(deadline)
        process.resume()
        await asyncio.gather(*calls)
        await harness.until(
            lambda: harness.read_status("entry-0")["drained"] == ["bench-a"],
            "it knows of it",
        )
        assert not find_late(harness, "desk-0", deadline)
        harness.check()

    with DeploymentHarness(services=2, entries=2) as harness:
        asyncio.run(scenario(harness))


@pytest.mark.parametrize("frozen", ["", "entry"])
def test_a_leaving_worker_gets_nothing_new(frozen):
    """It says that it leaves; an entry may sleep through that."""

    async def scenario(harness):
        process = harness.entries["entry-0"]
        caller = harness.make_caller(entries=[process.url], attempts=1)
        async with harness.load(lambda: harness.look_up(caller)) as ended:
            await harness.until(
                lambda: len(find_late(harness, "desk-0", 0)) > 5, "it works"
            )
            if frozen:
                process.pause()
                await asyncio.sleep(0.5)  # calls wait in sockets' buffers
            harness.workers["desk-0"].terminate()
            deadline = time.time() + PROPAGATION_LIMIT
            await wait_until_after(deadline)
            if frozen:
                process.resume()
            count = len(find_late(harness, "desk-1", 0))
            await harness.until(
                lambda: len(find_late(harness, "desk-1", 0)) > count + 20, "calls go on"
            )
        assert not find_late(harness, "desk-0", deadline)
        if not frozen:
            assert {call.code for call in ended} == {""}
        harness.check()

    with DeploymentHarness(
        services=2, entries=2, service_flags={"drain_seconds": 3 * PROPAGATION_LIMIT}
    ) as harness:
        asyncio.run(scenario(harness))
