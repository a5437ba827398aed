"""A planned stop of an entry: a request gets its response or is not run."""

import asyncio
from typing import Any
from unittest.mock import patch

import pytest
from tornado.iostream import IOStream

from buckthornstile.base import BuckthornstileError
from buckthornstile.entry import _daemon
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
        patch.object(_daemon, "MIN_DRAIN_TIME", 0.3),
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
    with patch.object(_daemon, "MIN_DRAIN_TIME", 0.1):
        await entry._drain()
    assert (await call_task).status == 200
    assert not entry.client_listener.open_request_count
