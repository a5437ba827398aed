"""Relays the events of a stream to its client as they arrive."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    ServiceName,
    UpstreamId,
    Verdict,
)
from buckthornstile.gateway._call_sender import (
    MAX_REFUSALS,
    REFUSAL_PAUSE,
    RETRY_AFTER_SECONDS,
    CallSender,
    is_too_old,
)
from buckthornstile.gateway._load_balancer import LoadBalancer, Permit
from buckthornstile.http_client import ConnectionPool, HTTPResponse
from buckthornstile.logs import log_event
from buckthornstile.messages import (
    Response,
    ResponseHead,
    RoutedCall,
    StreamEvent,
    StreamingResponse,
    UpstreamCall,
)
from buckthornstile.platform import (
    UpstreamEventParser,
    decode_response_head,
    encode_event,
    encode_upstream_call,
)
from buckthornstile.topology import Upstream

SILENCE = 1.2
"""Seconds without an event after which a resumable stream goes on elsewhere."""
BUFFERED_EVENTS = 64
"""Events that wait for a slow client before its upstream is held up."""


class StreamProxy:
    """Opens streams at upstreams.

    Args:
        sender: Chooses services and counts runs.
        balancer: Chooses upstreams.
        pool: Connections to them.
    """

    def __init__(
        self, sender: CallSender, balancer: LoadBalancer, pool: ConnectionPool
    ) -> None:
        self.sender = sender
        self.balancer = balancer
        self.pool = pool

    async def open(self, call: RoutedCall) -> Response | StreamingResponse:
        """Sends a request and gives its answer once its head has arrived.

        A stream that breaks goes on at another upstream, under the head of its
        first one, if its route allows that; else it ends with an error.

        Raises:
            BuckthornstileError: There is no answer; the verdict is NOT_RUN only if
                no upstream has run the request or will.
        """
        return await _Relaying(self, call).open()


class _Run:
    """One run of a request at one upstream."""

    def __init__(
        self,
        relay: StreamProxy,
        upstream: Upstream,
        call: UpstreamCall,
        place: Permit,
        check: Callable[[], None] | None,
    ) -> None:
        self.relay = relay
        self.upstream = upstream
        self.place = place
        self.head: ResponseHead | None = None
        self.reader: UpstreamEventParser | None = None
        self.events: asyncio.Queue[tuple[StreamEvent, bytes]] = asyncio.Queue(
            BUFFERED_EVENTS
        )
        self.answered = asyncio.Event()
        self.malformed = False
        self.task = asyncio.create_task(
            relay.pool.send(
                upstream.address,
                encode_upstream_call(call),
                on_headers=self._take_head,
                on_data=self._take_data,
                new_connection=True,
                before_send=check,
            )
        )
        self.task.add_done_callback(self._note_end)

    async def wait_for_head(self, deadline: float) -> ResponseHead | None:
        """Waits for the head; None if the run ended or time passed without one."""
        try:
            async with asyncio.timeout_at(deadline):
                await self.answered.wait()
        except TimeoutError:
            return None
        return self.head

    async def next_event(self, deadline: float) -> tuple[StreamEvent, bytes] | None:
        """Waits for the next event; None if the stream is over or time passed."""
        if self.events.empty() and self.task.done():
            return None
        getting = asyncio.create_task(self.events.get())
        left = max(0.0, deadline - asyncio.get_running_loop().time())
        try:
            await asyncio.wait(
                {getting, self.task},
                timeout=left,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if getting.done():
                return getting.result()
        finally:
            getting.cancel()
        return self.events.get_nowait() if not self.events.empty() else None

    def is_complete(self) -> bool:
        """Whether the upstream ended the stream cleanly."""
        if not self.task.done() or self.task.cancelled() or self.malformed:
            return False
        is_between = self.reader is not None and self.reader.is_between_events()
        return self.task.exception() is None and is_between

    def find_error(self) -> BuckthornstileError | None:
        """The error with which the run ended, if it did."""
        if not self.task.done() or self.task.cancelled():
            return None
        error = self.task.exception()
        if error is None or isinstance(error, BuckthornstileError):
            return error
        raise error

    async def cancel(self) -> None:
        """Closes the upstream's connection if the run is not over."""
        self.task.cancel()
        await asyncio.wait({self.task})

    def _take_head(self, answer: HTTPResponse) -> None:
        self.head = decode_response_head(answer)
        self.relay.balancer.record_load(self.upstream, self.head.load)
        self.answered.set()

    def _take_data(self, chunk: bytes) -> Awaitable[None] | None:
        if self.head is None or self.malformed:
            return None
        if self.reader is None:
            self.reader = UpstreamEventParser(self.head.version or 0)
        try:
            events = self.reader.feed(chunk)
        except ValueError:
            self.malformed = True
            return None
        return self._hand_over(events) if events else None

    async def _hand_over(self, events: list[tuple[StreamEvent, bytes]]) -> None:
        for event in events:
            await self.events.put(event)

    def _note_end(self, _: object) -> None:
        self.place.release()
        self.answered.set()


