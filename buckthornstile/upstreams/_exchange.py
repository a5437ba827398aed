"""One HTTP request and its answer on a stream, read part by part."""

import asyncio
import contextlib
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from buckthornstile.base import ErrorCode
from buckthornstile.ports import AnswerEnd, AnswerHead, AnswerPart, UpstreamCall

MAX_QUEUED_PARTS = 16
PART_BYTES = 64 << 10
MAX_HEADER_BYTES = 64 << 10
INFORMATIONAL_STATUS_END = 200
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The connection closed before the answer's declared end."""

    head_seen: bool


ExchangeEvent = AnswerHead | AnswerPart | AnswerEnd | AnswerLost


class _AnswerDelegate(HTTPMessageDelegate):
    """Puts an answer's parts into a bounded queue as they come."""

    def __init__(
        self, call: UpstreamCall, events: asyncio.Queue[ExchangeEvent]
    ) -> None:
        self.call = call
        self.events = events
        self.head_seen = False
        self.finished = False
        self.discards = False
        self.length_declared = False
        self.names_requests = False
        self.keeps_alive = False
        self.length = 0

    async def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < INFORMATIONAL_STATUS_END:
            return
        self.head_seen = True
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        bodiless = self.call.method == "HEAD" or start_line.code in (204, 304)
        self.length_declared = chunked or bodiless or "Content-Length" in headers
        self.names_requests = REQUEST_ID_HEADER in headers
        self.keeps_alive = (
            start_line.version == "HTTP/1.1"
            and headers.get("Connection", "").lower() != "close"
        )
        echo = headers.get(REQUEST_ID_HEADER) or self.call.request_id
        content_type = headers.get("Content-Type", "")
        await self.events.put(
            AnswerHead(start_line.code, content_type, type(self.call.request_id)(echo))
        )

    async def data_received(self, chunk: bytes) -> None:
        self.length += len(chunk)
        if not self.discards:
            await self.events.put(AnswerPart(chunk))

    def finish(self) -> None:
        self.finished = True

    def on_connection_close(self) -> None:
        pass


class Exchange:
    """One request and its answer.

    Reading stops while the queue of parts is full, so that a slow reader slows
    the upstream down by TCP's own window.

    Args:
        call: The call.
        max_answer_bytes: The longest answer that is read.
    """

    def __init__(self, call: UpstreamCall, *, max_answer_bytes: int) -> None:
        self.call = call
        self.max_answer_bytes = max_answer_bytes
        self.ended_by: ErrorCode | None = None
        self.reusable = False
        self._stream: IOStream | None = None
        self._events: asyncio.Queue[ExchangeEvent] = asyncio.Queue(MAX_QUEUED_PARTS)
        self._delegate = _AnswerDelegate(call, self._events)
        self._reader: asyncio.Task[None] | None = None

    def start(self, stream: IOStream, headers: HTTPHeaders) -> None:
        """Writes the request and begins to read the answer.

        Args:
            stream: A connected stream that carries no other request.
            headers: The request's headers.

        Raises:
            ValueError: A header is invalid; nothing was written.
        """
        self._stream = stream
        parameters = HTTP1ConnectionParameters(
            chunk_size=PART_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=self.max_answer_bytes,
        )
        connection = HTTP1Connection(stream, True, parameters)
        start_line = RequestStartLine(self.call.method, self.call.path, "HTTP/1.1")
        connection.write_headers(start_line, headers, self.call.body)
        connection.finish()
        self._reader = asyncio.create_task(self._read(connection))

    async def read_event(self) -> ExchangeEvent:
        """Reads the next head, part, end or loss."""
        return await self._events.get()

    def end(self, code: ErrorCode) -> None:
        """Closes the connection early; the last event is then a loss.

        Args:
            code: Why, for the error that the caller gets.
        """
        self.ended_by = code
        if self._stream is not None:
            self._stream.close()

    def take_stream(self) -> IOStream | None:
        """Gives the connection for another call, if the answer allows it."""
        if not self.reusable or self.ended_by is not None:
            return None
        stream, self._stream = self._stream, None
        return stream

    async def close(self) -> None:
        """Closes the connection, unless it was taken, and ends reading."""
        if self._stream is not None:
            self._stream.close()
        # An emptied queue lets a reader that waits for room come to its end.
        self._delegate.discards = True
        while not self._events.empty():
            self._events.get_nowait()
        if self._reader is not None:
            await asyncio.wait({self._reader})

    async def _read(self, connection: HTTP1Connection) -> None:
        delegate = self._delegate
        # The bytes are not trusted: whatever fails to parse is a lost answer.
        still_open = False
        with contextlib.suppress(Exception):
            still_open = await connection.read_response(delegate)
        self.reusable = still_open and delegate.keeps_alive and delegate.names_requests
        if delegate.finished and delegate.length_declared:
            await self._events.put(AnswerEnd(delegate.length))
        else:
            await self._events.put(AnswerLost(delegate.head_seen))
