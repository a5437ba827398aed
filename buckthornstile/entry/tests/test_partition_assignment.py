"""Partitions assigned to some of the entries: forwarded requests, killed entries."""

import asyncio
import json

import pytest

from buckthornstile.entry import Entry
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    MODEL_SERVICE,
    OTHER_API_KEY,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_expected_text,
    make_job,
    with_deployment,
)
from buckthornstile.gateway import _partition_assignment

ENTRIES = ("e1", "e2", "e3", "e4")


@pytest.fixture(autouse=True)
def limit_assigned_entries(monkeypatch):
    monkeypatch.setattr(_partition_assignment, "ASSIGNED_PER_PARTITION", 2)
    monkeypatch.setattr(_partition_assignment, "ASSIGN_ALL_MAX_ENTRIES", 1)


async def start_deployment(deployment: InProcessDeployment) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("m1", MODEL_SERVICE)
    deployment.add_worker("m2", MODEL_SERVICE)
    for name in ENTRIES:
        await deployment.add_entry(name)
    await deployment.wait_for(
        lambda: all(
            len(entry.presence.list_live()) == len(ENTRIES)
            for entry in deployment.entries.values()
        )
    )
    await deployment.wait_for(
        lambda: all(entry.is_ready() for entry in deployment.entries.values())
    )


def split_by_assignment(
    deployment: InProcessDeployment, part: int
) -> tuple[list[str], list[str]]:
    """Returns the entries that a partition is assigned to, and the others."""
    first = next(iter(deployment.entries.values()))
    names = first.assignment.list_assigned(part)
    assigned = [
        name for name, entry in deployment.entries.items() if entry.name in names
    ]
    return assigned, [name for name in deployment.entries if name not in assigned]


def find_partition(deployment: InProcessDeployment, account: str) -> int:
    return next(iter(deployment.entries.values())).job_store.find_partition(account)


@with_deployment
async def test_any_entry_accepts_jobs_and_lists_results(
    deployment: InProcessDeployment,
) -> None:
    await start_deployment(deployment)
    assigned, others = split_by_assignment(
        deployment, find_partition(deployment, "mill")
    )
    assert len(assigned) == 2
    assert await deployment.submit_job(others[0], make_job(), "j1") == 202
    for name in (*others, *assigned):
        results = await deployment.wait_for_results(name, "j1", 3)
        assert {result["text"] for result in results} == {
            make_expected_text(f"i{number}") for number in range(3)
        }
    result_orders = [
        [result["id"] for result in await deployment.wait_for_results(name, "j1", 3)]
        for name in ENTRIES
    ]
    assert all(order == result_orders[0] for order in result_orders)
    status, _ = await deployment.read_results(others[0], "j9")
    assert status == 404


@with_deployment
async def test_item_reads_and_deletions_are_forwarded_with_the_key(
    deployment: InProcessDeployment,
) -> None:
    await start_deployment(deployment)
    _, others = split_by_assignment(deployment, find_partition(deployment, "mill"))
    for worker in deployment.workers.values():
        worker.faults.add({"kind": "full"})
    assert await deployment.submit_job(others[0], make_job(), "j1") == 202

    async def read_body(**options):
        return await deployment.send_request(
            others[1], "GET", "/-/items/j1?id=i1", **options
        )

    async def is_known() -> bool:
        return (await read_body()).status == 200

    await deployment.retry_until_true(is_known)
    assert bytes((await read_body()).body) == b"hello"
    assert (await read_body(key="wrong")).status == 401
    response = await deployment.send_request(
        others[0], "GET", "/-/lots/j1", key=OTHER_API_KEY
    )
    assert response.status == 404
    response = await deployment.send_request(
        others[0], "DELETE", "/-/lots/j1", key=API_KEY
    )
    assert response.status == 200
    response = await deployment.send_request(others[1], "GET", "/-/lots/j1")
    assert json.loads(bytes(response.body))["total"] == 3


