"""One exchange of a request and its response on an open connection."""

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_integer
from buckthornstile.http_client._messages import (
    HTTPRequest,
    HTTPResponse,
    OnData,
    OnHeaders,
)
from buckthornstile.http_client._response_limit import ResponseLimit

MAX_HEADER_BYTES = 64 << 10
CHUNK_BYTES = 16 << 10
"""Maximum number of bytes that are read from a connection at once."""
MAX_COPIED_BYTES = 64 << 10
"""Size up to which a request's body is copied behind its head, which saves a packet."""
MAX_STREAMED_BYTES = 64 << 20
"""Maximum size of a body that is passed on in chunks and not collected."""
FIRST_INTERIM_STATUS = 100
"""Lowest status of an interim response, which the final response follows."""
FIRST_FINAL_STATUS = 200
FIRST_INVALID_STATUS = 600
SWITCHING_PROTOCOLS_STATUS = 101
"""Interim status after which no response in this protocol follows. No request asks for
it."""
NO_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` on, with a timeout of zero: closing resets the connection."""

# Suppresses Tornado's log lines about responses that cannot be parsed: the caller logs
# the failed request.
logging.getLogger("tornado.general").setLevel(logging.CRITICAL)


class ResponseReader(HTTPMessageDelegate):
    """Receives the response to one request, and records how far it has come.

    Args:
        request: The request.
        stream: The connection.
        limit: Limits the body.
        is_reused: Whether the connection has carried a request before.
    """

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
        self.invalid_status: int | None = None
        self.has_declared_length = False
        self.keeps_alive = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        # Tornado goes on with bytes that it has read before the connection was closed.
        if self.invalid_status is not None or _is_interim(start_line.code):
            return
        if not FIRST_FINAL_STATUS <= start_line.code < FIRST_INVALID_STATUS:
            self.invalid_status = start_line.code
            reset(self.stream)
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
        reset(self.stream)

    def finish(self) -> None:
        self.is_finished = True

    def on_connection_close(self) -> None:
        pass


async def exchange(
    stream: IOStream,
    request: HTTPRequest,
    reader: ResponseReader,
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
        body = request.body or b""
        is_copied = len(body) <= MAX_COPIED_BYTES
        write_future = connection.write_headers(
            line, headers, body if is_copied and body else None
        )
        write_future.add_done_callback(_consume_error)
        if not is_copied:
            connection.write(body).add_done_callback(_consume_error)
        connection.finish()
        return await connection.read_response(reader)
    except StreamClosedError:
        return False


def reset(stream: IOStream) -> None:
    """Resets a connection, so that no unsent byte is delivered later.

    After a plain close, the kernel would still deliver a request that a network
    partition delays, once the partition ends.
    """
    if not stream.closed():
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    stream.close()


def _is_interim(status: int) -> bool:
    is_informational = FIRST_INTERIM_STATUS <= status < FIRST_FINAL_STATUS
    return is_informational and status != SWITCHING_PROTOCOLS_STATUS


def _consume_error(write_future: "asyncio.Future[None]") -> None:
    # A failed write also leads to a missing response, which is reported as an error.
    if not write_future.cancelled():
        write_future.exception()


def check_complete(stream: IOStream, reader: ResponseReader) -> HTTPResponse:
    response = reader.response
    if reader.is_mismatched:
        code, message = (
            ErrorCode.ANSWER_CROSSED,
            "the response belongs to another request",
        )
    elif reader.invalid_status is not None:
        code, message = (
            ErrorCode.UPSTREAM_FAILED,
            f"status {reader.invalid_status:03} is not that of a final response",
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
