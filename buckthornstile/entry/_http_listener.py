"""HTTP listeners of an entry: read requests and write responses."""

import asyncio
import contextlib
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http.client import responses
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_integer
from buckthornstile.logs import log_event
from buckthornstile.messages import Headers, Response, StreamingResponse

MAX_HEADER_BYTES = 64 << 10
"""Size above which a request head is not read to its end and gets no response."""
MAX_BODY_BYTES = 64 << 20
WRITE_CHUNK_BYTES = 64 << 10
"""Number of bytes of a body that a client must take within ``write_timeout``."""
DEFAULT_WRITE_TIMEOUT = 20.0
"""Seconds in which a client must take a chunk of a response. A slower client would hold
an upstream's slot and memory; 64 KB in this time are 3 KB/s."""
LISTEN_BACKLOG = 1024
"""Number of connections that may wait to be accepted."""

AnyResponse = Response | StreamingResponse
AnyRequest = Any
"""A request as decoded by the codec of a listener; it has an ``id`` and a ``path``."""


@dataclass(frozen=True, slots=True)
class HTTPCodec:
    """Functions with which a listener decodes requests and encodes responses.

    Args:
        decode: Returns the request with a method, a target, headers and a body.
        encode: Returns the headers of a response to a request.
        render_error: Returns the response to a request that failed.
    """

    decode: Callable[[str, str, HTTPHeaders, bytes], AnyRequest]
    encode: Callable[[AnyRequest, AnyResponse], Headers]
    render_error: Callable[[BuckthornstileError], Response]


Handler = Callable[[AnyRequest], Awaitable[AnyResponse]]