@with_deployment
async def test_job_is_completed_after_all_assigned_entries_died(
    deployment: InProcessDeployment,
) -> None:
    await start_deployment(deployment)
    assigned, others = split_by_assignment(
        deployment, find_partition(deployment, "mill")
    )
    for worker in deployment.workers.values():
        worker.faults.add({"kind": "stall", "value": 1, "seconds": 1.0, "count": 4})
    assert await deployment.submit_job(others[0], make_job(), "j1") == 202
    for name in assigned:
        await deployment.kill_entry(name)
    results = await deployment.wait_for_results(others[1], "j1", 3)
    assert len(results) == 3


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    ],
    ids=["empty", "not-found"],
)
def test_response_of_another_process_at_a_dead_entry_s_address_is_not_used(
    response: bytes,
) -> None:
    """Its response, such as an empty 200, was passed on as that of the entry."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            writer.close()

        await start_deployment(deployment)
        assigned, others = split_by_assignment(
            deployment, find_partition(deployment, "mill")
        )
        assert await deployment.submit_job(others[0], make_job(), "j1") == 202
        await deployment.wait_for_results(others[0], "j1", 3)
        reader = deployment.entries[others[0]]
        part = find_partition(deployment, "mill")
        # Partitions consumed while few entries were known are released after a delay.
        await deployment.wait_for(
            lambda: not reader.job_store.is_consumed(part), timeout=20.0
        )
        # An entry may list a result up to 1.2 s later than the one that was asked.
        servers = [deployment.entries[name].job_store.table for name in assigned]
        await deployment.wait_for(
            lambda: all(len(table.jobs["j1"].results) == 3 for table in servers)
        )
        first = reader.assignment.list_assigned(part)[0]
        host, _, port = reader.presence.get_address(first).rpartition(":")
        name = next(n for n in assigned if deployment.entries[n].name == first)
        await deployment.kill_entry(name)
        server = await asyncio.start_server(respond, host, int(port))
        for _ in range(20):
            status, data = await deployment.read_results(others[0], "j1")
            assert status in (200, 503)
            assert status == 503 or len(data["results"]) == 3
        server.close()

    test()


@with_deployment
async def test_entries_consume_only_their_assigned_partitions(
    deployment: InProcessDeployment,
) -> None:
    await start_deployment(deployment)

    def is_assignment_applied() -> bool:
        for part in range(2):
            assigned, _ = split_by_assignment(deployment, part)
            for name, entry in deployment.entries.items():
                if entry.job_store.is_consumed(part) is not (name in assigned):
                    return False
        return True

    # Partitions consumed while few entries were known are released after a delay.
    await deployment.wait_for(is_assignment_applied, timeout=20.0)


@with_deployment
async def test_refusal_of_an_entry_that_cannot_serve_is_not_final(
    deployment: InProcessDeployment,
) -> None:
    """An entry that had just started, or was too late, refused for all the others."""
    await start_deployment(deployment)
    part = find_partition(deployment, "mill")
    assigned, others = split_by_assignment(deployment, part)
    asked = deployment.entries[others[0]]
    assert await deployment.submit_job(others[0], make_job(), "j1") == 202
    await deployment.wait_for_results(others[0], "j1", 3)
    # Partitions consumed while few entries were known are released after a delay.
    await deployment.wait_for(
        lambda: not asked.job_store.is_consumed(part), timeout=20.0
    )
    first = asked.assignment.list_assigned(part)[0]
    late = next(entry for entry in deployment.entries.values() if entry.name == first)
    late.client_handlers._can_serve = lambda request, part: False
    status, data = await deployment.read_results(others[0], "j1")
    assert status == 200
    assert len(data["results"]) == 3
    for name in assigned:
        handlers = deployment.entries[name].client_handlers
        handlers._can_serve = lambda request, part: False
    assert (await deployment.read_results(others[0], "j1"))[0] == 503
    # After a loss of all entries, each of them would read the jobs of all partitions.
    await asyncio.sleep(0.5)
    assert not asked.job_store.is_consumed(part)


@with_deployment
async def test_peers_learn_the_port_that_the_system_has_chosen(
    deployment: InProcessDeployment,
) -> None:
    """Two listeners at one address and any port were taken for each other."""
    entry = await deployment.add_entry("e1")
    address = "127.0.0.1:0"
    settings = entry.settings.model_copy(
        update={
            "process": "e2",
            "api_address": address,
            "peer_address": address,
            "client_address": "",
            "ready_address": "",
            "metrics_address": "",
        }
    )
    other = Entry(settings, entry.event_handler)
    task = asyncio.create_task(other.run())
    await deployment.wait_for(lambda: other.api_port)
    published = other.presence_publisher.peer_address
    assert published not in (address, f"127.0.0.1:{other.api_port}")
    task.cancel()
    await asyncio.wait({task})
    await other.close()
