"""Sends HTTP requests over pooled keep-alive connections."""

import asyncio
import ipaddress
import socket
from collections.abc import Callable

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_integer
from buckthornstile.http_client._exchange import (
    CHUNK_BYTES,
    ResponseReader,
    check_complete,
    exchange,
    reset,
)
from buckthornstile.http_client._messages import (
    HTTPRequest,
    HTTPResponse,
    OnData,
    OnHeaders,
)
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
MAX_READ_BUFFER_BYTES = 256 << 10
"""Maximum number of bytes that a connection buffers before they are parsed."""


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
        reader = ResponseReader(request, stream, self.limit, is_reused=is_reused)
        reader.on_headers, reader.on_data = on_headers, on_data
        is_kept = False
        try:
            is_open = await exchange(stream, request, reader, before_send)
            response = check_complete(stream, reader)
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
                reset(stream)

    async def refuses_connections(self, address: str, timeout: float) -> bool:
        """Whether a peer refuses a new connection, as no process listens any more.

        Args:
            address: The peer, as ``IP:port``.
            timeout: Seconds to wait; a peer that does not react does not refuse.
        """
        try:
            stream = await _connect(address, timeout)
        except BuckthornstileError as error:
            return isinstance(error.__cause__, StreamClosedError)
        stream.close()
        return False

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
        connecting = stream.connect((host, int(port)))
        # A timer would also cancel a connection that opened while this process was
        # stalled.
        await asyncio.wait({connecting}, timeout=timeout)
        if not connecting.done():
            raise TimeoutError
        await connecting
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