class HTTPListener(HTTPServerConnectionDelegate):
    """HTTP server on one address.

    The task that handles a request is cancelled when the client disconnects.

    Args:
        handler: Returns the response to a request.
        address: Address to listen on, as ``IP:port``; port 0 selects a free port.
        codec: Decodes requests and encodes responses.
        idle_timeout: Seconds after which an idle connection is closed.
        write_timeout: Seconds after which the connection of a client that does not take
            the next chunk of its response is closed.
        ssl_options: TLS context, or None for plain HTTP.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        codec: HTTPCodec,
        *,
        idle_timeout: float,
        write_timeout: float = DEFAULT_WRITE_TIMEOUT,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.address = address
        self.codec = codec
        self.write_timeout = write_timeout
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.is_draining = False
        self.is_stopped = False
        self._idle_connections: dict[object, HTTPConnection] = {}
        self._open_requests: set[_RequestDelegate] = set()
        self._server = HTTPServer(
            self,  # type: ignore[arg-type]
            idle_connection_timeout=idle_timeout,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            ssl_options=ssl_options,
        )

    def listen(self) -> int:
        """Starts to accept connections and returns the port."""
        host, _, port = self.address.rpartition(":")
        sockets = bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Closes each connection after its next response (``Connection: close``)."""
        self.is_draining = True
        self._server.conn_params.no_keep_alive = True

    @property
    def open_request_count(self) -> int:
        """Number of requests whose head was read and whose response is not written."""
        return len(self._open_requests)

    def stop_reading(self) -> None:
        """Stops reading requests and closes connections without an open request."""
        self.is_stopped = True
        self._server.stop()
        for connection in list(self._idle_connections.values()):
            connection.close()  # type: ignore[attr-defined]

    def abort_open_requests(self) -> None:
        """Answers the open requests with an error, or breaks off their streams.

        The error states that a request may have run.
        """
        for delegate in list(self._open_requests):
            delegate.abort()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        # Called when a connection starts to wait for a request. A connection that was
        # just accepted does so one event loop iteration later, perhaps after
        # stop_reading.
        self._idle_connections[server_conn] = request_conn
        if self.is_stopped:
            request_conn.close()  # type: ignore[attr-defined]
        return _RequestDelegate(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._idle_connections.pop(server_conn, None)

    def on_request_started(self, delegate: "_RequestDelegate") -> None:
        """Registers a request whose head was read."""
        self._idle_connections.pop(delegate.server_connection, None)
        self._open_requests.add(delegate)

    def on_request_finished(self, delegate: "_RequestDelegate") -> None:
        """Removes a request that has its response or whose client disconnected."""
        self._open_requests.discard(delegate)


class _RequestDelegate(HTTPMessageDelegate):
    """Reads one request and writes its response."""

    def __init__(
        self,
        listener: HTTPListener,
        server_connection: object,
        connection: HTTPConnection,
    ) -> None:
        self.listener = listener
        self.server_connection = server_connection
        self.connection = connection
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.body: list[bytes] = []
        self.body_length = 0
        self.is_rejected = False
        self.task: asyncio.Task[None] | None = None
        self.is_aborted = False
        self.is_responding = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.start_line, self.headers = start_line, headers
        self.listener.on_request_started(self)
        if self._count_header_bytes() > self.listener.max_header_bytes:
            return self._reject(ErrorCode.HEADERS_TOO_LARGE, "the headers are too long")
        declared_length = parse_integer(headers.get("Content-Length")) or 0
        if declared_length > self.listener.max_body_bytes:
            return self._reject_body()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.is_rejected:
            return None
        self.body_length += len(chunk)
        if self.body_length > self.listener.max_body_bytes:
            return self._reject_body()
        self.body.append(chunk)
        return None

    def finish(self) -> None:
        if self.is_rejected:
            return
        self.task = asyncio.create_task(self._serve())
        self.task.add_done_callback(lambda _: self.listener.on_request_finished(self))
        self.connection.set_close_callback(self._on_client_disconnected)  # type: ignore[attr-defined]

    def abort(self) -> None:
        """Cancels the request and answers it, unless its response has begun."""
        if self.task is not None and not self.is_responding:
            self.is_aborted = True
            self.task.cancel()

    def on_connection_close(self) -> None:
        self.body.clear()
        self.listener.on_request_finished(self)

    def _on_client_disconnected(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def _count_header_bytes(self) -> int:
        return sum(len(name) + len(value) + 4 for name, value in self.headers.get_all())

    def _reject_body(self) -> Awaitable[None]:
        limit = self.listener.max_body_bytes
        return self._reject(
            ErrorCode.BODY_TOO_LARGE, f"the body is longer than {limit} bytes"
        )

    async def _reject(self, code: ErrorCode, message: str) -> None:
        """Sends an error before the whole body is read, and closes the connection."""
        self.is_rejected = True
        self.body.clear()
        request = self._decode(b"")
        response = self.listener.codec.render_error(BuckthornstileError(code, message))
        log_event("request.too_large", request=request.id, reason=message)
        try:
            await self._write(request, response, is_last=True)
        finally:
            self.listener.on_request_finished(self)

    def _decode(self, body: bytes) -> AnyRequest:
        assert self.start_line is not None
        return self.listener.codec.decode(
            self.start_line.method, self.start_line.path, self.headers, body
        )

    async def _serve(self) -> None:
        try:
            request = self._decode(b"".join(self.body))
        except Exception as error:
            # Without this, the client would wait on an open connection.
            log_event("request.not_decoded", reason=repr(error))
            self.connection.close()  # type: ignore[attr-defined]
            return
        try:
            response = await self._handle(request)
            self.is_responding = True
            if isinstance(response, StreamingResponse):
                await self._write_stream(request, response)
            else:
                await self._write(request, response, is_last=self.listener.is_draining)
        except asyncio.CancelledError:
            if self.is_aborted and not self.is_responding:
                await self._write_abort(request)
            else:
                log_event("client.left", request=request.id, path=request.path[:40])

    async def _write_abort(self, request: AnyRequest) -> None:
        log_event("request.aborted", request=request.id, path=request.path[:40])
        error = BuckthornstileError(
            ErrorCode.DEADLINE_PASSED,
            "the entry stopped before the response was complete",
            verdict=Verdict.MAY_HAVE_RUN,
        )
        response = self.listener.codec.render_error(error)
        await self._write(request, response, is_last=True)

    async def _handle(self, request: AnyRequest) -> AnyResponse:
        if self.listener.is_stopped:
            # Its body was not complete when reading ended.
            return self.listener.codec.render_error(
                BuckthornstileError(
                    ErrorCode.DRAINING, "the entry is stopping", retry_after=0.0
                )
            )
        try:
            return await self.listener.handler(request)
        except (Exception, asyncio.CancelledError) as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # A cancelled task that the handler awaited is an error like any other.
            log_event("request.failed", request=request.id, reason=repr(error))
            failure = BuckthornstileError(
                ErrorCode.INTERNAL,
                "the entry failed to handle the request",
                verdict=Verdict.MAY_HAVE_RUN,
            )
            return self.listener.codec.render_error(failure)

    def _make_response_head(
        self, request: AnyRequest, response: AnyResponse, is_last: bool
    ) -> tuple[ResponseStartLine, HTTPHeaders]:
        headers = HTTPHeaders()
        for name, value in self.listener.codec.encode(request, response):
            headers.add(name, value)
        if is_last:
            headers["Connection"] = "close"
        reason = responses.get(response.status, "Unknown")
        return ResponseStartLine("HTTP/1.1", response.status, reason), headers

    async def _write(
        self, request: AnyRequest, response: Response, *, is_last: bool
    ) -> None:
        line, headers = self._make_response_head(request, response, is_last)
        if response.status not in (204, 304):
            headers["Content-Length"] = str(len(response.body))
        body = memoryview(response.body)
        first, rest = body[:WRITE_CHUNK_BYTES], body[WRITE_CHUNK_BYTES:]
        with contextlib.suppress(StreamClosedError):
            sent = self.connection.write_headers(line, headers, bytes(first) or None)
            while rest:
                if not await self._wait_until_written(request, sent):
                    return
                sent = self.connection.write(bytes(rest[:WRITE_CHUNK_BYTES]))
                rest = rest[WRITE_CHUNK_BYTES:]
            self.connection.finish()
            if await self._wait_until_written(request, sent) and is_last:
                self.connection.close()  # type: ignore[attr-defined]

    async def _wait_until_written(
        self, request: AnyRequest, sent: Awaitable[None]
    ) -> bool:
        """Waits until a chunk is written; returns False if the client did not take it.

        The connection is then closed, so that the response is visibly incomplete.
        """
        try:
            async with asyncio.timeout(self.listener.write_timeout):
                await sent
        except TimeoutError:
            log_event("client.stalled", request=request.id, path=request.path[:40])
            self.connection.close()  # type: ignore[attr-defined]
            return False
        return True

    async def _write_stream(
        self, request: AnyRequest, response: StreamingResponse
    ) -> None:
        line, headers = self._make_response_head(
            request, response, self.listener.is_draining
        )
        # Otherwise small events wait until the client acknowledges earlier ones.
        self.connection.stream.set_nodelay(True)  # type: ignore[attr-defined]
        with contextlib.suppress(StreamClosedError):
            async with contextlib.aclosing(response.chunks) as chunks:
                sent = self.connection.write_headers(line, headers)
                try:
                    if not await self._wait_until_written(request, sent):
                        return
                    async for chunk in chunks:
                        if not await self._wait_until_written(
                            request, self.connection.write(chunk)
                        ):
                            return
                except BuckthornstileError as error:
                    log_event("stream.broken", request=request.id, reason=error.message)
                    # Without the final chunk the client sees that the stream is
                    # incomplete.
                    self.connection.close()  # type: ignore[attr-defined]
                    return
            self.connection.finish()
            if self.listener.is_draining:
                self.connection.close()  # type: ignore[attr-defined]
