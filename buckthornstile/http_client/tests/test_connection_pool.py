"""Exchanges over kept connections, against a server that misbehaves byte by byte."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.http_client import ConnectionPool, HTTPRequest

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
REQUEST = HTTPRequest("POST", "/x", [("Host", "h")], b"hi", "Request-Id", "r1")


def play(serve: Serve, test: Callable[[ConnectionPool, str], Awaitable[None]]) -> None:
    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool()
        try:
            async with asyncio.timeout(10):
                await test(pool, address)
        finally:
            pool.close()
            server.close()

    asyncio.run(run())


async def read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    return head + await reader.readexactly(2)


def make_answer(body: bytes = b"ok", *, more: str = "", echo: str = "r1") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {echo}\r\nContent-Length: {len(body)}\r\n"
    return f"{head}{more}\r\n".encode() + body


def serve_each(*answers: bytes, then_close: bool = False) -> tuple[Serve, list[int]]:
    """Serves the answers in turn; gives the requests of each connection."""
    left = list(answers)
    counts: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        counts.append(0)
        mine = len(counts) - 1
        try:
            while left:
                await read_request(reader)
                counts[mine] += 1
                writer.write(left.pop(0))
                await writer.drain()
                if then_close:
                    break
        except (asyncio.IncompleteReadError, ConnectionResetError):
            pass
        writer.close()

    return serve, counts


def test_nothing_is_sent_after_a_check_that_raises() -> None:
    """The process may have been paused while it connected."""
    serve, counts = serve_each(make_answer())

    def check() -> None:
        raise BuckthornstileError(ErrorCode.CONFIGURATION_OLD)

    async def test(pool: ConnectionPool, address: str) -> None:
        with pytest.raises(BuckthornstileError) as caught:
            await pool.send(address, REQUEST, before_send=check)
        assert caught.value.verdict is Verdict.NOT_RUN
        answer = await pool.send(address, REQUEST)
        assert bytes(answer.body) == b"ok"

    play(serve, test)
    assert sum(counts) == 1


def test_connection_is_kept_and_used_again() -> None:
    serve, counts = serve_each(make_answer(), make_answer())

    async def test(pool: ConnectionPool, address: str) -> None:
        for _ in range(2):
            answer = await pool.send(address, REQUEST)
            assert (answer.status, bytes(answer.body)) == (200, b"ok")

    play(serve, test)
    assert counts == [2]


@pytest.mark.parametrize(
    "first",
    [
        make_answer() + b"HTTP/1.1 200 OK\r\n",
        make_answer(more="Connection: close\r\n"),
        make_answer(more="Keep-Alive: timeout=0\r\n"),
    ],
)
def test_connection_that_cannot_be_trusted_is_not_used_again(first: bytes) -> None:
    serve, counts = serve_each(first, make_answer())

    async def test(pool: ConnectionPool, address: str) -> None:
        await pool.send(address, REQUEST)
        await asyncio.sleep(0.02)
        assert bytes((await pool.send(address, REQUEST)).body) == b"ok"

    play(serve, test)
    assert counts == [1, 1]


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (b"", ErrorCode.UPSTREAM_FAILED),
        (b"nonsense\r\n\r\n", ErrorCode.UPSTREAM_FAILED),
        (make_answer(b"whole")[:-2], ErrorCode.ANSWER_TRUNCATED),
        (make_answer(echo="r9"), ErrorCode.ANSWER_CROSSED),
    ],
)
def test_bad_answer_may_have_run(answer: bytes, code: ErrorCode) -> None:
    serve, _ = serve_each(answer, then_close=True)

    async def test(pool: ConnectionPool, address: str) -> None:
        with pytest.raises(BuckthornstileError) as caught:
            await pool.send(address, REQUEST)
        assert caught.value.code is code
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    play(serve, test)


def test_answer_without_a_length_ends_with_its_connection() -> None:
    body = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nto the end"
    serve, _ = serve_each(body, then_close=True)

    async def test(pool: ConnectionPool, address: str) -> None:
        assert bytes((await pool.send(address, REQUEST)).body) == b"to the end"

    play(serve, test)


def test_no_connection_is_not_run() -> None:
    async def run() -> None:
        with pytest.raises(BuckthornstileError) as caught:
            await ConnectionPool().send("127.0.0.1:1", REQUEST)
        assert caught.value.verdict is Verdict.NOT_RUN

    asyncio.run(run())


def test_exchange_that_is_given_up_resets_its_connection() -> None:
    """Bytes held up on the way must not arrive after the request was given up."""
    ends: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        try:
            ends.append("end" if not await reader.read(1) else "bytes")
        except ConnectionResetError:
            ends.append("reset")
        writer.close()

    async def test(pool: ConnectionPool, address: str) -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await pool.send(address, REQUEST)
        while not ends:
            await asyncio.sleep(0.01)

    play(serve, test)
    assert ends == ["reset"]
