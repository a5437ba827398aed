"""Sends one request to upstreams until one of them answers it."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    ServiceName,
    UpstreamId,
    Verdict,
)
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.messages import ResponseHead, RoutedCall, UpstreamCall
from buckthornstile.platform import decode_response_head, encode_upstream_call
from buckthornstile.topology import Route, RouteKind, Upstream

HEDGE_SHARE = 0.45
"""Share of the latency objective after which a repeatable request is sent again."""
MAX_REFUSALS = 4
"""Upstreams that may refuse a request before it is given up."""
REFUSAL_PAUSE = 0.05
"""Seconds for which an upstream that had no place is avoided."""
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a request that was not run may come again."""
FULL_ANSWER_STATUS = 500

OnExecuted = Callable[[AccountId, float], None]


@dataclass(slots=True)
class UpstreamResponse:
    """A whole answer of an upstream."""

    head: ResponseHead
    body: bytes
    upstream: UpstreamId


@dataclass(slots=True)
class _Attempt:
    upstream: Upstream
    task: "asyncio.Task[UpstreamResponse]"
    started_at: float


class CallSender:
    """Sends requests with retries and, where they may run twice, hedges.

    Args:
        balancer: Chooses upstreams.
        pool: Connections to them.
        random_source: For the choice of a service by its share.
        on_executed: Called when an upstream has run an account's request, with the
            seconds since it began.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        *,
        random_source: random.Random,
        on_executed: OnExecuted,
    ) -> None:
        self.balancer = balancer
        self.pool = pool
        self.random_source = random_source
        self.on_executed = on_executed

    async def send(self, call: RoutedCall) -> UpstreamResponse:
        """Sends a request and gives the answer that goes to the client.

        Raises:
            BuckthornstileError: There is no answer; the verdict is NOT_RUN only if
                no upstream has run the request or will.
        """
        return await _Sending(self, call).run()

    def choose_service(self, route: Route) -> ServiceName:
        """Chooses a route's service by the configured shares."""
        names = [name for name, _ in route.services]
        weights = [weight for _, weight in route.services]
        if len(names) == 1 or not any(weights):
            return names[0]
        return self.random_source.choices(names, weights)[0]


def is_too_old(error: BaseException | None) -> bool:
    """Whether a request was kept back as the process knows too little."""
    return (
        isinstance(error, BuckthornstileError)
        and error.code is ErrorCode.CONFIGURATION_OLD
    )


