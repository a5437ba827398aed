"""One HTTP request and its answer, over kept connections."""

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

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict

CONNECT_TIMEOUT = 0.3
"""Seconds; a lost opening packet is sent again only after one second."""
USER_TIMEOUT_MS = 3000
"""Milliseconds of unacknowledged bytes after which a connection is dead."""
DEFAULT_IDLE_SECONDS = 3.0
"""Seconds a connection is kept where the peer names no time of its own."""
IDLE_MARGIN = 0.5
"""Seconds before the peer's own idle timeout at which a connection is left."""
MAX_HEADER_BYTES = 64 << 10
CHUNK_BYTES = 64 << 10
MAX_ANSWER_BYTES = 64 << 20
INFORMATIONAL_STATUS_END = 200
NO_LINGER = struct.pack("ii", 1, 0)
"""On, for no time: closing resets the connection."""

# Answers that fail to parse are counted and reported by the caller.
logging.getLogger("tornado.general").setLevel(logging.CRITICAL)


@dataclass(frozen=True, slots=True)
class HTTPRequest:
    """A request to a peer.

    Args:
        method: The HTTP method.
        target: Path and query.
        headers: Names and values, without those of the connection.
        body: The body; None sends no ``Content-Length``.
        echo_header: A header that the answer must repeat, or empty.
        echo: The value that it must have.
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes | None = None
    echo_header: str = ""
    echo: str = ""


@dataclass(slots=True)
class HTTPResponse:
    """An answer whose head has arrived; ``body`` grows until it is whole."""

    status: int
    headers: HTTPHeaders
    body: bytearray = field(default_factory=bytearray)


OnHead = Callable[[HTTPResponse], None]
OnData = Callable[[bytes], Awaitable[None] | None]
"""Takes a part of the body; the connection is not read while it waits."""


class _Reader(HTTPMessageDelegate):
    def __init__(self, request: HTTPRequest, stream: IOStream, reused: bool) -> None:
        self.request = request
        self.stream = stream
        self.reused = reused
        self.answer: HTTPResponse | None = None
        self.on_headers: OnHead | None = None
        self.on_data: OnData | None = None
        self.finished = False
        self.crossed = False
        self.length_declared = False
        self.keeps_alive = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < INFORMATIONAL_STATUS_END:
            return
        if self.request.echo_header:
            echo = headers.get(self.request.echo_header)
            if echo != self.request.echo and (echo is not None or self.reused):
                self.crossed = True
                self.stream.close()
                return
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        bodiless = start_line.code in (204, 304)
        self.length_declared = chunked or bodiless or "Content-Length" in headers
        self.keeps_alive = (
            start_line.version == "HTTP/1.1"
            and headers.get("Connection", "").lower() != "close"
        )
        self.answer = HTTPResponse(start_line.code, headers)
        if self.on_headers is not None:
            self.on_headers(self.answer)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.answer is None:
            return None
        if self.on_data is not None:
            return self.on_data(chunk)
        self.answer.body += chunk
        return None

    def finish(self) -> None:
        self.finished = True

    def on_connection_close(self) -> None:
        pass


class ConnectionPool:
    """Makes HTTP exchanges with many peers and keeps their connections.

    Args:
        max_idle_per_peer: Connections kept for each peer.

    Example:
        >>> ConnectionPool().max_idle_per_peer
        24
    """

    def __init__(self, *, max_idle_per_peer: int = 24) -> None:
        self.max_idle_per_peer = max_idle_per_peer
        self._idle: dict[str, list[tuple[IOStream, float]]] = {}

    async def send(
        self,
        address: str,
        request: HTTPRequest,
        *,
        on_headers: OnHead | None = None,
        on_data: OnData | None = None,
        connect_timeout: float = CONNECT_TIMEOUT,
        new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
    ) -> HTTPResponse:
        """Sends a request and reads its answer to the end.

        Cancelling the caller's task closes the connection.

        Args:
            address: The peer, as ``IP:port``.
            request: The request.
            on_headers: Called when status and headers are there.
            on_data: Called with each part of the body, in place of collecting it.
            connect_timeout: Seconds for a new connection to stand.
            new_connection: Use a new connection.
            before_send: Called last before the request is written; raises if it may
                not be sent any more.

        Returns:
            The whole answer.

        Raises:
            BuckthornstileError: The verdict is NOT_RUN only if no byte left.
        """
        stream = None if new_connection else self._take(address)
        reused = stream is not None
        if stream is None:
            stream = await _connect(address, connect_timeout)
        reader = _Reader(request, stream, reused)
        reader.on_headers, reader.on_data = on_headers, on_data
        kept = False
        try:
            is_open = await _run(stream, request, reader, before_send)
            answer = _check_whole(stream, reader)
            kept = is_open and reader.keeps_alive and reader.length_declared
            if kept:
                self._keep(address, stream, answer.headers)
            return answer
        finally:
            if not kept:
                _reset(stream)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to a peer."""
        for stream, _ in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _take(self, address: str) -> IOStream | None:
        idle = self._idle.get(address)
        now = asyncio.get_running_loop().time()
        while idle:
            stream, until = idle.pop()
            if now < until and is_reusable(stream):
                return stream
            stream.close()
        return None

    def _keep(self, address: str, stream: IOStream, headers: HTTPHeaders) -> None:
        idle = self._idle.setdefault(address, [])
        if len(idle) >= self.max_idle_per_peer:
            stream.close()
            return
        seconds = _read_idle_seconds(headers)
        if seconds <= IDLE_MARGIN:
            stream.close()
            return
        until = asyncio.get_running_loop().time() + seconds - IDLE_MARGIN
        idle.append((stream, until))


