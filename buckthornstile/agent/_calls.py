"""Makes one upstream call and judges its answer."""

import contextlib
from dataclasses import dataclass

from buckthornstile.agent._engine_monitor import EngineMonitor
from buckthornstile.agent._relay import ChunkRelay, FlushTimer
from buckthornstile.agent._requests import AgentRequest
from buckthornstile.base import BuckthornstileError, ErrorCode, RequestClass, Verdict
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
    """

    def __init__(
        self,
        upstream: UpstreamPort,
        *,
        monitor: EngineMonitor | None,
        timer: FlushTimer,
        max_answer_bytes: int,
    ) -> None:
        self.upstream = upstream
        self.monitor = monitor
        self.timer = timer
        self.max_answer_bytes = max_answer_bytes

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
        if tracker is not None and head.status == HTTP_OK:
            labels = await self._finish_labels(request, tracker, body)
        if relay is not None:
            relay.flush()
        usage = None if tracker is None else tracker.usage
        answer = KeptAnswer(
            head.status,
            head.content_type,
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
        call = make_upstream_call(request, now)
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
                    body += event.data
                    self._check_length(body)
                    self._follow(request, head, tracker, event.data)
                    if relay is not None:
                        await relay.add(event.data)
        assert head is not None
        return head, bytes(body)

    def _follow(
        self,
        request: AgentRequest,
        head: AnswerHead | None,
        tracker: LabelTracker | None,
        data: bytes,
    ) -> None:
        streams = request.dispatch.stream and head is not None
        if tracker is not None and streams and head.status == HTTP_OK:  # type: ignore[union-attr]
            tracker.feed(data)

    async def _finish_labels(
        self, request: AgentRequest, tracker: LabelTracker, body: bytes
    ) -> tuple[TokenRange, ...]:
        if not request.dispatch.stream:
            tracker.feed_whole(body)
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

    def _check_length(self, body: bytearray) -> None:
        if len(body) > self.max_answer_bytes:
            raise BuckthornstileError(
                ErrorCode.UPSTREAM_FAILED,
                f"the answer is longer than {self.max_answer_bytes} bytes",
                verdict=Verdict.MAY_HAVE_RUN,
            )


def _make_started(request: AgentRequest, head: AnswerHead) -> Started:
    return Started(request.dispatch.request_id, head.status, head.content_type)
