"""Usage reports after the store has dropped the seals of earlier ones."""

import asyncio
from collections import defaultdict

from buckthornstile.entry.tests.in_process import (
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)


def list_reports(deployment: InProcessDeployment) -> dict[int, set[str]]:
    """Returns the different counts that were reported for each window."""
    reports: dict[int, set[str]] = defaultdict(set)
    for entry in deployment.store_journal.entries:
        if entry["what"] == "usage":
            reports[entry["body"]["window"]].add(str(entry["body"]["counts"]))
    return reports


@with_deployment
async def test_window_is_not_reported_again_after_its_seal_was_dropped(
    deployment: InProcessDeployment,
) -> None:
    """A lease holder that starts after the loss knows no seal of earlier windows.

    It knows a part of their counts, which an entry still published to it.
    """
    deployment.add_worker("w1", PLAIN_SERVICE)
    for name in ("e1", "e2"):
        await deployment.add_entry(name)
    calls_end = asyncio.Event()

    async def send_calls(entry: str) -> None:
        number = 0
        while not calls_end.is_set() and entry in deployment.entries:
            await deployment.send_simple_request(entry, f"{entry}-{number}")
            number += 1
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(send_calls(name)) for name in ("e1", "e2")]
    await deployment.wait_for(lambda: len(list_reports(deployment)) >= 3)
    for partition in deployment.topic_store.partitions.values():
        partition.drop_history()
    calls_end.set()
    await asyncio.gather(*tasks)
    await deployment.kill_entry("e1")
    await deployment.add_entry("e3")
    await asyncio.sleep(0.6)
    await deployment.kill_entry("e2")
    lease = deployment.entries["e3"].lease_holder_tasks.lease_manager.lease
    await deployment.wait_for(lease.is_held)
    await asyncio.sleep(4.0)
    different = {
        window: counts
        for window, counts in list_reports(deployment).items()
        if len(counts) > 1
    }
    assert different == {}


@with_deployment
async def test_holder_reports_every_window_beyond_dropped_history(
    deployment: InProcessDeployment,
) -> None:
    """The holder made the dropped seals itself and must not skip a window."""
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    for number in range(100):
        if number in (35, 60):
            for partition in deployment.topic_store.partitions.values():
                partition.drop_history()
        await deployment.send_simple_request("e1", f"r{number}")
        await asyncio.sleep(0.05)
    await deployment.wait_for(lambda: len(list_reports(deployment)) >= 6)
    windows = sorted(list_reports(deployment))
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert all(len(counts) == 1 for counts in list_reports(deployment).values())
