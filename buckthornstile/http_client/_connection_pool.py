"""Sends HTTP requests over pooled keep-alive connections."""

import asyncio
import ipaddress
import logging
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_integer
from buckthornstile.http_client._response_limit import ResponseLimit

CONNECT_TIMEOUT = 0.3
"""Seconds for opening a connection. The kernel retransmits a lost SYN packet only after
one second, so a new attempt is faster than waiting."""
USER_TIMEOUT_MS = 3000
"""Milliseconds after which a connection with unacknowledged data is closed."""
DEFAULT_IDLE_SECONDS = 3.0
"""Seconds that an idle connection is kept if the peer states no timeout."""
IDLE_MARGIN = 0.5
"""Seconds before the peer's idle timeout from which a connection is not reused."""
MAX_HEADER_BYTES = 64 << 10
CHUNK_BYTES = 16 << 10
"""Maximum number of bytes that are read from a connection at once."""
MAX_STREAMED_BYTES = 64 << 20
"""Maximum size of a body that is passed on in chunks and not collected."""
MAX_READ_BUFFER_BYTES = 256 << 10
"""Maximum number of bytes that a connection buffers before they are parsed."""
FIRST_FINAL_STATUS = 200
"""Responses with a lower status are informational: the final response follows them."""
NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` on, with a timeout of zero: closing resets the connection."""

# Suppresses Tornado's log lines about responses that cannot be parsed: the caller logs
# the failed request.
logging.getLogger("tornado.general").setLevel(logging.CRITICAL)


@dataclass(frozen=True, slots=True)
class HTTPRequest:
    """An HTTP request.

    Args:
        method: The HTTP method.
        target: Path and query.
        headers: Names and values, without the headers of the connection.
        body: The body; None sends no ``Content-Length``.
        echo_header: Name of a header that the response must repeat, or empty.
        echo: The value that this header must have.
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes | None = None
    echo_header: str = ""
    echo: str = ""


@dataclass(slots=True)
class HTTPResponse:
    """An HTTP response; ``body`` grows until it is complete."""

    status: int
    headers: HTTPHeaders
    body: bytearray = field(default_factory=bytearray)


OnHeaders = Callable[[HTTPResponse], None]
"""Receives the response when its status and headers have arrived."""
OnData = Callable[[bytes], Awaitable[None] | None]
"""Receives a chunk of the body; reading pauses until a returned awaitable is done."""


class _ResponseReader(HTTPMessageDelegate):
    def __init__(
        self,
        request: HTTPRequest,
        stream: IOStream,
        limit: ResponseLimit,
        *,
        is_reused: bool,
    ) -> None:
        self.request = request
        self.limit = limit
        self.stream = stream
        self.is_reused = is_reused
        self.response: HTTPResponse | None = None
        self.on_headers: OnHeaders | None = None
        self.on_data: OnData | None = None
        self.is_finished = False
        self.is_mismatched = False
        self.abort_reason = ""
        self.has_declared_length = False
        self.keeps_alive = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < FIRST_FINAL_STATUS:
            return
        if self.request.echo_header:
            # The first response on a new connection may lack the header, as it cannot
            # belong to an earlier request.
            echo = headers.get(self.request.echo_header)
            if echo != self.request.echo and (echo is not None or self.is_reused):
                self.is_mismatched = True
                self.stream.close()
                return
        is_chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        has_no_body = start_line.code in (204, 304)
        self.has_declared_length = (
            is_chunked or has_no_body or "Content-Length" in headers
        )
        self.keeps_alive = (
            start_line.version == "HTTP/1.1"
            and headers.get("Connection", "").lower() != "close"
        )
        self.response = HTTPResponse(start_line.code, headers)
        declared_length = parse_integer(headers.get("Content-Length")) or 0
        if self.on_data is None and declared_length > self.limit.max_response_bytes:
            self.abort(f"the response declares a length of {declared_length} bytes")
            return
        if self.on_headers is not None:
            self.on_headers(self.response)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.response is None or self.abort_reason:
            return None
        if self.on_data is not None:
            return self.on_data(chunk)
        self.response.body += chunk
        self.limit.grow(self, len(chunk))
        return None

    def abort(self, reason: str) -> None:
        """Discards the response and resets the connection."""
        self.abort_reason = reason
        if self.response is not None:
            self.response.body = bytearray()
        _reset(self.stream)

    def finish(self) -> None:
        self.is_finished = True

    def on_connection_close(self) -> None:
        pass


class ConnectionPool:
    """Sends HTTP requests to many peers and reuses their connections.

    Args:
        max_idle_per_peer: Maximum number of idle connections kept for each peer.
        limit: Limits the bodies of responses; pools may share it.

    Example:
        >>> ConnectionPool().max_idle_per_peer
        24
    """

    def __init__(
        self, *, max_idle_per_peer: int = 24, limit: ResponseLimit | None = None
    ) -> None:
        self.max_idle_per_peer = max_idle_per_peer
        self.limit = limit or ResponseLimit()
        self._idle: dict[str, list[tuple[IOStream, float]]] = {}

    async def send(
        self,
        address: str,
        request: HTTPRequest,
        *,
        on_headers: OnHeaders | None = None,
        on_data: OnData | None = None,
        connect_timeout: float = CONNECT_TIMEOUT,
        new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> HTTPResponse:
        """Sends a request and reads its complete response.

        Cancelling the calling task resets the connection.

        Args:
            address: The peer, as ``IP:port``.
            request: The request.
            on_headers: Called when the status and headers have arrived.
            on_data: Called with each chunk of the body, which is then not collected.
            connect_timeout: Seconds for opening a new connection.
            new_connection: Whether to open a new connection instead of reusing one.
            before_send: Called just before the request is written; raises if the
                request must no longer be sent.

        Returns:
            The complete response.

        Raises:
            BuckthornstileError: The request failed; the verdict is NOT_RUN only if no
                byte of it was sent.
        """
        stream = None if new_connection else self._take_idle(address)
        is_reused = stream is not None
        if stream is None:
            stream = await _connect(address, connect_timeout)
        reader = _ResponseReader(request, stream, self.limit, is_reused=is_reused)
        reader.on_headers, reader.on_data = on_headers, on_data
        is_kept = False
        try:
            is_open = await _exchange(stream, request, reader, before_send)
            response = _check_complete(stream, reader)
            is_kept = is_open and reader.keeps_alive and reader.has_declared_length
            if is_kept:
                self._keep_idle(address, stream, response.headers)
            return response
        except BuckthornstileError:
            raise
        except Exception as error:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED,
                f"the response of {address} cannot be read: {error!r}",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        finally:
            self.limit.release(reader)
            if not is_kept:
                _reset(stream)

    def has_idle(self, address: str) -> bool:
        """Whether a request to a peer would probably reuse a connection."""
        idle = self._idle.get(address)
        if not idle:
            return False
        stream, expires_at = idle[-1]
        return asyncio.get_running_loop().time() < expires_at and not stream.closed()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to a peer."""
        for stream, _ in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _take_idle(self, address: str) -> IOStream | None:
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            stream, expires_at = idle.pop()
            if now < expires_at and is_reusable(stream):
                return stream
            stream.close()
        return None

    def _keep_idle(self, address: str, stream: IOStream, headers: HTTPHeaders) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self.max_idle_per_peer:
            stream.close()
            return
        seconds = _read_idle_seconds(headers)
        if seconds <= IDLE_MARGIN:
            stream.close()
            return
        expires_at = asyncio.get_running_loop().time() + seconds - IDLE_MARGIN
        idle.append((stream, expires_at))


async def _connect(address: str, timeout: float) -> IOStream:
    host, _, port = address.rpartition(":")
    stream: IOStream | None = None
    try:
        family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else None
        stream = IOStream(
            socket.socket(family or socket.AF_INET),
            max_buffer_size=MAX_READ_BUFFER_BYTES,
            read_chunk_size=CHUNK_BYTES,
        )
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        async with asyncio.timeout(timeout):
            await stream.connect((host, int(port)))
    except (OSError, ValueError, TimeoutError) as error:
        if stream is not None:
            stream.close()
        raise BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            f"cannot connect to {address}: {type(error).__name__}",
            verdict=Verdict.NOT_RUN,
        ) from error
    except BaseException:
        if stream is not None:
            stream.close()
        raise
    return stream


async def _exchange(
    stream: IOStream,
    request: HTTPRequest,
    reader: _ResponseReader,
    before_send: Callable[[], None] | None,
) -> bool:
    """Writes a request and reads the response.

    Returns:
        Whether the connection is still open.
    """
    parameters = HTTP1ConnectionParameters(
        chunk_size=CHUNK_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        # A collected body has a lower limit, which aborts it with an error of its own.
        max_body_size=max(MAX_STREAMED_BYTES, 2 * reader.limit.max_response_bytes),
    )
    connection = HTTP1Connection(stream, True, parameters)
    headers = HTTPHeaders()
    for name, value in request.headers:
        headers.add(name, value)
    if request.body is not None:
        headers["Content-Length"] = str(len(request.body))
    line = RequestStartLine(request.method, request.target, "HTTP/1.1")
    if before_send is not None:
        before_send()
    try:
        write_future = connection.write_headers(line, headers, request.body or None)
        write_future.add_done_callback(_consume_error)
        connection.finish()
        return await connection.read_response(reader)
    except StreamClosedError:
        return False


def _reset(stream: IOStream) -> None:
    """Resets a connection, so that no unsent byte is delivered later.

    After a plain close, the kernel would still deliver a request that a network
    partition delays, once the partition ends.
    """
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    stream.close()


def _consume_error(write_future: "asyncio.Future[None]") -> None:
    # A failed write also leads to a missing response, which is reported as an error.
    if not write_future.cancelled():
        write_future.exception()


def _check_complete(stream: IOStream, reader: _ResponseReader) -> HTTPResponse:
    response = reader.response
    if reader.is_mismatched:
        code, message = (
            ErrorCode.ANSWER_CROSSED,
            "the response belongs to another request",
        )
    elif reader.abort_reason:
        code, message = ErrorCode.ANSWER_TOO_LARGE, reader.abort_reason
    elif response is None:
        code, message = (
            ErrorCode.UPSTREAM_FAILED,
            "the connection closed before a response arrived",
        )
    elif not reader.is_finished or not (
        reader.has_declared_length or stream.error is None
    ):
        code, message = ErrorCode.ANSWER_TRUNCATED, "the response ended early"
    else:
        return response
    raise BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)


def is_reusable(stream: IOStream) -> bool:
    """Whether an idle connection is open and has no unread bytes.

    Unread bytes on an idle connection are a late or duplicate response.
    """
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _read_idle_seconds(headers: HTTPHeaders) -> float:
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = parse_integer(value)
        if name.lower() == "timeout" and seconds is not None:
            return float(seconds)
    return DEFAULT_IDLE_SECONDS
