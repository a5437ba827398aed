"""One entry is cut off from the store; others reach it and pass its calls on."""

import asyncio
import random

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.entry.tests.world import (
    DESK,
    MODELS,
    World,
    find_port,
    in_world,
    make_job,
    make_text,
)
from buckthornstile.gateway import StorePath
from buckthornstile.platform import StoreClient


async def add_entries(world: World) -> None:
    for name in ("e1", "e2"):
        await world.add_entry(name)
    for entry in world.entries.values():
        await world.wait_for(lambda one=entry: len(one.presence.list_live()) == 2)


@in_world
async def test_owner_that_is_cut_off_goes_on_listing_results(world: World) -> None:
    world.add_worker("w1", DESK)
    world.add_worker("m1", MODELS, events=60, event_seconds=0.06)
    await add_entries(world)
    assert await world.submit("e1", make_job(2), "j1") == 202
    name, other = await world.find_owner("j1")
    owner = world.entries[name]
    address, owner.store.address = owner.store.address, f"127.0.0.1:{find_port()}"
    results = await world.read_all(other, "j1", 2)
    assert {one["text"] for one in results} == {make_text(f"i{n}", 60) for n in (0, 1)}
    job = world.entries[other].jobs.table.find("j1")
    assert (job.claim.owner, job.claim.epoch) == (owner.name, 1)
    assert owner.store_path.is_lost
    owner.store.address = address
    await world.wait_for(lambda: not owner.store_path.is_lost)


@in_world
async def test_calls_and_jobs_go_on_at_an_entry_that_is_cut_off(world: World) -> None:
    world.add_worker("w1", DESK)
    world.add_worker("m1", MODELS)
    await add_entries(world)
    entry = world.entries["e2"]
    entry.store.address = f"127.0.0.1:{find_port()}"
    # Longer than keys are trusted unseen.
    await asyncio.sleep(entry.settings.key_bound + 0.5)
    assert entry.is_ready()
    assert (await world.call("e2", "r1")).status == 200
    assert await world.submit("e2", make_job(2), "j1") == 202
    await world.read_all("e2", "j1", 2)
    world.accounts[0]["apiKeys"] = ["another"]
    world.put_configuration()
    await world.wait_for(lambda: entry.view.find_account("another") is not None)
    assert (await world.call("e2", "r2")).status == 401


@pytest.mark.parametrize("silent", [False, True])
def test_what_a_relay_says_of_an_append_is_true(silent: bool) -> None:
    """An append without an answer may have an effect; one not passed on has none."""

    @in_world
    async def test(world: World) -> None:
        relay = await world.add_entry("e1")
        path = StorePath(
            relay.clock, lambda: [relay.settings.peer_address], random.Random(7)
        )
        path.is_lost = True
        store = StoreClient("127.0.0.1:1", path=path)
        assert await store.append("t", 0, [b"a"]) == 0
        if silent:
            world.faults.add({"kind": "silent", "seconds": 30})
        else:
            relay.store_relay.path = path
        with pytest.raises(PlatformUnavailableError) as caught:
            await store.append("t", 0, [b"a"], timeout=0.4)
        assert caught.value.may_have_taken_effect is silent

    test()


@in_world
async def test_no_entry_passes_calls_on_while_the_store_is_down(world: World) -> None:
    await add_entries(world)
    await world.stop_store()
    paths = [entry.store_path for entry in world.entries.values()]
    await world.wait_for(lambda: all(path.is_lost for path in paths))
    world.start_store()
    await world.wait_for(lambda: not any(path.is_lost for path in paths), timeout=3.0)
    await world.wait_for(lambda: all(one.is_ready() for one in world.entries.values()))
