"""A response that breaks off at any byte is never a success."""

import asyncio
import socket
import struct

import pytest

from buckthornstile.base import BuckthornstileError, Verdict
from buckthornstile.http_client import ConnectionPool, HTTPRequest

REQUEST = HTTPRequest("POST", "/x", [("Host", "h")], b"hi", "Request-Id", "r1")
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
RESPONSES = {
    "declared-length": HEAD + b"Content-Length: 6\r\n\r\nanswer",
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n",
    "until-close": HEAD + b"\r\nanswer",
}
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of zero


async def send_truncated(
    response: bytes, length: int, *, resets: bool, is_streamed: bool
) -> object:
    """Returns the outcome of a request whose response ends after some bytes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\nhi")
        writer.write(response[:length])
        await writer.drain()
        if resets:
            # Bytes that were sent before a reset may be lost with it.
            await asyncio.sleep(0.005)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    chunks: list[bytes] = []
    pool = ConnectionPool()
    async with asyncio.timeout(5):
        (outcome,) = await asyncio.gather(
            pool.send(address, REQUEST, on_data=chunks.append if is_streamed else None),
            return_exceptions=True,
        )
    pool.close()
    server.close()
    return outcome


@pytest.mark.parametrize("is_streamed", [False, True], ids=["collected", "streamed"])
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", RESPONSES)
def test_truncated_response_is_an_error_at_every_length(
    kind: str, resets: bool, is_streamed: bool
) -> None:
    """A body that ends with its connection is truncated only if that is reset."""
    response = RESPONSES[kind]
    body_start = response.index(b"\r\n\r\n") + 4
    end = len(response)
    if kind == "until-close":
        end = len(response) + 1 if resets else body_start

    async def run() -> None:
        for length in range(end):
            outcome = await send_truncated(
                response, length, resets=resets, is_streamed=is_streamed
            )
            assert isinstance(outcome, BuckthornstileError), (length, outcome)
            assert outcome.verdict is Verdict.MAY_HAVE_RUN

    asyncio.run(run())