class _Sending:
    """The attempts of one request."""

    def __init__(self, sender: CallSender, call: RoutedCall) -> None:
        self.sender = sender
        self.call = call
        self.repeats = call.route.kind is RouteKind.IDEMPOTENT
        self.tried: list[UpstreamId] = []
        self.running: dict[asyncio.Task[UpstreamResponse], _Attempt] = {}
        self.runs = 0
        self.refusals = 0
        self.may_have_run = False
        self.failure: UpstreamResponse | None = None
        self.error: BuckthornstileError | None = None
        self.hedges = self.repeats
        self.service = sender.choose_service(call.route)

    async def run(self) -> UpstreamResponse:
        loop = asyncio.get_running_loop()
        try:
            self._start()
            while self.running:
                left = self.call.deadline - loop.time()
                if left <= 0:
                    break
                hedge = self._get_hedge_delay() if self._may_repeat() else left
                done, _ = await asyncio.wait(
                    self.running,
                    timeout=min(left, hedge),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = self._take_answer(done)
                if answer is not None:
                    return answer
                if done and self._may_retry():
                    self._start()
                elif not done and loop.time() < self.call.deadline:
                    self._note_slow()
                    self.hedges = self._start()
            if self.failure is not None:
                return self.failure
            raise self._make_error(loop.time())
        finally:
            await self._cancel_rest()

    def _start(self) -> bool:
        balancer = self.sender.balancer
        upstream = balancer.pick(self.service, avoided=self.tried)
        if upstream is None:
            return False
        is_hedge = bool(self.running)
        if is_hedge and (
            upstream.id in self.tried or not balancer.has_capacity(upstream)
        ):
            return False
        self.tried.append(upstream.id)
        self.runs += 1
        task = asyncio.create_task(self._attempt(upstream))
        now = asyncio.get_running_loop().time()
        self.running[task] = _Attempt(upstream, task, now)
        return True

    async def _attempt(self, upstream: Upstream) -> UpstreamResponse:
        call, balancer = self.call, self.sender.balancer
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request = call.request
        outgoing = encode_upstream_call(
            UpstreamCall(
                id=request.id,
                method=request.method,
                host=request.host,
                target=request.target,
                headers=request.headers,
                body=request.body,
                upstream=upstream.id,
                remaining_time=call.deadline - started_at,
                account=call.account,
                last_event_id=request.last_event_id,
            )
        )
        place = balancer.acquire_permit(upstream)
        try:
            # On a kept connection an unanswered request may have been run.
            answer = await self.sender.pool.send(
                upstream.address,
                outgoing,
                new_connection=not self.repeats,
                before_send=call.before_send,
            )
        finally:
            place.release()
        head = decode_response_head(answer)
        balancer.record_load(upstream, head.load)
        if not head.is_refusal:
            balancer.record_latency(upstream, loop.time() - started_at)
            if call.account is not None:
                age = loop.time() - started_at
                self.sender.on_executed(call.account, age)
        return UpstreamResponse(head, bytes(answer.body), upstream.id)

    def _take_answer(
        self, done: "set[asyncio.Task[UpstreamResponse]]"
    ) -> UpstreamResponse | None:
        best: UpstreamResponse | None = None
        for task in done:
            attempt = self.running.pop(task)
            error = task.exception()
            if error is not None:
                self._note_error(attempt, error)
            else:
                best = self._judge(attempt, task.result()) or best
        return best

    def _note_error(self, attempt: _Attempt, error: BaseException) -> None:
        if not is_too_old(error):
            self.sender.balancer.record_failure(attempt.upstream)
        if not isinstance(error, BuckthornstileError):
            error = BuckthornstileError(
                ErrorCode.INTERNAL,
                f"{type(error).__name__}: {error}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        if error.verdict is Verdict.NOT_RUN:
            self.runs -= 1
            self.refusals += 1
        else:
            self.may_have_run = True
        self.error = error
        log_event(
            "call.attempt_failed",
            request=self.call.request.id,
            upstream=attempt.upstream.id,
            error=error.code.value,
            reason=error.message,
            verdict=error.verdict.value,
        )

    def _judge(
        self, attempt: _Attempt, answer: UpstreamResponse
    ) -> UpstreamResponse | None:
        balancer, head = self.sender.balancer, answer.head
        if head.is_refusal:
            self.runs -= 1
            self.refusals += 1
            if head.other_upstream is not None:
                balancer.record_failure(attempt.upstream)
            else:
                balancer.record_refusal(attempt.upstream, REFUSAL_PAUSE)
            return None
        self.may_have_run = True
        if head.has_content_encoding or (head.status < 300 and not head.signature):
            balancer.record_failure(attempt.upstream)
            return None
        if head.status >= FULL_ANSWER_STATUS and self.repeats:
            self.failure = answer
            return None if self._may_retry() or self.running else answer
        balancer.record_success(attempt.upstream)
        return answer

    def _may_retry(self) -> bool:
        """Whether another upstream may be asked after a failure."""
        if self.refusals >= MAX_REFUSALS or is_too_old(self.error):
            return False
        if not self.repeats and self.may_have_run:
            return False
        return self.runs < max(1, self.call.route.max_attempts)

    def _may_repeat(self) -> bool:
        """Whether the request may be sent again beside one that is running."""
        return self.hedges and self.runs < self.call.route.max_attempts

    def _get_hedge_delay(self) -> float:
        newest = max(one.started_at for one in self.running.values())
        delay = HEDGE_SHARE * self.call.route.target_latency
        now = asyncio.get_running_loop().time()
        return max(0.001, newest + delay - now)

    def _note_slow(self) -> None:
        now = asyncio.get_running_loop().time()
        for attempt in self.running.values():
            self.sender.balancer.record_latency(
                attempt.upstream, now - attempt.started_at
            )

    def _make_error(self, now: float) -> BuckthornstileError:
        if now >= self.call.deadline:
            ran = self.may_have_run or bool(self.running)
            verdict = Verdict.MAY_HAVE_RUN if ran else Verdict.NOT_RUN
            return BuckthornstileError(
                ErrorCode.DEADLINE_PASSED, "no answer in time", verdict=verdict
            )
        if not self.may_have_run:
            if self.error is not None and is_too_old(self.error):
                return self.error
            return BuckthornstileError(
                ErrorCode.NO_UPSTREAM,
                f"no upstream of service {self.service!r} took the request",
                retry_after=RETRY_AFTER_SECONDS,
            )
        if self.error is not None and self.error.verdict is not Verdict.NOT_RUN:
            return self.error
        return BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            "no upstream gave a whole answer",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _cancel_rest(self) -> None:
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError, BuckthornstileError):
                await task
