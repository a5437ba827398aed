"""Partitions that only some entries follow: requests passed on, owners that die."""

import json

import pytest

from buckthornstile.entry.tests.in_process import (
    API_KEY,
    MODEL_SERVICE,
    OTHER_API_KEY,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    make_text,
    with_deployment,
)
from buckthornstile.gateway import _partition_assignment

ENTRIES = ("e1", "e2", "e3", "e4")


@pytest.fixture(autouse=True)
def few_followers(monkeypatch):
    monkeypatch.setattr(_partition_assignment, "ASSIGNED_PER_PARTITION", 2)
    monkeypatch.setattr(_partition_assignment, "ASSIGN_ALL_MAX_ENTRIES", 1)


async def start(deployment: InProcessDeployment) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("m1", MODEL_SERVICE)
    deployment.add_worker("m2", MODEL_SERVICE)
    for name in ENTRIES:
        await deployment.add_entry(name)
    await deployment.wait_for(
        lambda: all(
            len(one.presence.list_live()) == len(ENTRIES)
            for one in deployment.entries.values()
        )
    )
    await deployment.wait_for(
        lambda: all(one.is_ready() for one in deployment.entries.values())
    )


def split(deployment: InProcessDeployment, part: int) -> tuple[list[str], list[str]]:
    """Gives the entries that follow a partition, and the others."""
    first = next(iter(deployment.entries.values()))
    names = first.assignment.list_assigned(part)
    chosen = [name for name, one in deployment.entries.items() if one.name in names]
    return chosen, [name for name in deployment.entries if name not in chosen]


def find_partition(deployment: InProcessDeployment, account: str) -> int:
    return next(iter(deployment.entries.values())).jobs.find_partition(account)


@with_deployment
async def test_any_entry_takes_and_reads_any_job(
    deployment: InProcessDeployment,
) -> None:
    await start(deployment)
    chosen, others = split(deployment, find_partition(deployment, "mill"))
    assert len(chosen) == 2
    assert await deployment.submit(others[0], make_job(), "j1") == 202
    for name in (*others, *chosen):
        results = await deployment.read_all(name, "j1", 3)
        assert {one["text"] for one in results} == {
            make_text(f"i{number}") for number in range(3)
        }
    orders = [
        [one["id"] for one in await deployment.read_all(name, "j1", 3)]
        for name in ENTRIES
    ]
    assert all(order == orders[0] for order in orders)
    status, _ = await deployment.read_results(others[0], "j9")
    assert status == 404


@with_deployment
async def test_bodies_ends_and_keys_are_passed_on(
    deployment: InProcessDeployment,
) -> None:
    await start(deployment)
    _, others = split(deployment, find_partition(deployment, "mill"))
    for worker in deployment.workers.values():
        worker.faults.add({"kind": "full"})
    assert await deployment.submit(others[0], make_job(), "j1") == 202

    async def read_body(**options):
        return await deployment.send(others[1], "GET", "/-/items/j1?id=i1", **options)

    async def is_known() -> bool:
        return (await read_body()).status == 200

    await deployment.retry(is_known)
    assert bytes((await read_body()).body) == b"hello"
    assert (await read_body(key="wrong")).status == 401
    answer = await deployment.send(others[0], "GET", "/-/lots/j1", key=OTHER_API_KEY)
    assert answer.status == 404
    answer = await deployment.send(others[0], "DELETE", "/-/lots/j1", key=API_KEY)
    assert answer.status == 200
    answer = await deployment.send(others[1], "GET", "/-/lots/j1")
    assert json.loads(bytes(answer.body))["total"] == 3


@with_deployment
async def test_all_followers_may_die(deployment: InProcessDeployment) -> None:
    await start(deployment)
    chosen, others = split(deployment, find_partition(deployment, "mill"))
    for worker in deployment.workers.values():
        worker.faults.add({"kind": "stall", "value": 1, "seconds": 1.0, "count": 4})
    assert await deployment.submit(others[0], make_job(), "j1") == 202
    for name in chosen:
        await deployment.kill(name)
    results = await deployment.read_all(others[1], "j1", 3)
    assert len(results) == 3


@with_deployment
async def test_entries_keep_only_what_they_follow(
    deployment: InProcessDeployment,
) -> None:
    await start(deployment)

    def is_split() -> bool:
        for part in range(2):
            chosen, _ = split(deployment, part)
            for name, one in deployment.entries.items():
                if one.jobs.is_consumed(part) is not (name in chosen):
                    return False
        return True

    # What was followed while few entries were known is kept for a while.
    await deployment.wait_for(is_split, timeout=20.0)
