"""Limits on the memory that responses take, for upstreams that send without end."""

import asyncio

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.http_client import ConnectionPool, HTTPRequest, ResponseLimit

CHUNK = b"x" * (64 << 10)
REQUEST = HTTPRequest("POST", "/x", [("Host", "h")], b"hi", "Request-Id", "r1")
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
ENDLESS_STARTS = {
    "until-close": HEAD + b"\r\n",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "declared-terabyte": HEAD + b"Content-Length: 1099511627776\r\n\r\n",
    "declared-60-megabytes": HEAD + b"Content-Length: 62914560\r\n\r\n",
    "endless-head": HEAD,
}


class Body:
    """A body of which the test only needs to know whether it was aborted."""

    def __init__(self) -> None:
        self.abort_reason = ""

    def abort(self, reason: str) -> None:
        self.abort_reason = reason


def test_body_over_its_own_limit_is_aborted() -> None:
    limit, body = ResponseLimit(max_response_bytes=10, max_total_bytes=100), Body()
    limit.grow(body, 10)
    assert not body.abort_reason
    limit.grow(body, 1)
    assert "10 bytes" in body.abort_reason
    assert limit.total_bytes == 0


def test_largest_body_is_aborted_if_all_together_exceed_the_total() -> None:
    """A small response is kept while an upstream sends large ones without end."""
    limit = ResponseLimit(max_response_bytes=100, max_total_bytes=200)
    small, large = Body(), [Body() for _ in range(600)]
    limit.grow(small, 5)
    for _ in range(9):
        for body in large:
            if not body.abort_reason:
                limit.grow(body, 10)
            assert limit.total_bytes <= 200
    assert not small.abort_reason
    limit.release(small)
    for body in large:
        limit.release(body)
    assert limit.total_bytes == 0


async def send_endlessly(writer: asyncio.StreamWriter, start: bytes) -> int:
    """Sends a response until the client closes; returns the number of bytes."""
    sent_count = 0
    writer.write(start)
    try:
        while True:
            if start == HEAD:
                chunk = b"X-Filler: " + CHUNK[:1000] + b"\r\n"
            elif b"chunked" in start:
                chunk = b"%x\r\n%s\r\n" % (len(CHUNK), CHUNK)
            else:
                chunk = CHUNK
            writer.write(chunk)
            sent_count += len(chunk)
            await writer.drain()
    except ConnectionError:
        return sent_count
    finally:
        writer.close()


def run_endless_server(start: bytes, connections: int, limit: ResponseLimit) -> None:
    """Sends requests at a time to a server whose responses have no end."""
    sent_counts: list[int] = []
    peaks: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        sent_counts.append(await send_endlessly(writer, start))

    async def watch() -> None:
        while True:
            peaks.append(limit.total_bytes)
            await asyncio.sleep(0)

    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(limit=limit)
        watcher = asyncio.create_task(watch())
        async with asyncio.timeout(20):
            outcomes = await asyncio.gather(
                *(pool.send(address, REQUEST) for _ in range(connections)),
                return_exceptions=True,
            )
            while len(sent_counts) < connections:
                await asyncio.sleep(0.01)
        watcher.cancel()
        server.close()
        for outcome in outcomes:
            assert isinstance(outcome, BuckthornstileError)
            assert outcome.verdict is Verdict.MAY_HAVE_RUN
            if start != HEAD and b"1099511627776" not in start:
                assert outcome.code is ErrorCode.ANSWER_TOO_LARGE

    asyncio.run(run())
    assert max(peaks) <= limit.max_total_bytes
    assert limit.total_bytes == 0


@pytest.mark.parametrize("start", ENDLESS_STARTS.values(), ids=ENDLESS_STARTS)
def test_response_without_end_is_reset_with_a_true_verdict(start: bytes) -> None:
    limit = ResponseLimit(max_response_bytes=1 << 20, max_total_bytes=4 << 20)
    run_endless_server(start, 1, limit)


def test_many_responses_without_end_stay_within_the_total() -> None:
    limit = ResponseLimit(max_response_bytes=1 << 20, max_total_bytes=2 << 20)
    run_endless_server(ENDLESS_STARTS["until-close"], 40, limit)
