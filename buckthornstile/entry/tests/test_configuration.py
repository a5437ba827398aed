"""Configuration, keys, drains and usage at a whole entry."""

import asyncio
import json

from buckthornstile.base import ProcessName
from buckthornstile.entry.tests.world import (
    DESK,
    KEY,
    World,
    in_world,
)
from buckthornstile.gateway._presence import PRESENCE_LIFETIME, PresenceRecord


@in_world
async def test_withdrawn_key_stops_and_old_versions_stay_out(world: World) -> None:
    world.add_worker("w1", DESK)
    entry = await world.add_entry("e1")
    world.accounts[0]["apiKeys"] = ["another"]
    world.put_configuration()
    await world.wait_for(lambda: entry.view.find_account(KEY) is None)
    assert (await world.call("e1", "r1")).status == 401
    world.accounts[0]["apiKeys"] = [KEY]
    world.put_configuration(version=1)
    await asyncio.sleep(0.7)
    assert (await world.call("e1", "r2")).status == 401


@in_world
async def test_keys_are_not_trusted_without_the_store(world: World) -> None:
    worker = world.add_worker("w1", DESK)
    entry = await world.add_entry("e1")
    bound = entry.settings.key_bound
    await world.stop_store()
    stopped = asyncio.get_running_loop().time()

    async def is_refused() -> bool:
        return (await world.call("e1", "r1")).status == 503

    await world.retry(is_refused)
    assert asyncio.get_running_loop().time() - stopped < bound
    assert not entry.is_ready()
    runs = len(worker.list_runs())
    assert (await world.call("e1", "r2")).status == 503
    assert len(worker.list_runs()) == runs
    world.start_store()
    await world.wait_for(entry.is_ready)
    assert (await world.call("e1", "r3")).status == 200


@in_world
async def test_draining_gone_and_evacuated_workers_get_nothing(world: World) -> None:
    first = world.add_worker("w1", DESK)
    second = world.add_worker("w2", DESK)
    third = world.add_worker("w3", DESK, zone="bench-b")
    entry = await world.add_entry("e1")
    first.write_entry(state="draining")
    second.remove_entry()
    world.put("keyed.op", "evacuate/bench-b", b"{}")
    usable = entry.view.list_usable
    await world.wait_for(lambda: not usable(DESK))
    assert (await world.call("e1", "r1")).status == 503
    world.put("keyed.op", "evacuate/bench-b", b"")
    await world.wait_for(lambda: usable(DESK))
    assert (await world.call("e1", "r2")).status == 200
    assert [len(one.list_runs()) for one in (first, second, third)] == [0, 0, 1]


@in_world
async def test_entries_that_lapsed_during_an_outage_are_kept(world: World) -> None:
    worker = world.add_worker("w1", DESK)
    entry = await world.add_entry("e1")
    await world.stop_store()
    await asyncio.sleep(1.2)
    worker.remove_entry()
    world.start_store()
    await world.wait_for(lambda: entry.watch.upstreams.lost_at is None)
    assert (await world.call("e1", "r1")).status == 200
    await world.wait_for(lambda: "w1" not in entry.view.upstreams, timeout=4.0)
    assert (await world.call("e1", "r2")).status == 503


@in_world
async def test_removed_workers_are_left_at_once_while_the_store_is_there(
    world: World,
) -> None:
    names = [f"w{number}" for number in range(6)]
    for name in names:
        world.add_worker(name, DESK)
    entry = await world.add_entry("e1")
    await asyncio.sleep(1.0)
    for name in names:
        # Each removal meets another moment of a read that is held.
        await asyncio.sleep(0.45)
        world.workers[name].remove_entry()
        await world.wait_for(
            lambda name=name: name not in entry.view.upstreams, timeout=1.0
        )


@in_world
async def test_entry_of_another_writer_names_no_worker(world: World) -> None:
    world.add_worker("w1", DESK)
    for number, value in enumerate((b"\xff\x00", b"[]", b"7", b'{"service": "desk"}')):
        world.put("keyed.servers", f"x{number}", value)
    entry = {
        "service": DESK,
        "address": "127.0.0.1:1",
        "zone": "bench-a",
        "slots": "many",
        "state": "ready",
    }
    world.put("keyed.servers", "x9", json.dumps(entry).encode())
    entry = await world.add_entry("e1")
    assert list(entry.view.upstreams) == ["w1"]
    assert (await world.call("e1", "r1")).status == 200


@in_world
async def test_windows_wait_for_an_entry_that_cannot_append_yet(world: World) -> None:
    """After an outage one entry may read again seconds before another appends."""
    entry = await world.add_entry("e1")
    presence, reports = entry.presence, entry.control.reports
    other = ProcessName("e2#1")
    presence.apply(PresenceRecord(other, "e2"))
    presence.clock = lambda: entry.clock() + 2 * PRESENCE_LIFETIME
    assert other not in presence.list_live()
    assert reports is not None
    assert other in reports.list_counting()


@in_world
async def test_usage_is_reported_once_by_one_holder(world: World) -> None:
    world.add_worker("w1", DESK)
    await world.add_entry("e1")
    await world.add_entry("e2")
    for number in range(6):
        entry = "e1" if number % 2 else "e2"
        assert (await world.call(entry, f"r{number}")).status == 200

    def sum_reports() -> int:
        return sum(
            entry["body"]["counts"].get("mill", 0)
            for entry in world.journal.entries
            if entry["what"] == "usage"
        )

    await world.wait_for(lambda: sum_reports() == 6)
    reports = [entry for entry in world.journal.entries if entry["what"] == "usage"]
    windows = [entry["body"]["window"] for entry in reports]
    assert len(set(windows)) == len(windows)
    assert len({entry["holder"] for entry in reports}) == 1
