"""Upstreams that break off in the head of a response, or send heads without end."""

import asyncio
import itertools

import pytest

from buckthornstile.base import BuckthornstileError
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

HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s1\r\nWeight-Versions: 1\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n"
)
BODY = "id: 1\ndata: whole\n\n"
SOCKET_BUFFER_BYTES = 8 << 20
"""Bytes that the kernel may accept from a sender before the receiver reads them."""
FILLER = {
    "status-line": (b"", b"H" * 10_000),
    "header-line": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 10_000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: 1\r\n" * 1000),
    "interim-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk-size": (
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0" * 10_000,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n",
        b"X-Filler: 1\r\n" * 1000,
    ),
}


def render_response(request_id: str) -> bytes:
    return (HEAD.format(id=request_id, length=len(BODY)) + BODY).encode()


HEAD_LENGTH = len(HEAD.format(id="r100", length=len(BODY)))


@with_deployment
async def test_call_whose_response_ends_in_its_head_is_never_a_success(
    deployment: InProcessDeployment,
) -> None:
    """Clients of another system got 200 with an empty body, framed as complete."""
    lengths: dict[str, int] = {}

    async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(render_response(request_id)[: lengths[request_id]])
        await writer.drain()

    await RawUpstream(deployment, respond).start("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    lengths["r0"] = 1 << 20
    whole = await deployment.send_simple_request("e1", "r0", target="/once/1")
    assert (whole.status, bytes(whole.body)) == (200, BODY.encode())
    for length in range(0, HEAD_LENGTH + len(BODY), 3):
        name = f"r{100 + length}"
        lengths[name] = length
        response = await deployment.send_simple_request("e1", name, target="/once/1")
        assert response.status in (502, 503, 504), (length, response.status)
        if response.status == 503:
            lengths.pop(name)


@pytest.mark.parametrize("length", [0, 12, 17, 40, 90, HEAD_LENGTH - 2, HEAD_LENGTH])
def test_stream_whose_response_ends_in_its_head_is_broken(length: int) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
            writer.write(render_response(request_id)[:length])
            await writer.drain()

        add_route(deployment, resumable=False)
        upstream = RawUpstream(deployment, respond)
        await upstream.start("m1", MODEL_SERVICE)
        await deployment.add_entry("e1")
        chunks: list[bytes] = []
        try:
            response = await read_stream(deployment, "r100", chunks)
        except BuckthornstileError as error:
            assert "early" in error.message
        else:
            assert response.status in (502, 504)
        assert b"whole" not in b"".join(chunks)
        assert upstream.request_ids == ["r100"]

    test()


@with_deployment
async def test_item_whose_response_ends_in_its_head_is_run_again(
    deployment: InProcessDeployment,
) -> None:
    async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
        length = 20 * len(upstream.request_ids)
        writer.write(render_response(request_id)[: min(length, HEAD_LENGTH - 2)])
        await writer.drain()

    upstream = RawUpstream(deployment, respond)
    await upstream.start("m1", MODEL_SERVICE)
    deployment.add_worker("m2", MODEL_SERVICE)
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    assert await deployment.submit_job("e1", make_job(8), "j1") == 202
    results = await deployment.wait_for_results("e1", "j1", 8)
    assert {result["text"] for result in results} == {
        make_expected_text(f"i{number}") for number in range(8)
    }
    assert upstream.request_ids


@pytest.mark.parametrize("kind", FILLER)
def test_head_without_end_hurts_one_upstream_only(kind: str) -> None:
    """The machine kept all bytes and ran out of memory, with all its other requests."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
            start, filler = FILLER[kind]
            writer.write(start)
            await upstream.flood(writer, itertools.repeat(filler))

        upstream = RawUpstream(deployment, respond)
        engine = RawUpstream(deployment, respond)
        await upstream.start("w1", PLAIN_SERVICE)
        await engine.start("m1", MODEL_SERVICE)
        deployment.add_worker("w2", PLAIN_SERVICE)
        deployment.add_worker("m2", MODEL_SERVICE)
        await deployment.add_entry("e1")
        assert await deployment.submit_job("e1", make_job(6), "j1") == 202
        responses = await asyncio.gather(
            *(deployment.send_simple_request("e1", f"r{n}") for n in range(12))
        )
        assert {response.status for response in responses} == {200}
        results = await deployment.wait_for_results("e1", "j1", 6)
        assert {result["state"] for result in results} == {"complete"}
        assert upstream.request_ids and engine.request_ids
        run_count = len(upstream.request_ids) + len(engine.request_ids)
        assert upstream.sent_bytes <= run_count * SOCKET_BUFFER_BYTES

    test()