class _Relaying:
    """All runs of one request."""

    def __init__(self, relay: StreamProxy, call: RoutedCall) -> None:
        self.relay = relay
        self.call = call
        self.route = call.route
        self.service: ServiceName = relay.sender.choose_service(call.route)
        self.tried: list[UpstreamId] = []
        self.runs = 0
        self.refusals = 0
        self.may_have_run = False
        self.last_event = call.request.last_event_id
        self.version: int | None = None
        self.is_counted = False
        self.started_at = asyncio.get_running_loop().time()

    async def open(self) -> Response | StreamingResponse:
        while True:
            run = self._start()
            handed_over = False
            try:
                head = await run.wait_for_head(self._get_patience())
                if head is None:
                    self._note_failure(run)
                elif head.is_refusal:
                    self._note_refusal(run, head)
                elif head.status != 200:
                    answer = await self._read_whole(run)
                    return Response(head.status, bytes(answer.body), head.headers)
                elif head.has_content_encoding or not head.signature:
                    self._note_failure(run)
                else:
                    self.version = head.version
                    chunks = self._relay_events(run)
                    await anext(chunks)
                    handed_over = True
                    return StreamingResponse(200, head.headers, chunks)
            finally:
                if not handed_over:
                    await run.cancel()

    def _start(self) -> _Run:
        """Starts the next run.

        Raises:
            BuckthornstileError: No further run is allowed or possible.
        """
        loop, balancer = asyncio.get_running_loop(), self.relay.balancer
        if loop.time() >= self.call.deadline:
            raise self._make_error(ErrorCode.DEADLINE_PASSED, "no answer in time")
        may_run = self.runs < max(1, self.route.max_attempts)
        if self.may_have_run and not (self.route.is_resumable and may_run):
            raise self._make_error(ErrorCode.ANSWER_TRUNCATED, "the stream broke off")
        upstream = None
        if may_run and self.refusals < MAX_REFUSALS:
            upstream = balancer.pick(self.service, avoided=self.tried)
        if upstream is None:
            raise self._make_error(
                ErrorCode.NO_UPSTREAM,
                f"no upstream of service {self.service!r} took the request",
            )
        self.tried.append(upstream.id)
        self.runs += 1
        request = self.call.request
        call = UpstreamCall(
            id=request.id,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=request.headers,
            body=request.body,
            upstream=upstream.id,
            remaining_time=self.call.deadline - loop.time(),
            account=self.call.account,
            last_event_id=self.last_event,
        )
        place = balancer.acquire_permit(upstream)
        return _Run(self.relay, upstream, call, place, self.call.before_send)

    async def _read_whole(self, run: _Run) -> HTTPResponse:
        self.may_have_run = True
        try:
            async with asyncio.timeout_at(self.call.deadline):
                return await run.task
        except TimeoutError as error:
            raise self._make_error(
                ErrorCode.DEADLINE_PASSED, "no whole answer in time"
            ) from error

    def _note_failure(self, run: _Run) -> None:
        error = run.find_error()
        if error is not None and is_too_old(error):
            raise self._make_error(error.code, error.message)
        self.relay.balancer.record_failure(run.upstream)
        if error is not None and error.verdict is Verdict.NOT_RUN:
            self.runs -= 1
            self.refusals += 1
        else:
            self.may_have_run = True
        log_event(
            "stream.run_failed",
            request=self.call.request.id,
            upstream=run.upstream.id,
            last_event=self.last_event,
            reason=error or "silent",
        )

    def _note_refusal(self, run: _Run, head: ResponseHead) -> None:
        self.runs -= 1
        self.refusals += 1
        if head.other_upstream is not None:
            self.relay.balancer.record_failure(run.upstream)
        else:
            self.relay.balancer.record_refusal(run.upstream, REFUSAL_PAUSE)

    async def _relay_events(self, run: _Run) -> AsyncGenerator[bytes, None]:
        try:
            # A generator that has not begun runs no clean-up when it is closed.
            yield b""
            while True:
                async for chunk in self._relay_run(run):
                    yield chunk
                if run.is_complete():
                    self.relay.balancer.record_success(run.upstream)
                    return
                await run.cancel()
                self._note_failure(run)
                run = await self._resume()
        finally:
            await run.cancel()

    async def _relay_run(self, run: _Run) -> AsyncGenerator[bytes, None]:
        while True:
            found = await run.next_event(self._get_patience())
            if found is None:
                return
            event, block = found
            if self.last_event is not None and event.id != self.last_event + 1:
                run.malformed = True
                return
            self._count_run()
            has_new_version = self.version not in (None, event.version)
            self.last_event, self.version = event.id, event.version
            yield encode_event(block, event.version if has_new_version else None)

    async def _resume(self) -> _Run:
        """Starts a run that goes on after the last event.

        Raises:
            BuckthornstileError: The stream cannot go on.
        """
        while True:
            run = self._start()
            head = None
            try:
                head = await run.wait_for_head(self._get_patience())
                if head is not None and head.is_refusal:
                    self._note_refusal(run, head)
                elif head is None or head.status != 200 or not head.signature:
                    self._note_failure(run)
                else:
                    return run
            except BaseException:
                await run.cancel()
                raise
            await run.cancel()

    def _get_patience(self) -> float:
        """Until when the present run may be silent, in loop time."""
        if not self.route.is_resumable:
            return self.call.deadline
        return min(self.call.deadline, asyncio.get_running_loop().time() + SILENCE)

    def _count_run(self) -> None:
        if not self.is_counted and self.call.account is not None:
            age = asyncio.get_running_loop().time() - self.started_at
            self.relay.sender.on_executed(self.call.account, age)
        self.is_counted = True

    def _make_error(self, code: ErrorCode, message: str) -> BuckthornstileError:
        verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
        retry_after = None if self.may_have_run else RETRY_AFTER_SECONDS
        return BuckthornstileError(
            code, message, verdict=verdict, retry_after=retry_after
        )
