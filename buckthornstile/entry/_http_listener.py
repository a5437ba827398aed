"""The HTTP doors of an entry: read requests and write their answers."""

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

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.logs import log_event
from buckthornstile.messages import Headers, Response, StreamingResponse

MAX_HEADER_BYTES = 64 << 10
"""Bytes; a longer head cannot be read far enough to be answered."""
MAX_BODY_BYTES = 64 << 20
BACKLOG = 1024

AnyResponse = Response | StreamingResponse
AnyRequest = Any
"""What the door's protocol makes of a request; it has an ``id`` and a ``path``."""


@dataclass(frozen=True, slots=True)
class HTTPCodec:
    """How requests are read and answers written at a door.

    Args:
        decode: Makes a request of method, target, headers and body.
        encode: Makes the headers of an answer to a request.
        render_error: Makes the answer to a request that failed.
    """

    decode: Callable[[str, str, HTTPHeaders, bytes], AnyRequest]
    encode: Callable[[AnyRequest, AnyResponse], Headers]
    render_error: Callable[[BuckthornstileError], Response]


Handler = Callable[[AnyRequest], Awaitable[AnyResponse]]


class HTTPListener(HTTPServerConnectionDelegate):
    """Serves one address.

    A handler's task is cancelled when its client leaves.

    Args:
        handler: Answers a request.
        address: Where to listen, as ``IP:port``; port 0 takes a free one.
        codec: How requests are read and answers written.
        idle_timeout: Seconds after which an idle connection is closed.
        ssl_options: TLS options, or None for plain HTTP.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        codec: HTTPCodec,
        *,
        idle_timeout: float,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.handler = handler
        self.address = address
        self.codec = codec
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.is_draining = False
        self.is_stopped = False
        self._idle: dict[object, HTTPConnection] = {}
        self._begun: set[_Message] = set()
        self._server = HTTPServer(
            self,  # type: ignore[arg-type]
            idle_connection_timeout=idle_timeout,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            ssl_options=ssl_options,
        )

    def listen(self) -> int:
        """Begins to accept connections, and gives the port."""
        host, _, port = self.address.rpartition(":")
        sockets = bind_sockets(int(port), host, backlog=BACKLOG)
        self._server.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Tells clients with each answer that the connection ends with it."""
        self.is_draining = True
        self._server.conn_params.no_keep_alive = True

    @property
    def open_request_count(self) -> int:
        """Requests whose head was read and whose answer is not written yet."""
        return len(self._begun)

    def stop_reading(self) -> None:
        """Reads no further request: closes all connections without one."""
        self.is_stopped = True
        self._server.stop()
        for connection in list(self._idle.values()):
            connection.close()  # type: ignore[attr-defined]

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        # Called when the connection begins to wait for a request: one that was just
        # accepted does so an iteration of the event loop later.
        self._idle[server_conn] = request_conn
        if self.is_stopped:
            request_conn.close()  # type: ignore[attr-defined]
        return _Message(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._idle.pop(server_conn, None)

    def on_request_started(self, message: "_Message") -> None:
        """Notes that the head of a request was read."""
        self._idle.pop(message.server_connection, None)
        self._begun.add(message)

    def on_request_finished(self, message: "_Message") -> None:
        """Notes that a request was answered, or that its client has left."""
        self._begun.discard(message)


class _Message(HTTPMessageDelegate):
    """One request and its answer."""

    def __init__(
        self,
        listener: HTTPListener,
        server_connection: object,
        connection: HTTPConnection,
    ) -> None:
        self.listener = listener
        self.server_connection = server_connection
        self.connection = connection
        self.line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.body: list[bytes] = []
        self.length = 0
        self.is_refused = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.line, self.headers = start_line, headers
        self.listener.on_request_started(self)
        if self._count_header_bytes() > self.listener.max_header_bytes:
            return self._refuse(ErrorCode.HEADERS_TOO_LARGE, "the headers are too long")
        declared = headers.get("Content-Length", "")
        if declared.isdigit() and int(declared) > self.listener.max_body_bytes:
            return self._refuse_body()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.is_refused:
            return None
        self.length += len(chunk)
        if self.length > self.listener.max_body_bytes:
            return self._refuse_body()
        self.body.append(chunk)
        return None

    def finish(self) -> None:
        if self.is_refused:
            return
        self.task = asyncio.create_task(self._serve())
        self.task.add_done_callback(lambda _: self.listener.on_request_finished(self))
        self.connection.set_close_callback(self._note_left)  # type: ignore[attr-defined]

    def on_connection_close(self) -> None:
        self.body.clear()
        self.listener.on_request_finished(self)

    def _note_left(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def _count_header_bytes(self) -> int:
        return sum(len(name) + len(value) + 4 for name, value in self.headers.get_all())

    def _refuse_body(self) -> Awaitable[None]:
        limit = self.listener.max_body_bytes
        return self._refuse(
            ErrorCode.BODY_TOO_LARGE, f"the body is longer than {limit} bytes"
        )

    async def _refuse(self, code: ErrorCode, message: str) -> None:
        """Answers before the request is read whole, and ends the connection."""
        self.is_refused = True
        self.body.clear()
        request = self._decode(b"")
        reply = self.listener.codec.render_error(BuckthornstileError(code, message))
        log_event("request.too_large", request=request.id, reason=message)
        try:
            await self._write(request, reply, is_last=True)
        finally:
            self.listener.on_request_finished(self)

    def _decode(self, body: bytes) -> AnyRequest:
        assert self.line is not None
        return self.listener.codec.decode(
            self.line.method, self.line.path, self.headers, body
        )

    async def _serve(self) -> None:
        request = self._decode(b"".join(self.body))
        try:
            reply = await self._handle(request)
            if isinstance(reply, StreamingResponse):
                await self._write_stream(request, reply)
            else:
                await self._write(request, reply, is_last=self.listener.is_draining)
        except asyncio.CancelledError:
            log_event("client.left", request=request.id, path=request.path[:40])

    async def _handle(self, request: AnyRequest) -> AnyResponse:
        try:
            return await self.listener.handler(request)
        except Exception as error:
            log_event("request.failed", request=request.id, reason=repr(error))
            failure = BuckthornstileError(
                ErrorCode.INTERNAL,
                "the entry failed on the request",
                verdict=Verdict.MAY_HAVE_RUN,
            )
            return self.listener.codec.render_error(failure)

    def _make_head(
        self, request: AnyRequest, reply: AnyResponse, is_last: bool
    ) -> tuple[ResponseStartLine, HTTPHeaders]:
        headers = HTTPHeaders()
        for name, value in self.listener.codec.encode(request, reply):
            headers.add(name, value)
        if is_last:
            headers["Connection"] = "close"
        reason = responses.get(reply.status, "Unknown")
        return ResponseStartLine("HTTP/1.1", reply.status, reason), headers

    async def _write(
        self, request: AnyRequest, reply: Response, *, is_last: bool
    ) -> None:
        line, headers = self._make_head(request, reply, is_last)
        if reply.status not in (204, 304):
            headers["Content-Length"] = str(len(reply.body))
        with contextlib.suppress(StreamClosedError):
            sent = self.connection.write_headers(line, headers, reply.body or None)
            self.connection.finish()
            await sent
            if is_last:
                self.connection.close()  # type: ignore[attr-defined]

    async def _write_stream(
        self, request: AnyRequest, reply: StreamingResponse
    ) -> None:
        line, headers = self._make_head(request, reply, self.listener.is_draining)
        # Small events must not wait for the acknowledgement of earlier ones.
        self.connection.stream.set_nodelay(True)  # type: ignore[attr-defined]
        with contextlib.suppress(StreamClosedError):
            async with contextlib.aclosing(reply.chunks) as chunks:
                await self.connection.write_headers(line, headers)
                try:
                    async for chunk in chunks:
                        await self.connection.write(chunk)
                except BuckthornstileError as error:
                    log_event("stream.broken", request=request.id, reason=error.message)
                    # A stream that is not whole must end visibly.
                    self.connection.close()  # type: ignore[attr-defined]
                    return
            self.connection.finish()
            if self.listener.is_draining:
                self.connection.close()  # type: ignore[attr-defined]
