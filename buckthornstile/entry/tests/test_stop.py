"""A planned stop of an entry: a request gets its response or is not run."""

import asyncio
from typing import Any
from unittest.mock import patch

import pytest
from tornado.iostream import IOStream

from buckthornstile.base import BuckthornstileError
from buckthornstile.entry import _stop_schedule
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)
from buckthornstile.http_client import ConnectionPool, HTTPRequest


def make_request(name: str) -> HTTPRequest:
    headers = [
        ("Host", HOST),
        ("Credential", API_KEY),
        ("Request-Id", name),
        ("Deadline-Ms", "2000"),
    ]
    return HTTPRequest("POST", "/orders/7", headers, b"hello")


@with_deployment
async def test_request_during_the_last_publish_gets_its_response_or_is_not_run(
    deployment: InProcessDeployment,
) -> None:
    """A request may arrive on an idle connection while the last counts are stored.

    If the entry read it, the worker would run it, but its response would be lost.
    """
    worker = deployment.add_worker("w1", PLAIN_SERVICE, work_seconds=0.2)
    entry = await deployment.add_entry("e1")
    address = entry.settings.client_address
    pool, outcomes = ConnectionPool(), []
    await pool.send(address, make_request("r0"))
    publish = entry.presence_publisher.publish
    send_tasks: list[asyncio.Task[None]] = []
    publish_count = 0

    async def send() -> None:
        try:
            outcomes.append((await pool.send(address, make_request("r1"))).status)
        except BuckthornstileError as error:
            outcomes.append(error.code)

    async def publish_slowly() -> None:
        nonlocal publish_count
        if asyncio.current_task() is stop_task:
            publish_count += 1
            if publish_count == 2:
                send_tasks.append(asyncio.create_task(send()))
                await asyncio.sleep(0.1)
        await publish()

    with (
        patch.object(_stop_schedule, "MAX_READ_TIME", 0.3),
        patch.object(entry.presence_publisher, "publish", publish_slowly),
    ):
        stop_task = asyncio.create_task(entry._drain())
        await stop_task
    await asyncio.gather(*send_tasks)
    runs = {run["headers"]["Request-Id"] for run in worker.list_runs()}
    assert len(send_tasks) == 1
    assert outcomes == [200] or "r1" not in runs
    pool.close()


@with_deployment
async def test_connection_accepted_during_the_stop_is_closed_without_a_read(
    deployment: InProcessDeployment,
) -> None:
    """A connection may be accepted just before the idle ones are closed.

    It starts to wait for a request only after that and must then be closed too.
    """
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    listener, pool = entry.client_listener, ConnectionPool()
    handle_stream = listener._server.handle_stream

    def handle_late(stream: IOStream, address: Any) -> None:
        handle_stream(stream, address)
        listener.stop_reading()

    with (
        patch.object(listener._server, "handle_stream", handle_late),
        pytest.raises(BuckthornstileError),
    ):
        await pool.send(entry.settings.client_address, make_request("r1"))
    assert worker.list_runs() == []
    pool.close()


@with_deployment
async def test_open_request_gets_its_response_before_the_stop_ends(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE, work_seconds=1.0)
    entry = await deployment.add_entry("e1")
    call_task = asyncio.create_task(deployment.send_simple_request("e1", "r1"))
    await deployment.wait_for(lambda: entry.client_listener.open_request_count)
    with patch.object(_stop_schedule, "MAX_READ_TIME", 0.1):
        await entry._drain()
    assert (await call_task).status == 200
    assert not entry.client_listener.open_request_count


@with_deployment
async def test_stop_answers_all_requests_that_it_reads_beside_a_long_one(
    deployment: InProcessDeployment,
) -> None:
    """While one request was open, requests were read up to the end and then cut."""
    worker = deployment.add_worker("w1", PLAIN_SERVICE, work_seconds=0.3)
    entry = await deployment.add_entry("e1")
    entry.settings = entry.settings.model_copy(update={"stop_grace": 3.2})
    worker.faults.add({"kind": "silent", "seconds": 20, "count": 1})
    long_task = asyncio.create_task(
        deployment.send_simple_request("e1", "long", target="/once/1")
    )
    await deployment.wait_for(worker.list_runs)
    outcomes: dict[str, object] = {}

    async def send_late(name: str, delay: float) -> None:
        pool = ConnectionPool()
        await pool.send(entry.settings.client_address, make_request(f"first-{name}"))
        await asyncio.sleep(delay)
        try:
            response = await pool.send(
                entry.settings.client_address, make_request(name)
            )
            outcomes[name] = response.status
        except BuckthornstileError as error:
            outcomes[name] = error.code
        pool.close()

    tasks = [
        asyncio.create_task(send_late(f"r{number}", 0.7 + number * 0.15))
        for number in range(16)
    ]
    await asyncio.sleep(0.5)
    await entry._drain()
    await asyncio.gather(*tasks)
    runs = {run["headers"]["Request-Id"] for run in worker.list_runs()}
    assert {
        name for name in outcomes if name in runs and outcomes[name] != 200
    } == set()
    assert (await long_task).status == 504


@with_deployment
async def test_request_whose_body_ends_after_reading_has_ended_is_not_run(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    host, _, port = entry.settings.client_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"POST /orders/7 HTTP/1.1\r\nHost: {HOST}\r\nCredential: {API_KEY}\r\n"
    writer.write(f"{head}Request-Id: r1\r\nContent-Length: 5\r\n\r\nhe".encode())
    await deployment.wait_for(lambda: entry.client_listener.open_request_count)
    entry.client_listener.start_draining()
    entry.client_listener.stop_reading()
    writer.write(b"llo")
    response = await reader.read()
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in response.lower()
    assert worker.list_runs() == []
    writer.close()
