"""Reads one request of a client and writes its response."""

import asyncio
import contextlib
import io
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, is_dataclass, replace
from http.client import responses
from typing import Any, Protocol

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_integer
from buckthornstile.client_memory import EvictionReason, Holding, HoldingKind
from buckthornstile.entry._client_guard import ClientGuard
from buckthornstile.logs import log_event
from buckthornstile.messages import Headers, Response, StreamingResponse

WRITE_CHUNK_BYTES = 64 << 10
"""Number of bytes of a body that a client must take within ``write_timeout``."""
MEMORY_RETRY_DELAY = 1.0
"""Seconds after which a client may retry a request for which there was no room."""

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


class RequestListener(Protocol):
    """What a request needs of the listener that read it.

    Attributes:
        handler: Returns the response to a request.
        codec: Decodes requests and encodes responses.
        guard: Bounds what is held for clients.
        write_timeout: Seconds in which a client must take a chunk of a response.
        max_body_bytes: Maximum size of a body.
        max_header_bytes: Maximum size of the headers.
        is_draining: Whether each connection is closed after its next response.
        is_stopped: Whether reading of requests has ended.
    """

    handler: Handler
    codec: HTTPCodec
    guard: ClientGuard
    write_timeout: float
    max_body_bytes: int
    max_header_bytes: int
    is_draining: bool
    is_stopped: bool

    def on_request_started(self, delegate: "RequestDelegate") -> None:
        """Registers a request whose head was read."""

    def on_request_finished(self, delegate: "RequestDelegate") -> None:
        """Removes a request that has its response or whose client disconnected."""


class RequestDelegate(HTTPMessageDelegate):
    """Reads one request and writes its response."""

    def __init__(
        self,
        listener: RequestListener,
        server_connection: object,
        connection: HTTPConnection,
    ) -> None:
        self.listener = listener
        self.server_connection = server_connection
        self.connection = connection
        self.start_line: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        self.stream: IOStream = connection.stream  # type: ignore[attr-defined]
        # A BytesIO passes on its content without a copy.
        self.body = io.BytesIO()
        self.body_length = 0
        self._holding: Holding | None = None
        self.is_rejected = False
        self.task: asyncio.Task[None] | None = None
        self.refusal: asyncio.Task[None] | None = None
        self.is_aborted = False
        self.is_responding = False

    @property
    def holding(self) -> Holding:
        """What is held for the request; opened when its head was read."""
        assert self._holding is not None
        return self._holding

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self.start_line, self.headers = start_line, headers
        self.listener.on_request_started(self)
        self._holding = self.listener.guard.open(HoldingKind.BODY, self._on_evicted)
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
        is_granted = self.listener.guard.admit(self.holding, len(chunk))
        if is_granted is not None:
            return self._wait_for_room(chunk, is_granted)
        self.body.write(chunk)
        return None

    async def _wait_for_room(
        self, chunk: bytes, is_granted: "asyncio.Future[bool]"
    ) -> None:
        """Pauses reading until there is room for a chunk or the request is refused."""
        if await is_granted and not self.is_rejected:
            self.body.write(chunk)

    def finish(self) -> None:
        if self.is_rejected:
            return
        # From here on the request may run, so that it must not be evicted.
        self.listener.guard.change_kind(
            self.holding, HoldingKind.REQUEST, self.body_length
        )
        self.task = asyncio.create_task(self._serve())
        self.task.add_done_callback(lambda _: self._finish_request())
        self.connection.set_close_callback(self._on_client_disconnected)  # type: ignore[attr-defined]

    def abort(self) -> None:
        """Cancels the request and answers it, unless its response has begun."""
        if self.task is not None and not self.is_responding:
            self.is_aborted = True
            self.task.cancel()

    def on_connection_close(self) -> None:
        self._finish_request()

    def _finish_request(self) -> None:
        self.body.close()
        self.listener.guard.release(self.holding)
        self.listener.on_request_finished(self)

    def _on_evicted(self, reason: EvictionReason) -> None:
        """Refuses a request that is not whole, or closes the connection."""
        if self.task is not None:
            # Closing drops the callbacks by which the task would notice it.
            self.connection.close()  # type: ignore[attr-defined]
            self.task.cancel()
            return
        if self.is_rejected:
            return
        if reason is EvictionReason.SLOW_BODY:
            code, message = ErrorCode.BODY_TOO_SLOW, "the body arrives too slowly"
            retry_after = None
        else:
            code, message = ErrorCode.MEMORY_FULL, "too much is held for clients"
            retry_after = MEMORY_RETRY_DELAY
        error = BuckthornstileError(code, message, retry_after=retry_after)
        self.is_rejected = True
        self.body.close()
        self.refusal = asyncio.create_task(self._write_refusal(error))

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
        self.body.close()
        log_event("request.too_large", request=self._decode(b"").id, reason=message)
        await self._write_refusal(BuckthornstileError(code, message))

    async def _write_refusal(self, error: BuckthornstileError) -> None:
        """Answers a request whose body was not read to its end, so that it cannot run.

        The connection is closed after the response.
        """
        self.listener.guard.release(self.holding)
        response = self.listener.codec.render_error(error)
        try:
            await self._write(self._decode(b""), response, is_last=True)
        finally:
            self.listener.on_request_finished(self)

    def _decode(self, body: bytes) -> AnyRequest:
        assert self.start_line is not None
        return self.listener.codec.decode(
            self.start_line.method, self.start_line.path, self.headers, body
        )

    async def _serve(self) -> None:
        guard = self.listener.guard
        try:
            request = self._decode(self.body.getvalue())
        except Exception as error:
            # Without this, the client would wait on an open connection.
            log_event("request.not_decoded", reason=repr(error))
            self.connection.close()  # type: ignore[attr-defined]
            return
        self.body.close()
        try:
            response = await self._handle(request)
            self.is_responding = True
            # Only its id and path are needed from here on.
            request = _drop_body(request)
            if isinstance(response, StreamingResponse):
                await self._write_stream(request, response)
            else:
                guard.change_kind(
                    self.holding, HoldingKind.RESPONSE, len(response.body)
                )
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
                self.listener.guard.record_sent(self.holding, WRITE_CHUNK_BYTES)
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
                        if not await self._write_chunk(request, response, chunk):
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

    async def _write_chunk(
        self, request: AnyRequest, response: StreamingResponse, chunk: bytes
    ) -> bool:
        """Writes a chunk of a stream; returns False if the client did not take it."""
        sent = self.connection.write(chunk)
        if sent.done():
            return await self._wait_until_written(request, sent)
        guard, base = self.listener.guard, self.body_length + len(chunk)
        guard.change_kind(self.holding, HoldingKind.RESPONSE, base)
        # While the client does not read, the events that follow are buffered too.
        self.holding.measure = lambda: base + response.count_buffered()
        try:
            return await self._wait_until_written(request, sent)
        finally:
            self.holding.measure = None
            guard.change_kind(self.holding, HoldingKind.REQUEST, self.body_length)


def _drop_body(request: AnyRequest) -> AnyRequest:
    """Returns a request without its body, which no longer takes memory."""
    if is_dataclass(request) and not isinstance(request, type):
        return replace(request, body=b"")
    return request
