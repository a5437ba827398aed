"""A worker's stand-in that exits in the middle of a response."""

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from buckthornstile.base import BuckthornstileError
from buckthornstile.http_client import ConnectionPool, HTTPRequest
from standins.worker import WorkerState, make_application


def test_stream_of_a_worker_that_exits_is_incomplete() -> None:
    """Its handlers are cancelled, and the response ended as if it were complete."""

    async def run() -> None:
        state = WorkerState("m1", events=1000, event_seconds=0.01)
        server = HTTPServer(make_application(state))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        headers = [("Host", "h"), ("Request-Id", "r1"), ("Model", "llm")]
        request = HTTPRequest("POST", "/x", headers, b"hello")
        chunks: list[bytes] = []
        pool = ConnectionPool()
        others = asyncio.all_tasks()
        send_task = asyncio.create_task(
            pool.send(
                f"127.0.0.1:{sockets[0].getsockname()[1]}",
                request,
                on_data=chunks.append,
            )
        )
        async with asyncio.timeout(5):
            while len(chunks) < 3:
                await asyncio.sleep(0.01)
            for task in asyncio.all_tasks() - others - {send_task}:
                task.cancel()
            with pytest.raises(BuckthornstileError):
                await send_task
        server.stop()
        pool.close()

    asyncio.run(run())
