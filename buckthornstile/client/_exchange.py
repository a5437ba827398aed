"""One HTTP exchange with an entry, with a bounded buffer for the response."""

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.client._errors import (
    make_connection_lost_error,
    make_truncated_error,
)

CONNECT_TIMEOUT_S = 2.0
MAX_RESPONSE_BODY_BYTES = 1 << 40
_CHUNK_BYTES = 1 << 16
_MAX_BUFFERED_CHUNKS = 16


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to one entry.

    Args:
        url: URL of the entry, with an IP address and a port.
        method: HTTP method.
        path: Path, with its leading slash.
        headers: Headers without ``Content-Length`` and ``Host``. They hold the
            API key, so the object's ``repr`` leaves them out.
        body: Request body.
    """

    url: str
    method: str
    path: str
    headers: dict[str, str] = field(repr=False)
    body: bytes = b""


class _ResponseReceiver(httputil.HTTPMessageDelegate):
    """Buffers a response and stops reading while the buffer is full."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.headers_future: asyncio.Future[tuple[int, httputil.HTTPHeaders]]
        self.headers_future = loop.create_future()
        self.chunks: asyncio.Queue[bytes] = asyncio.Queue(_MAX_BUFFERED_CHUNKS)
        self.finished = False
        self.closed = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code >= 200 and not self.headers_future.done():
            self.headers_future.set_result((start_line.code, headers))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return None if self.closed else self.chunks.put(chunk)

    def close(self) -> None:
        """Drops the buffered chunks, so that no put waits for a full buffer."""
        self.closed = True
        while not self.chunks.empty():
            self.chunks.get_nowait()

    def finish(self) -> None:
        self.finished = True


class Exchange:
    """An open exchange, which yields the response's headers and then its body.

    Args:
        connection: Connection on which the request was sent.
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self._receiver = _ResponseReceiver()
        self._task = asyncio.ensure_future(self._receive())

    async def read_headers(self) -> tuple[int, httputil.HTTPHeaders]:
        """Reads the status and the headers.

        Raises:
            BuckthornstileError: With ``CONNECTION_LOST`` if the connection ended
                before the headers arrived.
        """
        return await asyncio.shield(self._receiver.headers_future)

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yields the chunks of the response body.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED`` if the connection
                ended before the response did.
        """
        while True:
            chunk = await self._receiver.chunks.get()
            if not chunk:
                break
            yield chunk
        if not self._receiver.finished:
            raise make_truncated_error("the connection ended before the response did")

    def close(self) -> None:
        """Closes the connection, even if the response is incomplete."""
        # Closing the stream ends the read without the traceback that tornado
        # logs when a read is cancelled.
        self._receiver.close()
        if self._connection.stream is not None:
            self._connection.stream.close()

    async def _receive(self) -> None:
        receiver = self._receiver
        try:
            await self._connection.read_response(receiver)
        except (StreamClosedError, OSError, httputil.HTTPInputError):
            receiver.finished = False
        finally:
            if not receiver.headers_future.done():
                receiver.headers_future.set_exception(
                    make_connection_lost_error("no response arrived")
                )
                # A closed exchange does not read the headers. Retrieving the
                # exception here keeps asyncio from logging it as never retrieved.
                receiver.headers_future.exception()
        await receiver.chunks.put(b"")


async def open_exchange(
    request: HttpRequest,
    *,
    connect_timeout: float = CONNECT_TIMEOUT_S,
    ssl_options: ssl.SSLContext | None = None,
) -> Exchange:
    """Connects to an entry and sends a request.

    Each exchange has its own connection. A server may close a keep-alive connection
    just when a request is sent on it, and then it is unknown whether the request
    has run.

    Args:
        request: Request to send.
        connect_timeout: Seconds to wait for the connection.
        ssl_options: TLS options for ``https`` URLs.

    Raises:
        BuckthornstileError: With ``CONNECTION_LOST``; the verdict is NOT_RUN
            only if no byte was sent.
    """
    address = urlsplit(request.url)
    secure = address.scheme == "https"
    context = (ssl_options or ssl.create_default_context()) if secure else None
    try:
        stream = await TCPClient().connect(
            address.hostname or "",
            address.port or (443 if secure else 80),
            ssl_options=context,
            timeout=connect_timeout,
        )
    except (OSError, StreamClosedError, TimeoutError) as error:
        raise BuckthornstileError(
            ErrorCode.CONNECTION_LOST, f"no connection to {request.url}"
        ) from error
    stream.set_nodelay(True)
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True,
        chunk_size=_CHUNK_BYTES,
        max_body_size=MAX_RESPONSE_BODY_BYTES,
    )
    connection = HTTP1Connection(stream, True, parameters)
    headers = httputil.HTTPHeaders(request.headers)
    headers["Host"] = address.netloc
    headers["Content-Length"] = str(len(request.body))
    headers["Connection"] = "close"
    line = httputil.RequestStartLine(request.method, request.path, "HTTP/1.1")
    try:
        await connection.write_headers(line, headers, request.body)
        connection.finish()
    except (StreamClosedError, OSError) as error:
        stream.close()
        raise make_connection_lost_error(
            "the connection was lost while the request was sent"
        ) from error
    return Exchange(connection)
