"""Configuration, keys, worker registrations and usage in a complete entry."""

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
async def test_withdrawn_key_is_rejected_and_older_configuration_ignored(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    deployment.accounts[0]["apiKeys"] = ["another"]
    deployment.put_configuration()
    await deployment.wait_for(lambda: entry.view.find_account(API_KEY) is None)
    assert (await deployment.send_simple_request("e1", "r1")).status == 401
    deployment.accounts[0]["apiKeys"] = [API_KEY]
    deployment.put_configuration(version=1)
    await asyncio.sleep(0.7)
    assert (await deployment.send_simple_request("e1", "r2")).status == 401


@with_deployment
async def test_keys_are_rejected_while_the_store_is_unreachable(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    key_bound = entry.settings.key_bound
    await deployment.stop_store()
    stopped_at = asyncio.get_running_loop().time()

    async def is_rejected() -> bool:
        return (await deployment.send_simple_request("e1", "r1")).status == 503

    await deployment.retry_until_true(is_rejected)
    assert asyncio.get_running_loop().time() - stopped_at < key_bound
    assert not entry.is_ready()
    runs = len(worker.list_runs())
    assert (await deployment.send_simple_request("e1", "r2")).status == 503
    assert len(worker.list_runs()) == runs
    deployment.start_store()
    await deployment.wait_for(entry.is_ready)
    assert (await deployment.send_simple_request("e1", "r3")).status == 200


@with_deployment
async def test_draining_removed_and_evacuated_workers_get_no_requests(
    deployment: InProcessDeployment,
) -> None:
    first = deployment.add_worker("w1", PLAIN_SERVICE)
    second = deployment.add_worker("w2", PLAIN_SERVICE)
    third = deployment.add_worker("w3", PLAIN_SERVICE, failure_domain="bench-b")
    entry = await deployment.add_entry("e1")
    first.write_registration(state="draining")
    second.remove_registration()
    deployment.put_record("keyed.op", "evacuate/bench-b", b"{}")
    list_available = entry.view.list_available_upstreams
    await deployment.wait_for(lambda: not list_available(PLAIN_SERVICE))
    assert (await deployment.send_simple_request("e1", "r1")).status == 503
    deployment.put_record("keyed.op", "evacuate/bench-b", b"")
    await deployment.wait_for(lambda: list_available(PLAIN_SERVICE))
    assert (await deployment.send_simple_request("e1", "r2")).status == 200
    assert [len(worker.list_runs()) for worker in (first, second, third)] == [0, 0, 1]


@with_deployment
async def test_worker_removed_during_a_store_outage_is_dropped_after_a_delay(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    await deployment.stop_store()
    await asyncio.sleep(1.2)
    worker.remove_registration()
    deployment.start_store()
    await deployment.wait_for(
        lambda: entry.topology_watcher.upstream_consumer.disconnected_at is None
    )
    assert (await deployment.send_simple_request("e1", "r1")).status == 200
    await deployment.wait_for(lambda: "w1" not in entry.view.upstreams, timeout=4.0)
    assert (await deployment.send_simple_request("e1", "r2")).status == 503


@with_deployment
async def test_removed_worker_is_dropped_at_once_while_the_store_is_reachable(
    deployment: InProcessDeployment,
) -> None:
    names = [f"w{number}" for number in range(6)]
    for name in names:
        deployment.add_worker(name, PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    await asyncio.sleep(1.0)
    for name in names:
        # Each removal falls into another phase of the long poll.
        await asyncio.sleep(0.45)
        deployment.workers[name].remove_registration()
        await deployment.wait_for(
            lambda name=name: name not in entry.view.upstreams, timeout=1.0
        )


@with_deployment
async def test_malformed_registrations_are_ignored(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    for number, value in enumerate((b"\xff\x00", b"[]", b"7", b'{"service": "desk"}')):
        deployment.put_record("keyed.servers", f"x{number}", value)
    registration = {
        "service": PLAIN_SERVICE,
        "address": "127.0.0.1:1",
        "zone": "bench-a",
        "slots": "many",
        "state": "ready",
    }
    deployment.put_record("keyed.servers", "x9", json.dumps(registration).encode())
    entry = await deployment.add_entry("e1")
    assert list(entry.view.upstreams) == ["w1"]
    assert (await deployment.send_simple_request("e1", "r1")).status == 200


@with_deployment
async def test_usage_windows_wait_for_an_entry_that_cannot_append_yet(
    deployment: InProcessDeployment,
) -> None:
    """A window sealed too early would miss the counts of an entry.

    After a store outage, one entry may read from the store some seconds before another
    entry can append to it. The other entry is then not live, but its counts are still
    pending.
    """
    entry = await deployment.add_entry("e1")
    presence, usage_reporter = entry.presence, entry.lease_holder_tasks.usage_reporter
    other = ProcessName("e2#1")
    presence.apply(PresenceRecord(other, "e2"))
    presence.clock = lambda: entry.clock() + 2 * PRESENCE_TIMEOUT
    assert other not in presence.list_live()
    assert usage_reporter is not None
    assert other in usage_reporter.list_pending_processes()


@with_deployment
async def test_usage_is_reported_once_by_one_lease_holder(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    await deployment.add_entry("e2")
    for number in range(6):
        entry = "e1" if number % 2 else "e2"
        assert (await deployment.send_simple_request(entry, f"r{number}")).status == 200

    def count_reported_requests() -> int:
        return sum(
            entry["body"]["counts"].get("mill", 0)
            for entry in deployment.store_journal.entries
            if entry["what"] == "usage"
        )

    await deployment.wait_for(lambda: count_reported_requests() == 6)
    reports = [
        entry for entry in deployment.store_journal.entries if entry["what"] == "usage"
    ]
    windows = [entry["body"]["window"] for entry in reports]
    assert len(set(windows)) == len(windows)
    assert len({entry["holder"] for entry in reports}) == 1
