"""The HTTP door: reads requests and writes their answers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from http.client import responses

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

from buckthornstile.calls import ClientRequest, Reply
from buckthornstile.logs import log_event
from buckthornstile.platform import decode_request, encode_reply

MAX_HEADER_BYTES = 64 << 10
"""Bytes; a longer head cannot be read far enough to be answered."""
MAX_BODY_BYTES = 64 << 20
BACKLOG = 1024

Handler = Callable[[ClientRequest], Awaitable[Reply]]


class Door(HTTPServerConnectionDelegate):
    """Serves one address.

    A handler's task is cancelled when its client leaves.

    Args:
        handler: Answers a request.
        address: Where to listen, as ``IP:port``.
        idle_timeout: Seconds after which an idle connection is closed.
    """

    def __init__(self, handler: Handler, address: str, *, idle_timeout: float) -> None:
        self.handler = handler
        self.address = address
        self.open = 0
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self._is_closing = False
        self._server = HTTPServer(
            self,  # type: ignore[arg-type]
            idle_connection_timeout=idle_timeout,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def listen(self) -> None:
        """Begins to accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server.add_sockets(bind_sockets(int(port), host, backlog=BACKLOG))

    def start_closing(self) -> None:
        """Tells clients with each answer that the connection ends with it."""
        self._is_closing = True
        self._server.conn_params.no_keep_alive = True

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        return _Message(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        pass


class _Message(HTTPMessageDelegate):
    """One request and its answer."""

    def __init__(self, door: Door, connection: HTTPConnection) -> None:
        self.door = door
        self.connection = connection
        self.line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.body: list[bytes] = []
        self.length = 0
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self.line, self.headers = start_line, headers

    def data_received(self, chunk: bytes) -> None:
        self.length += len(chunk)
        if self.length <= self.door.max_body_bytes:
            self.body.append(chunk)

    def finish(self) -> None:
        self.task = asyncio.create_task(self._serve())
        self.connection.set_close_callback(self._note_left)  # type: ignore[attr-defined]

    def on_connection_close(self) -> None:
        self.body.clear()

    def _note_left(self) -> None:
        if self.task is not None:
            self.task.cancel()

    async def _serve(self) -> None:
        assert self.line is not None
        self.door.open += 1
        request = decode_request(
            self.line.method, self.line.path, self.headers, b"".join(self.body)
        )
        try:
            if self.length > self.door.max_body_bytes:
                reply = Reply(413)
            elif self._count_header_bytes() > self.door.max_header_bytes:
                reply = Reply(431)
            else:
                reply = await self._handle(request)
            await self._write(request, reply)
        except asyncio.CancelledError:
            log_event("client.left", request=request.id, path=request.path[:40])
        finally:
            self.door.open -= 1

    async def _handle(self, request: ClientRequest) -> Reply:
        try:
            return await self.door.handler(request)
        except Exception as error:
            log_event("request.failed", request=request.id, reason=repr(error))
            return Reply(500)

    def _count_header_bytes(self) -> int:
        return sum(len(name) + len(value) + 4 for name, value in self.headers.get_all())

    async def _write(self, request: ClientRequest, reply: Reply) -> None:
        headers = HTTPHeaders()
        for name, value in encode_reply(request.id, reply):
            headers.add(name, value)
        if reply.status not in (204, 304):
            headers["Content-Length"] = str(len(reply.body))
        is_last = self.door._is_closing
        if is_last:
            headers["Connection"] = "close"
        line = ResponseStartLine(
            "HTTP/1.1", reply.status, responses.get(reply.status, "Unknown")
        )
        with contextlib.suppress(StreamClosedError):
            sent = self.connection.write_headers(line, headers, reply.body or None)
            self.connection.finish()
            await sent
            if is_last:
                self.connection.close()  # type: ignore[attr-defined]
