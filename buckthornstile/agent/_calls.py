"""Makes one upstream call and judges its answer."""

import contextlib
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.agent._completions import EVENT_STREAM, JSON, ask_for_stream
from buckthornstile.agent._engine_monitor import EngineMonitor
from buckthornstile.agent._relay import ChunkRelay, FlushTimer
from buckthornstile.agent._requests import AgentRequest
from buckthornstile.base import BuckthornstileError, ErrorCode, RequestClass, Verdict
from buckthornstile.clock import read_boottime
from buckthornstile.guard import KeptAnswer
from buckthornstile.ports import (
    AnswerEnd,
    AnswerHead,
    EngineState,
    UpstreamCall,
    UpstreamPort,
)
from buckthornstile.samples import LabelTracker
from buckthornstile.wire import Started, TokenRange

HTTP_OK = 200
PRIORITIES = {name: number for number, name in enumerate(RequestClass)}


@dataclass(frozen=True, slots=True)
class CallResult:
    """A whole answer.

    Args:
        answer: Its status, media type, body, labels and token counts.
        relay: What has been sent of a streamed answer; None for one that goes
            in one message.
    """

    answer: KeptAnswer
    relay: ChunkRelay | None


def make_upstream_call(request: AgentRequest, now: float) -> UpstreamCall:
    """Makes the call to the upstream; neither key nor account goes with it.

    Args:
        request: The request.
        now: The clock reading, in seconds.

    Returns:
        The call.
    """
    dispatch = request.dispatch
    return UpstreamCall(
        dispatch.request_id,
        dispatch.method,
        dispatch.path,
        dispatch.content_type,
        dispatch.body,
        stream=dispatch.stream,
        priority=PRIORITIES[dispatch.request_class],
        timeout=max(request.deadline - now, 0.0),
        idempotent=dispatch.idempotent,
    )


class UpstreamCaller:
    """Calls the upstream, relays the answer, and checks that it is whole.

    Args:
        upstream: The upstream.
        monitor: The engine's monitor, or None beside a plain service.
        timer: Flushes streams.
        max_answer_bytes: The longest answer that is collected.
        read_clock: Gives the time, in seconds.
    """

    def __init__(
        self,
        upstream: UpstreamPort,
        *,
        monitor: EngineMonitor | None,
        timer: FlushTimer,
        max_answer_bytes: int,
        read_clock: Callable[[], float] = read_boottime,
    ) -> None:
        self.upstream = upstream
        self.monitor = monitor
        self.timer = timer
        self.max_answer_bytes = max_answer_bytes
        self.read_clock = read_clock

    async def call(self, request: AgentRequest, now: float) -> CallResult:
        """Makes the call.

        Args:
            request: The request, written in the request table as started.
            now: The clock reading, in seconds.

        Returns:
            The whole answer; a streamed one has been sent but for its end.

        Raises:
            BuckthornstileError: With a true verdict.
        """
        before = await self._read_state(request)
        tracker = None
        if self.monitor is not None:
            tracker = LabelTracker(before or self.monitor.state)
        relay = ChunkRelay(request, self.timer) if request.dispatch.stream else None
        head, body = await self._relay_answer(request, now, relay, tracker)
        if head.status != HTTP_OK and request.is_sample:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED,
                f"the engine answered with status {head.status}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        labels: tuple[TokenRange, ...] = ()
        content_type = head.content_type
        if tracker is not None and head.status == HTTP_OK:
            if not _is_stream(head):
                tracker.feed_whole(body)
            elif not request.dispatch.stream:
                body = tracker.make_whole_body()
                content_type = JSON
            labels = await self._finish_labels(request, tracker)
        if relay is not None:
            relay.flush()
        usage = None if tracker is None else tracker.usage
        answer = KeptAnswer(
            head.status,
            content_type,
            body,
            labels,
            0 if usage is None else usage.prompt_tokens,
            0 if usage is None else usage.generated_tokens,
        )
        return CallResult(answer, relay)

    async def _read_state(self, request: AgentRequest) -> EngineState | None:
        """Reads the engine's state before a sample; nothing has started yet."""
        if self.monitor is None or not request.is_sample:
            return None
        try:
            return await self.monitor.read()
        except BuckthornstileError as error:
            raise BuckthornstileError(
                ErrorCode.VERSION_UNVERIFIABLE, "the engine does not report its version"
            ) from error

    async def _relay_answer(
        self,
        request: AgentRequest,
        now: float,
        relay: ChunkRelay | None,
        tracker: LabelTracker | None,
    ) -> tuple[AnswerHead, bytes]:
        head: AnswerHead | None = None
        body = bytearray()
        received = 0
        call = self._make_call(request, now)
        # An open generator would keep the upstream's connection.
        async with contextlib.aclosing(self.upstream.call(call)) as events:  # type: ignore[type-var]
            async for event in events:
                if isinstance(event, AnswerHead):
                    head = event
                    if relay is not None:
                        request.reply(_make_started(request, head))
                elif isinstance(event, AnswerEnd):
                    break
                else:
                    assert head is not None
                    received += len(event.data)
                    self._check_length(received)
                    followed = tracker is not None and _is_stream(head)
                    if followed:
                        self._follow(request, tracker, event.data)
                    if relay is not None or not followed:
                        body += event.data
                    if relay is not None:
                        await relay.add(event.data)
        assert head is not None
        return head, bytes(body)

    def _make_call(self, request: AgentRequest, now: float) -> UpstreamCall:
        """Makes the call; an engine is asked for a stream where it can be."""
        call = make_upstream_call(request, now)
        if self.monitor is None or call.stream:
            return call
        body = ask_for_stream(call.body)
        if body is None:
            return call
        return dataclasses.replace(call, body=body, stream=True)

    def _follow(
        self, request: AgentRequest, tracker: LabelTracker | None, data: bytes
    ) -> None:
        assert tracker is not None
        tracker.feed(data)
        progress = request.progress
        progress.tokens = tracker.token_count
        if progress.first_at is None and progress.tokens:
            progress.first_at = self.read_clock()

    async def _finish_labels(
        self, request: AgentRequest, tracker: LabelTracker
    ) -> tuple[TokenRange, ...]:
        if not request.is_sample:
            tracker.check_whole()
            return ()
        assert self.monitor is not None
        try:
            after = await self.monitor.read()
        except BuckthornstileError as error:
            raise BuckthornstileError(
                ErrorCode.VERSION_UNVERIFIABLE,
                "the engine does not report its version",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        return tracker.finish(after)

    def _check_length(self, received: int) -> None:
        if received > self.max_answer_bytes:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED,
                f"the answer is longer than {self.max_answer_bytes} bytes",
                verdict=Verdict.MAY_HAVE_RUN,
            )


def _make_started(request: AgentRequest, head: AnswerHead) -> Started:
    return Started(request.dispatch.request_id, head.status, head.content_type)


def _is_stream(head: AnswerHead) -> bool:
    return head.status == HTTP_OK and head.content_type.startswith(EVENT_STREAM)
