"""Statuses that are no final answer reach nobody as one, at any edge of an entry."""

import asyncio

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_expected_text,
    make_job,
    with_deployment,
)
from buckthornstile.entry.tests.raw_upstream import RawUpstream
from buckthornstile.entry.tests.test_streams import add_route, read_stream
from buckthornstile.platform import StoreClient

ODD_HEADS = ["000 ", "101 Switching Protocols", "600 Odd", "999 Odd"]
EVENTS = b"id: 1\ndata: odd\n\n"
with_odd_heads = pytest.mark.parametrize("status", ODD_HEADS)


def make_odd_upstream(deployment: InProcessDeployment, status: str) -> RawUpstream:
    """Returns an upstream that answers with a status, and has a sound response behind.

    The status comes with a body, or alone if it is an informational one.
    """
    head = f"HTTP/1.1 {status}\r\n"

    async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
        fields = f"Request-Id: {request_id}\r\nServer-Stamp: odd\r\n"
        fields += "Weight-Versions: 1\r\n"
        sound = f"{fields}Content-Length: {len(EVENTS)}\r\n\r\n".encode() + EVENTS
        odd = b"\r\n" if status.startswith("1") else sound
        writer.write(head.encode() + odd + b"HTTP/1.1 200 OK\r\n" + sound)
        await writer.drain()

    return RawUpstream(deployment, respond)


@with_odd_heads
@pytest.mark.parametrize("target", ["/orders/1", "/once/1"], ids=["safe", "unsafe"])
def test_call_is_answered_with_an_error(status: str, target: str) -> None:
    """Callers got 600 and 999, and a response behind 101, as answers."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        await make_odd_upstream(deployment, status).start("w1", PLAIN_SERVICE)
        await deployment.add_entry("e1")
        response = await deployment.send_simple_request("e1", "r1", target=target)
        assert response.status == 502
        assert "Server-Stamp" not in response.headers

    test()


@with_odd_heads
@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
def test_stream_is_answered_with_an_error(status: str, resumable: bool) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=resumable)
        await make_odd_upstream(deployment, status).start("m1", MODEL_SERVICE)
        await deployment.add_entry("e1")
        chunks: list[bytes] = []
        response = await read_stream(deployment, "r1", chunks)
        assert response.status == 502
        assert EVENTS not in b"".join(chunks)

    test()


@with_odd_heads
def test_item_and_score_come_from_sound_upstreams(status: str) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        upstreams = [make_odd_upstream(deployment, status) for _ in range(2)]
        await upstreams[0].start("m1", MODEL_SERVICE)
        await upstreams[1].start("w1", PLAIN_SERVICE)
        deployment.add_worker("m2", MODEL_SERVICE)
        deployment.add_worker("w2", PLAIN_SERVICE)
        await deployment.add_entry("e1")
        assert await deployment.submit_job("e1", make_job(8), "j1") == 202
        results = await deployment.wait_for_results("e1", "j1", 8)
        for result in results:
            assert result["text"] == make_expected_text(result["id"])
            assert result["score"].startswith("w2.")
        assert all(upstream.request_ids for upstream in upstreams)

    test()


@with_odd_heads
def test_call_to_the_store_may_have_taken_effect(status: str) -> None:
    async def test() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            body = b'{"offset": 7}'
            length = f"Content-Length: {len(body)}\r\n\r\n".encode()
            odd = b"\r\n" if status.startswith("1") else length + body
            head = f"HTTP/1.1 {status}\r\n".encode()
            writer.write(head + odd + b"HTTP/1.1 200 OK\r\n" + length + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        store = StoreClient(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        with pytest.raises(PlatformUnavailableError) as raised:
            await store.append("t", 0, [b"a"])
        assert raised.value.may_have_taken_effect
        store.close()
        server.close()

    asyncio.run(test())
