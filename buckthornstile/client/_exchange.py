"""One HTTP exchange with an entry, with a bounded buffer for its answer."""

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
from buckthornstile.client._errors import make_lost, make_truncated

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1 << 40
_CHUNK_BYTES = 1 << 16
_BUFFERED_CHUNKS = 16


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request to one entry.

    Args:
        url: The entry's URL, with an IP number and a port.
        method: The HTTP method.
        path: The path, from its first slash.
        headers: The headers, without length and host; not shown, for the key.
        body: The body.
    """

    url: str
    method: str
    path: str
    headers: dict[str, str] = field(repr=False)
    body: bytes = b""


class _Receiver(httputil.HTTPMessageDelegate):
    """Hands an answer over, head first; a full buffer slows the sender."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.head: asyncio.Future[tuple[int, httputil.HTTPHeaders]]
        self.head = loop.create_future()
        self.chunks: asyncio.Queue[bytes] = asyncio.Queue(_BUFFERED_CHUNKS)
        self.finished = False
        self.closed = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        if start_line.code >= 200 and not self.head.done():
            self.head.set_result((start_line.code, headers))
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return None if self.closed else self.chunks.put(chunk)

    def close(self) -> None:
        """Drops what nobody will read, so that no chunk waits for room."""
        self.closed = True
        while not self.chunks.empty():
            self.chunks.get_nowait()

    def finish(self) -> None:
        self.finished = True


class Exchange:
    """An open exchange: the answer's head, then its parts.

    Args:
        connection: The connection that the request was sent on.
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self._receiver = _Receiver()
        self._task = asyncio.ensure_future(self._receive())

    async def read_head(self) -> tuple[int, httputil.HTTPHeaders]:
        """Reads the status and the headers.

        Raises:
            BuckthornstileError: With ``CONNECTION_LOST``.
        """
        return await asyncio.shield(self._receiver.head)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yields the answer's parts.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED`` if the connection
                ended before the answer did.
        """
        while True:
            chunk = await self._receiver.chunks.get()
            if not chunk:
                break
            yield chunk
        if not self._receiver.finished:
            raise make_truncated("the connection ended before the answer did")

    def close(self) -> None:
        """Closes the connection, whatever is still on its way."""
        # A cancelled read would have tornado print a traceback; a closed stream
        # ends it as well.
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
            if not receiver.head.done():
                receiver.head.set_exception(make_lost("no answer came"))
                # Retrieved here as well, since a closed exchange reads no head.
                receiver.head.exception()
        await receiver.chunks.put(b"")


async def open_exchange(
    request: HttpRequest,
    *,
    connect_timeout: float = CONNECT_TIMEOUT_S,
    ssl_options: ssl.SSLContext | None = None,
) -> Exchange:
    """Connects to an entry and sends a request.

    Each exchange has its own connection: on one that was kept, a request may be
    lost to a server that has just closed it, and nobody could say if it ran.

    Args:
        request: The request.
        connect_timeout: Seconds to wait for the connection.
        ssl_options: TLS options for ``https`` URLs.

    Raises:
        BuckthornstileError: With ``CONNECTION_LOST``; its verdict is NOT_RUN
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
        no_keep_alive=True, chunk_size=_CHUNK_BYTES, max_body_size=MAX_ANSWER_BYTES
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
        raise make_lost("the connection broke while the request was sent") from error
    return Exchange(connection)
