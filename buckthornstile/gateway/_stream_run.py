"""Runs a streaming request at one upstream and buffers its events."""

import asyncio
from collections.abc import Awaitable, Callable

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.gateway._event_buffer import EncodedEvent, EventBuffer
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.http_client import ConnectionPool, HTTPResponse
from buckthornstile.messages import ResponseHead, RoutedCall, UpstreamCall
from buckthornstile.platform import (
    UpstreamEventParser,
    decode_response_head,
    encode_upstream_call,
)
from buckthornstile.topology import Upstream

STREAM_STATUS = 200
"""Status of a response that is a stream; all others are failures."""


class StreamRun:
    """One attempt to run a streaming request at one upstream.

    Args:
        pool: Connections to the upstreams.
        balancer: Records what the upstream states about itself.
        upstream: The upstream.
        call: The request as it is sent to it.
        permit: The permit of this run; released when the run has ended.
        before_send: Called just before the request is written; raises if it must no
            longer be sent.

    Attributes:
        head: The response's head, or None before it has arrived.
        events: Events received but not yet proxied, each with its encoded block.
        failure_body: Body of a response that is a failure and so no stream.
        head_or_end: Set once the head has arrived or the run has ended.
        is_sent: Whether a byte of the request may have been sent.
        is_malformed: Whether the upstream sent data that is not a valid stream.
        task: Sends the request and receives the response.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        balancer: LoadBalancer,
        upstream: Upstream,
        call: UpstreamCall,
        permit: Permit,
        before_send: Callable[[], None] | None,
    ) -> None:
        self.pool = pool
        self.balancer = balancer
        self.upstream = upstream
        self.permit = permit
        self.is_resumed = call.last_event_id is not None
        self.head: ResponseHead | None = None
        self.parser: UpstreamEventParser | None = None
        self.events = EventBuffer(pool.limit)
        self.failure_body = bytearray()
        self.abort_reason = ""
        self.head_or_end = asyncio.Event()
        self.is_malformed = False
        self.started_at = asyncio.get_running_loop().time()
        # Seconds for which the upstream waited for the client to read.
        self.paused_time = 0.0
        self.is_sent = False
        self.check_before_send = before_send
        self.task = asyncio.create_task(
            pool.send(
                upstream.address,
                encode_upstream_call(call),
                on_headers=self._on_headers,
                on_data=self._on_data,
                new_connection=True,
                before_send=self._prepare_send,
            )
        )
        self.task.add_done_callback(self._on_done)

    async def wait_for_head(self, deadline: float) -> ResponseHead | None:
        """Returns the head, or None if the run ended or the deadline passed first.

        Args:
            deadline: Deadline in the event loop's time, in seconds.
        """
        try:
            async with asyncio.timeout_at(deadline):
                await self.head_or_end.wait()
        except TimeoutError:
            return None
        return self.head

    async def next_event(self, deadline: float) -> EncodedEvent | None:
        """Returns the next event, or None if the stream ended or the deadline passed.

        Args:
            deadline: Deadline in the event loop's time, in seconds.

        Returns:
            The event with the block of bytes that encodes it, or None.
        """
        if self.events.is_empty() and self.task.done():
            return None
        get_task = asyncio.create_task(self.events.get())
        remaining = max(0.0, deadline - asyncio.get_running_loop().time())
        try:
            await asyncio.wait(
                {get_task, self.task},
                timeout=remaining,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if get_task.done():
                return get_task.result()
        finally:
            get_task.cancel()
        return self.events.get_nowait() if not self.events.is_empty() else None

    def is_complete(self) -> bool:
        """Whether the upstream ended the stream cleanly, between two events."""
        if not self.task.done() or self.task.cancelled() or self.is_malformed:
            return False
        if self.parser is None:
            # The rest of a stream that broke off after its last event is empty.
            ends_between_events = self.is_resumed
        else:
            ends_between_events = self.parser.is_between_events()
        return self.task.exception() is None and ends_between_events

    def has_been_replaced(self) -> bool:
        """Whether the upstream has started again under its id since it was chosen.

        Its software version is then not known to be the one of the run.
        """
        listed = self.balancer.view.upstreams.get(self.upstream.id, self.upstream)
        return listed.started_at_ms != self.upstream.started_at_ms or (
            listed.software_version != self.upstream.software_version
        )

    def get_error(self) -> BuckthornstileError | None:
        """Returns the error with which the run ended, or None."""
        if not self.task.done() or self.task.cancelled():
            return None
        error = self.task.exception()
        if error is None or isinstance(error, BuckthornstileError):
            return error
        raise error

    async def read_failure(self, deadline: float) -> bytes | None:
        """Returns the body of a failure, or None if the deadline passed first.

        Args:
            deadline: Deadline in the event loop's time, in seconds.

        Raises:
            BuckthornstileError: The body is incomplete or too large.
        """
        remaining = max(0.0, deadline - asyncio.get_running_loop().time())
        # Awaiting the task itself would pass its cancellation on to the caller.
        done, _ = await asyncio.wait({self.task}, timeout=remaining)
        if not done:
            return None
        if self.task.cancelled():
            raise BuckthornstileError(
                ErrorCode.ANSWER_TOO_LARGE,
                self.abort_reason,
                verdict=Verdict.MAY_HAVE_RUN,
            )
        self.task.result()
        return bytes(self.failure_body)

    async def cancel(self) -> None:
        """Closes the upstream's connection if the run has not ended."""
        self.task.cancel()
        await asyncio.wait({self.task})
        self.events.discard()

    def _prepare_send(self) -> None:
        if self.check_before_send is not None:
            self.check_before_send()
        self.is_sent = True

    def _on_headers(self, response: HTTPResponse) -> None:
        self.head = decode_response_head(response)
        self.balancer.record_head(self.upstream, self.head, self.permit)
        self.head_or_end.set()

    def _on_data(self, chunk: bytes) -> Awaitable[None] | None:
        if self.head is None or self.is_malformed or self.abort_reason:
            return None
        if self.head.status != STREAM_STATUS:
            self.failure_body += chunk
            self.pool.limit.grow(self, len(chunk))
            return None
        if self.parser is None:
            self.parser = UpstreamEventParser(self.head.version or 0)
        try:
            events = self.parser.feed(chunk)
        except ValueError:
            self.is_malformed = True
            # Otherwise the rest of the response, perhaps without end, would be read.
            self.task.cancel()
            return None
        return self._enqueue(events) if events else None

    async def _enqueue(self, events: list[EncodedEvent]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for event in events:
            await self.events.put(event)
        self.paused_time += loop.time() - started_at

    def abort(self, reason: str) -> None:
        """Discards the body of a failure that is too large."""
        self.abort_reason = reason
        self.failure_body.clear()
        self.task.cancel()

    def _record_work(self) -> None:
        elapsed = asyncio.get_running_loop().time() - self.started_at
        seconds = elapsed - self.paused_time
        if self.head is None or self.head.status != STREAM_STATUS:
            return
        if self.is_complete() and not self.is_resumed:
            self.balancer.record_completed(self.upstream, self.permit, seconds)
        elif not self.is_complete():
            self.balancer.record_censored(self.upstream, self.permit, seconds)

    def _on_done(self, task: "asyncio.Task[HTTPResponse]") -> None:
        if not task.cancelled():
            # A client may leave before its stream has come to the error, which asyncio
            # would then log as not retrieved.
            task.exception()
        self.pool.limit.release(self)
        self.permit.release()
        self.head_or_end.set()
        self._record_work()


def make_stream_call(
    call: RoutedCall, upstream: Upstream, last_event_id: int | None, now: float
) -> UpstreamCall:
    """Returns a request as it is sent to an upstream.

    Args:
        call: The request.
        upstream: The upstream.
        last_event_id: Id of the last event that the client has, or None.
        now: The event loop's time, in seconds.
    """
    request = call.request
    return UpstreamCall(
        id=request.id,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=request.headers,
        body=request.body,
        upstream=upstream.id,
        remaining_time=call.deadline - now,
        account=call.account,
        last_event_id=last_event_id,
    )
