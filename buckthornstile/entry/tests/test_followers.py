"""Partitions that only some entries follow: requests passed on, owners that die."""

import json

import pytest

from buckthornstile.entry.tests.world import (
    DESK,
    KEY,
    MODELS,
    OTHER_KEY,
    World,
    in_world,
    make_job,
    make_text,
)
from buckthornstile.gateway import _followers

ENTRIES = ("e1", "e2", "e3", "e4")


@pytest.fixture(autouse=True)
def few_followers(monkeypatch):
    monkeypatch.setattr(_followers, "FOLLOWERS", 2)
    monkeypatch.setattr(_followers, "FOLLOW_ALL", 1)


async def start(world: World) -> None:
    world.add_worker("w1", DESK)
    world.add_worker("m1", MODELS)
    world.add_worker("m2", MODELS)
    for name in ENTRIES:
        await world.add_entry(name)
    await world.wait_for(
        lambda: all(
            len(one.presence.list_live()) == len(ENTRIES)
            for one in world.entries.values()
        )
    )
    await world.wait_for(lambda: all(one.is_ready() for one in world.entries.values()))


def split(world: World, part: int) -> tuple[list[str], list[str]]:
    """Gives the entries that follow a partition, and the others."""
    first = next(iter(world.entries.values()))
    names = first.followers.list_followers(part)
    chosen = [name for name, one in world.entries.items() if one.name in names]
    return chosen, [name for name in world.entries if name not in chosen]


def find_part(world: World, account: str) -> int:
    return next(iter(world.entries.values())).jobs.find_part(account)


@in_world
async def test_any_entry_takes_and_reads_any_job(world: World) -> None:
    await start(world)
    chosen, others = split(world, find_part(world, "mill"))
    assert len(chosen) == 2
    assert await world.submit(others[0], make_job(), "j1") == 202
    for name in (*others, *chosen):
        results = await world.read_all(name, "j1", 3)
        assert {one["text"] for one in results} == {
            make_text(f"i{number}") for number in range(3)
        }
    orders = [
        [one["id"] for one in await world.read_all(name, "j1", 3)] for name in ENTRIES
    ]
    assert all(order == orders[0] for order in orders)
    status, _ = await world.read_results(others[0], "j9")
    assert status == 404


@in_world
async def test_bodies_ends_and_keys_are_passed_on(world: World) -> None:
    await start(world)
    _, others = split(world, find_part(world, "mill"))
    for worker in world.workers.values():
        worker.faults.add({"kind": "full"})
    assert await world.submit(others[0], make_job(), "j1") == 202

    async def read_body(**options):
        return await world.send(others[1], "GET", "/-/items/j1?id=i1", **options)

    async def is_known() -> bool:
        return (await read_body()).status == 200

    await world.retry(is_known)
    assert bytes((await read_body()).body) == b"hello"
    assert (await read_body(key="wrong")).status == 401
    answer = await world.send(others[0], "GET", "/-/lots/j1", key=OTHER_KEY)
    assert answer.status == 404
    answer = await world.send(others[0], "DELETE", "/-/lots/j1", key=KEY)
    assert answer.status == 200
    answer = await world.send(others[1], "GET", "/-/lots/j1")
    assert json.loads(bytes(answer.body))["total"] == 3


@in_world
async def test_all_followers_may_die(world: World) -> None:
    await start(world)
    chosen, others = split(world, find_part(world, "mill"))
    for worker in world.workers.values():
        worker.faults.add({"kind": "stall", "value": 1, "seconds": 1.0, "count": 4})
    assert await world.submit(others[0], make_job(), "j1") == 202
    for name in chosen:
        await world.kill(name)
    results = await world.read_all(others[1], "j1", 3)
    assert len(results) == 3


@in_world
async def test_entries_keep_only_what_they_follow(world: World) -> None:
    await start(world)

    def is_split() -> bool:
        for part in range(2):
            chosen, _ = split(world, part)
            for name, one in world.entries.items():
                if one.jobs.is_followed(part) is not (name in chosen):
                    return False
        return True

    # What was followed while few entries were known is kept for a while.
    await world.wait_for(is_split, timeout=20.0)
