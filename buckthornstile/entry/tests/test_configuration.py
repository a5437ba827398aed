"""Configuration, keys, drains and usage at a whole entry."""

import asyncio
import json

from buckthornstile.base import ProcessName
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)
from buckthornstile.gateway._presence import PRESENCE_TIMEOUT, PresenceRecord


@with_deployment
async def test_withdrawn_key_stops_and_old_versions_stay_out(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    deployment.accounts[0]["apiKeys"] = ["another"]
    deployment.put_configuration()
    await deployment.wait_for(lambda: entry.view.find_account(API_KEY) is None)
    assert (await deployment.call("e1", "r1")).status == 401
    deployment.accounts[0]["apiKeys"] = [API_KEY]
    deployment.put_configuration(version=1)
    await asyncio.sleep(0.7)
    assert (await deployment.call("e1", "r2")).status == 401


@with_deployment
async def test_keys_are_not_trusted_without_the_store(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    bound = entry.settings.key_bound
    await deployment.stop_store()
    stopped = asyncio.get_running_loop().time()

    async def is_refused() -> bool:
        return (await deployment.call("e1", "r1")).status == 503

    await deployment.retry(is_refused)
    assert asyncio.get_running_loop().time() - stopped < bound
    assert not entry.is_ready()
    runs = len(worker.list_runs())
    assert (await deployment.call("e1", "r2")).status == 503
    assert len(worker.list_runs()) == runs
    deployment.start_store()
    await deployment.wait_for(entry.is_ready)
    assert (await deployment.call("e1", "r3")).status == 200


@with_deployment
async def test_draining_gone_and_evacuated_workers_get_nothing(
    deployment: InProcessDeployment,
) -> None:
    first = deployment.add_worker("w1", PLAIN_SERVICE)
    second = deployment.add_worker("w2", PLAIN_SERVICE)
    third = deployment.add_worker("w3", PLAIN_SERVICE, zone="bench-b")
    entry = await deployment.add_entry("e1")
    first.write_entry(state="draining")
    second.remove_entry()
    deployment.put("keyed.op", "evacuate/bench-b", b"{}")
    usable = entry.view.list_available_upstreams
    await deployment.wait_for(lambda: not usable(PLAIN_SERVICE))
    assert (await deployment.call("e1", "r1")).status == 503
    deployment.put("keyed.op", "evacuate/bench-b", b"")
    await deployment.wait_for(lambda: usable(PLAIN_SERVICE))
    assert (await deployment.call("e1", "r2")).status == 200
    assert [len(one.list_runs()) for one in (first, second, third)] == [0, 0, 1]


@with_deployment
async def test_entries_that_lapsed_during_an_outage_are_kept(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    await deployment.stop_store()
    await asyncio.sleep(1.2)
    worker.remove_entry()
    deployment.start_store()
    await deployment.wait_for(
        lambda: entry.topology_watcher.upstream_consumer.disconnected_at is None
    )
    assert (await deployment.call("e1", "r1")).status == 200
    await deployment.wait_for(lambda: "w1" not in entry.view.upstreams, timeout=4.0)
    assert (await deployment.call("e1", "r2")).status == 503


@with_deployment
async def test_removed_workers_are_left_at_once_while_the_store_is_there(
    deployment: InProcessDeployment,
) -> None:
    names = [f"w{number}" for number in range(6)]
    for name in names:
        deployment.add_worker(name, PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    await asyncio.sleep(1.0)
    for name in names:
        # Each removal meets another moment of a read that is held.
        await asyncio.sleep(0.45)
        deployment.workers[name].remove_entry()
        await deployment.wait_for(
            lambda name=name: name not in entry.view.upstreams, timeout=1.0
        )


@with_deployment
async def test_entry_of_another_writer_names_no_worker(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    for number, value in enumerate((b"\xff\x00", b"[]", b"7", b'{"service": "desk"}')):
        deployment.put("keyed.servers", f"x{number}", value)
    entry = {
        "service": PLAIN_SERVICE,
        "address": "127.0.0.1:1",
        "zone": "bench-a",
        "slots": "many",
        "state": "ready",
    }
    deployment.put("keyed.servers", "x9", json.dumps(entry).encode())
    entry = await deployment.add_entry("e1")
    assert list(entry.view.upstreams) == ["w1"]
    assert (await deployment.call("e1", "r1")).status == 200


@with_deployment
async def test_windows_wait_for_an_entry_that_cannot_append_yet(
    deployment: InProcessDeployment,
) -> None:
    """After an outage one entry may read again seconds before another appends."""
    entry = await deployment.add_entry("e1")
    presence, reports = entry.presence, entry.control.usage_reporter
    other = ProcessName("e2#1")
    presence.apply(PresenceRecord(other, "e2"))
    presence.clock = lambda: entry.clock() + 2 * PRESENCE_TIMEOUT
    assert other not in presence.list_live()
    assert reports is not None
    assert other in reports.list_pending_processes()


@with_deployment
async def test_usage_is_reported_once_by_one_holder(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    await deployment.add_entry("e2")
    for number in range(6):
        entry = "e1" if number % 2 else "e2"
        assert (await deployment.call(entry, f"r{number}")).status == 200

    def sum_reports() -> int:
        return sum(
            entry["body"]["counts"].get("mill", 0)
            for entry in deployment.journal.entries
            if entry["what"] == "usage"
        )

    await deployment.wait_for(lambda: sum_reports() == 6)
    reports = [
        entry for entry in deployment.journal.entries if entry["what"] == "usage"
    ]
    windows = [entry["body"]["window"] for entry in reports]
    assert len(set(windows)) == len(windows)
    assert len({entry["holder"] for entry in reports}) == 1
