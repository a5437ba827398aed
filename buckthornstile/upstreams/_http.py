"""What engines and services share: calls over HTTP."""

import asyncio
import ipaddress
import socket
from collections.abc import AsyncGenerator
from typing import NoReturn
from urllib.parse import urlsplit

from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    RequestId,
    Verdict,
)
from buckthornstile.exchanges import is_silent
from buckthornstile.ports import AnswerEnd, AnswerHead, AnswerPart, UpstreamCall
from buckthornstile.upstreams._exchange import (
    REQUEST_ID_HEADER,
    AnswerLost,
    Exchange,
)

MAX_ANSWER_BYTES = 64 << 20
MAX_IDLE_CONNECTIONS = 32
DEFAULT_PORT = 80


class HttpUpstream:
    """An upstream behind HTTP/1.1.

    A call that may not be repeated has a connection of its own, and so has every
    call to an upstream that does not name the request in its answer. Other calls
    share kept connections: what an upstream sends late or twice then shows by
    the wrong name. No failure makes the client write a request again.

    Args:
        base_url: Where the upstream listens, as ``http://IP:port``.
        connect_timeout: Seconds for a connection to stand.
        max_answer_bytes: The longest answer that is read.
        maximum_idle: Connections kept for later calls.

    Example:
        >>> HttpUpstream("http://127.0.0.1:9000").connect_timeout
        1.0
    """

    def __init__(
        self,
        base_url: str,
        *,
        connect_timeout: float = 1.0,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        maximum_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self.base_url = base_url
        self.connect_timeout = connect_timeout
        self.max_answer_bytes = max_answer_bytes
        self.maximum_idle = maximum_idle
        self._open: dict[RequestId, Exchange] = {}
        self._idle: list[IOStream] = []

    async def call(
        self, call: UpstreamCall
    ) -> AsyncGenerator[AnswerHead | AnswerPart | AnswerEnd, None]:
        """Makes a call and yields its answer as it comes.

        A caller that stops early must close the generator; that closes the
        connection.

        Args:
            call: The call.

        Yields:
            One head, any parts, and one end if the upstream declared it.

        Raises:
            BuckthornstileError: With ``verdict`` NOT_RUN only if no byte of
                the request left for the upstream.
        """
        loop = asyncio.get_running_loop()
        exchange = Exchange(call, max_answer_bytes=self.max_answer_bytes)
        self._open[call.request_id] = exchange
        timer = loop.call_later(call.timeout, exchange.end, ErrorCode.DEADLINE_PASSED)
        try:
            stream = self._take_idle() if call.idempotent else None
            if stream is None:
                stream = await self._connect(min(self.connect_timeout, call.timeout))
            self._start(exchange, stream)
            while True:
                event = await exchange.read_event()
                if isinstance(event, AnswerLost):
                    _raise_lost(exchange, event)
                if isinstance(event, AnswerHead):
                    _check_echo(call, event)
                yield event
                if isinstance(event, AnswerEnd):
                    return
        finally:
            timer.cancel()
            if self._open.get(call.request_id) is exchange:
                del self._open[call.request_id]
            self._keep(exchange.take_stream())
            await exchange.close()

    async def cancel(self, request_id: RequestId) -> None:
        """Closes the connection of a call; its reader gets ``CANCELLED``.

        Args:
            request_id: The call's id; one that is not open is passed over.
        """
        exchange = self._open.get(request_id)
        if exchange is not None:
            exchange.end(ErrorCode.CANCELLED)

    async def close(self) -> None:
        """Ends the calls that are open and closes idle connections."""
        for exchange in list(self._open.values()):
            exchange.end(ErrorCode.CANCELLED)
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self) -> IOStream | None:
        while self._idle:
            stream = self._idle.pop()
            if is_silent(stream):
                stream.set_close_callback(None)
                return stream
            stream.close()
        return None

    def _keep(self, stream: IOStream | None) -> None:
        if stream is None:
            return
        if len(self._idle) >= self.maximum_idle:
            stream.close()
            return
        self._idle.append(stream)

    async def _connect(self, timeout: float) -> IOStream:
        try:
            async with asyncio.timeout(timeout):
                return await _open_stream(self.base_url)
        except (OSError, ValueError, TimeoutError) as error:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED,
                "no connection to the upstream",
                verdict=Verdict.NOT_RUN,
            ) from error

    def _start(self, exchange: Exchange, stream: IOStream) -> None:
        if exchange.ended_by is not None:
            stream.close()
            raise BuckthornstileError(
                exchange.ended_by,
                "the call was ended before it was sent",
                verdict=Verdict.NOT_RUN,
            )
        call = exchange.call
        headers = HTTPHeaders(
            {
                "Host": urlsplit(self.base_url).netloc,
                "X-Priority": str(call.priority),
                "Content-Length": str(len(call.body)),
            }
        )
        if call.request_id:
            headers[REQUEST_ID_HEADER] = call.request_id
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.stream:
            headers["Accept"] = "text/event-stream"
        try:
            exchange.start(stream, headers)
        except ValueError as error:
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID,
                "the path or a header holds a line break",
                verdict=Verdict.NOT_RUN,
            ) from error


async def _open_stream(base_url: str) -> IOStream:
    # Addresses are IP numbers, so no resolver and none of its threads.
    parts = urlsplit(base_url)
    address = ipaddress.ip_address(parts.hostname or "")
    family = socket.AF_INET6 if address.version == 6 else socket.AF_INET
    stream = IOStream(socket.socket(family))
    try:
        await stream.connect((str(address), parts.port or DEFAULT_PORT))
    except BaseException:
        stream.close()
        raise
    return stream


def _check_echo(call: UpstreamCall, head: AnswerHead) -> None:
    if head.request_id != call.request_id:
        raise BuckthornstileError(
            ErrorCode.ANSWER_CROSSED,
            "the upstream answered another request",
            verdict=Verdict.MAY_HAVE_RUN,
        )


def _raise_lost(exchange: Exchange, lost: AnswerLost) -> NoReturn:
    if exchange.ended_by is not None:
        code, message = exchange.ended_by, "the call was ended before its answer"
    elif lost.head_seen:
        code, message = ErrorCode.ANSWER_TRUNCATED, "the answer ended early"
    else:
        code, message = ErrorCode.UPSTREAM_FAILED, "the upstream gave no answer"
    raise BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)
