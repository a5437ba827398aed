"""Requests with malformed headers get a response or a closed connection, in time."""

import asyncio

import pytest

from buckthornstile.entry._daemon import API_CODEC, PLATFORM_CODEC
from buckthornstile.entry._http_listener import HTTPCodec, HTTPListener
from buckthornstile.messages import ClientRequest, Response
from buckthornstile.platform._protocol_names import (
    DEADLINE_HEADER,
    EXPECTED_TOKENS_HEADER,
    RESUME_AFTER_HEADER,
    WAIT_HEADER,
)

ODD_VALUES = ["\xb2", "9" * 5000, "-1", "nan", "inf", "1e999", "1,2", "\xff"]
HEADER_NAMES = [
    "Content-Length",
    DEADLINE_HEADER,
    WAIT_HEADER,
    RESUME_AFTER_HEADER,
    EXPECTED_TOKENS_HEADER,
    "Transfer-Encoding",
    "Expect",
    "Host",
]


async def send_raw(listener: HTTPListener, port: int, head: str) -> bytes:
    """Sends a request and returns all bytes until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head.encode("latin-1"))
    received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize("codec", [PLATFORM_CODEC, API_CODEC], ids=["platform", "api"])
@pytest.mark.parametrize("name", HEADER_NAMES)
def test_odd_header_of_a_request_is_answered_or_the_connection_closed(
    name: str, codec: HTTPCodec
) -> None:
    async def handle(request: ClientRequest) -> Response:
        return Response(200, b"ok")

    async def run() -> None:
        listener = HTTPListener(handle, "127.0.0.1:0", codec, idle_timeout=30.0)
        port = listener.listen()
        for value in ODD_VALUES:
            head = f"GET /x HTTP/1.1\r\nConnection: close\r\n{name}: {value}\r\n\r\n"
            async with asyncio.timeout(3):
                received = await send_raw(listener, port, head)
            assert not received or received.startswith(b"HTTP/1.1 "), value
            assert listener.open_request_count == 0, value
        normal = "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n"
        assert (await send_raw(listener, port, normal)).endswith(b"ok")
        await listener.close()

    asyncio.run(run())