async def _connect(address: str, timeout: float) -> IOStream:
    host, _, port = address.rpartition(":")
    stream: IOStream | None = None
    try:
        family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else None
        stream = IOStream(socket.socket(family or socket.AF_INET))
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
            f"no connection to {address}: {type(error).__name__}",
            verdict=Verdict.NOT_RUN,
        ) from error
    except BaseException:
        if stream is not None:
            stream.close()
        raise
    return stream


async def _run(
    stream: IOStream,
    request: HTTPRequest,
    reader: _Reader,
    before_send: Callable[[], None] | None,
) -> bool:
    parameters = HTTP1ConnectionParameters(
        chunk_size=CHUNK_BYTES,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=MAX_ANSWER_BYTES,
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
        sent = connection.write_headers(line, headers, request.body or None)
        sent.add_done_callback(_consume_error)
        connection.finish()
        return await connection.read_response(reader)
    except StreamClosedError:
        return False


def _reset(stream: IOStream) -> None:
    """Closes a connection so that no byte of it arrives any more.

    After a plain close, a request that a partition holds up would still be sent
    when the partition heals.
    """
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    stream.close()


def _consume_error(sent: "asyncio.Future[None]") -> None:
    # A write that fails shows again as an answer that never comes.
    if not sent.cancelled():
        sent.exception()


def _check_whole(stream: IOStream, reader: _Reader) -> HTTPResponse:
    answer = reader.answer
    if reader.crossed:
        code, message = ErrorCode.ANSWER_CROSSED, "the answer names another request"
    elif answer is None:
        code, message = ErrorCode.UPSTREAM_FAILED, "the connection ended unanswered"
    elif not reader.finished or not (reader.length_declared or stream.error is None):
        code, message = ErrorCode.ANSWER_TRUNCATED, "the answer ended early"
    else:
        return answer
    raise BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)


def is_reusable(stream: IOStream) -> bool:
    """Whether an idle connection is open and holds nothing unread.

    Bytes that nobody asked for are a late or doubled answer.
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
        if name.lower() == "timeout" and value.isdigit():
            return float(value)
    return DEFAULT_IDLE_SECONDS
