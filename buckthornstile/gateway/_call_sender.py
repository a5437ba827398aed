"""Sends a request to upstreams until one of them responds."""

import asyncio
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
from buckthornstile.gateway._admission_gate import AdmissionGate
from buckthornstile.gateway._admission_ticket import AdmissionTicket
from buckthornstile.gateway._crash_detection import CrashDetector
from buckthornstile.gateway._fingerprint import compute_fingerprint
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._request_profiles import make_call_profile
from buckthornstile.gateway._slot_waiting import (
    get_latest_start,
    get_retry_delay,
    wait_for_slot,
)
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.http_client import ConnectionPool, HTTPResponse
from buckthornstile.logs import log_event
from buckthornstile.messages import ResponseHead, RoutedCall, UpstreamCall
from buckthornstile.platform import decode_response_head, encode_upstream_call
from buckthornstile.topology import Route, RouteKind, Upstream

HEDGE_DELAY_FRACTION = 0.45
"""Fraction of the target latency after which an idempotent request is also sent to a
second upstream."""
MAX_REFUSALS = 4
"""Number of attempts that did not run the request, after which it is not retried."""
REFUSAL_PAUSE = 0.05
"""Seconds for which an upstream that had no free slot is avoided."""
NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses that promise clients that a request has not run. An upstream's response with
one of them, but without the statement that it has not run it, is no such promise."""
FIRST_SERVER_ERROR_STATUS = 500
"""HTTP status from which a response to an idempotent request leads to a retry."""
CHECK_ERROR_CODES = frozenset(
    {
        ErrorCode.CONFIGURATION_OLD,
        ErrorCode.CONFIGURATION_CHANGED,
        ErrorCode.KEY_MISSING,
        ErrorCode.KEY_UNKNOWN,
        ErrorCode.JOB_UNVERIFIED,
    }
)
"""Errors of checks before a send; another upstream would not be sent the request
either."""

OnExecuted = Callable[[AccountId, float], None]


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    head: ResponseHead
    body: bytes
    upstream: UpstreamId


@dataclass(slots=True)
class _Attempt:
    """An attempt at one upstream; ``is_sent`` is whether a byte may have been sent."""

    upstream: Upstream
    started_at: float
    is_sent: bool = False


class CallSender:
    """Sends requests with retries and, for idempotent requests, hedges.

    Args:
        balancer: Chooses upstreams.
        pool: Connections to them.
        crash_detector: Refuses requests that crash upstreams.
        random_source: Source of randomness for the choice of a service.
        on_executed: Called when an upstream has run an account's request, with the
            account and the seconds that the execution took.
        admission: Admits calls before they are sent, or None to send all.
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        pool: ConnectionPool,
        *,
        crash_detector: CrashDetector,
        random_source: random.Random,
        on_executed: OnExecuted,
        admission: AdmissionGate | None = None,
    ) -> None:
        self.balancer = balancer
        self.pool = pool
        self.crash_detector = crash_detector
        self.random_source = random_source
        self.on_executed = on_executed
        self.admission = admission

    async def send(self, call: RoutedCall) -> UpstreamResponse:
        """Sends a request and returns the response for the client.

        Raises:
            BuckthornstileError: No upstream returned a response; the verdict is NOT_RUN
                only if no upstream has run the request or will run it.
        """
        return await _PendingCall(self, call).run()

    def choose_service(
        self, route: Route, is_eligible: Callable[[Upstream], bool] | None = None
    ) -> ServiceName:
        """Returns one of a route's services, chosen at random by their weights.

        Args:
            route: The route.
            is_eligible: Whether an upstream may serve the request; services without
                such an upstream are chosen only if there is no other.
        """
        services = route.services
        if is_eligible is not None and len(services) > 1:
            view = self.balancer.view
            services = (
                tuple(
                    (name, weight)
                    for name, weight in services
                    if any(map(is_eligible, view.list_available_upstreams(name)))
                )
                or services
            )
        names = [name for name, _ in services]
        weights = [weight for _, weight in services]
        if len(names) == 1 or not any(weights):
            return names[0]
        return self.random_source.choices(names, weights)[0]


def is_check_error(error: BaseException | None) -> bool:
    """Whether a request was not sent because a check before the send failed."""
    return isinstance(error, BuckthornstileError) and error.code in CHECK_ERROR_CODES


class _PendingCall:
    """One request and its attempts at upstreams.

    Attributes:
        tried: Upstreams that the request was sent to.
        running: Attempts that have not ended, by their tasks.
        run_count: Number of attempts started, without those that are known not to have
            run the request.
        refusal_count: Number of attempts that are known not to have run the request.
        may_have_run: Whether an upstream may have run the request.
        failed_response: The last response with a server error, returned if no other
            attempt succeeds.
        last_error: The last error of an attempt.
        failures: Attempts that failed and have not been examined for a crash.
        ticket: The admission of the request.
        can_hedge: Whether hedges are allowed; False for a request that is not
            idempotent, and after no upstream was available for a hedge.
    """

    def __init__(self, sender: CallSender, call: RoutedCall) -> None:
        self.sender = sender
        self.call = call
        self.is_idempotent = call.route.kind is RouteKind.IDEMPOTENT
        self.tried: list[UpstreamId] = []
        self.running: dict[asyncio.Task[UpstreamResponse], _Attempt] = {}
        self.run_count = 0
        self.refusal_count = 0
        self.may_have_run = False
        self.failed_response: UpstreamResponse | None = None
        self.last_error: BuckthornstileError | None = None
        self.failures: list[tuple[Upstream, BaseException]] = []
        self.can_hedge = self.is_idempotent
        self.service = sender.choose_service(call.route)
        self.profile = make_call_profile(call, self.service)
        self.ticket = AdmissionTicket(sender.admission, call, self.service)

    async def run(self) -> UpstreamResponse:
        loop = asyncio.get_running_loop()
        balancer = self.sender.balancer
        balancer.rate_limits.record_request(self.service)
        self.sender.crash_detector.check_allowed(self.call)
        response: UpstreamResponse | None = None
        try:
            await self.ticket.acquire()
            self.sender.crash_detector.check_allowed(self.call)
            latest_start = get_latest_start(self.call, loop.time())
            while not self._start():
                if not await wait_for_slot(balancer, self.service, latest_start):
                    break
            while self.running:
                remaining = self.call.deadline - loop.time()
                if remaining <= 0:
                    break
                hedge_delay = (
                    self._get_hedge_delay() if self._may_hedge() else remaining
                )
                done, _ = await asyncio.wait(
                    self.running,
                    timeout=min(remaining, hedge_delay),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                response = self._collect_response(done)
                if response is not None:
                    return response
                await self._detect_crashes()
                if done and self._may_retry():
                    await self._retry()
                elif not done and loop.time() < self.call.deadline:
                    self._record_slow_attempts()
                    self.can_hedge = self._start()
            if self.failed_response is not None:
                return self.failed_response
            # An attempt that still connects must not send the request later.
            await self._cancel_running()
            raise self._make_error(loop.time())
        finally:
            is_complete = response is not None and (
                response.head.status < FIRST_SERVER_ERROR_STATUS
            )
            try:
                await self._cancel_running()
            finally:
                self.ticket.end(is_complete=is_complete)

    async def _retry(self) -> None:
        if self.running or self.may_have_run:
            self._start()
            return
        await self.ticket.acquire(is_retry=True)
        if self._may_retry():
            self._start()

    def _start(self) -> bool:
        """Starts an attempt, and returns whether an upstream was available for it."""
        balancer = self.sender.balancer
        body_bytes = len(self.call.request.body)
        upstream = balancer.pick(
            self.service,
            avoided=self.tried,
            profile=self.profile,
            body_bytes=body_bytes,
        )
        if upstream is None:
            return False
        is_hedge = bool(self.running)
        if is_hedge and (
            upstream.id in self.tried or not balancer.has_capacity(upstream)
        ):
            return False
        self.tried.append(upstream.id)
        self.run_count += 1
        # Taken before the task runs: requests of the same turn of the event loop must
        # see each other in the upstream's load and limits.
        permit = balancer.acquire_permit(upstream, self.profile, body_bytes=body_bytes)
        attempt = _Attempt(upstream, asyncio.get_running_loop().time())
        task = asyncio.create_task(self._attempt(attempt, permit))
        task.add_done_callback(permit.release_when_done)
        self.running[task] = attempt
        self.ticket.confirm_start()
        return True

    async def _attempt(self, attempt: _Attempt, permit: Permit) -> UpstreamResponse:
        call, balancer = self.call, self.sender.balancer
        upstream = attempt.upstream
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

        # The peer may close a reused connection just as the request is written.
        # Whether the request ran is then unknown, and one that must not run twice
        # could not be retried, so it gets a new connection.
        def record_head(response: HTTPResponse) -> None:
            balancer.record_head(upstream, decode_response_head(response), permit)

        def prepare_send() -> None:
            if call.before_send is not None:
                call.before_send()
            attempt.is_sent = True

        try:
            response = await self.sender.pool.send(
                upstream.address,
                outgoing,
                on_headers=record_head,
                new_connection=not self.is_idempotent,
                before_send=prepare_send,
            )
        except BaseException:
            balancer.record_censored(upstream, permit, loop.time() - started_at)
            raise
        permit.release()
        head = decode_response_head(response)
        if not head.is_refusal:
            elapsed = loop.time() - started_at
            balancer.record_latency(upstream, elapsed)
            if head.status < FIRST_SERVER_ERROR_STATUS:
                balancer.record_completed(upstream, permit, elapsed)
            if call.account is not None:
                self.sender.on_executed(call.account, elapsed)
        return UpstreamResponse(head, bytes(response.body), upstream.id)

    def _collect_response(
        self, done: "set[asyncio.Task[UpstreamResponse]]"
    ) -> UpstreamResponse | None:
        best: UpstreamResponse | None = None
        for task in done:
            attempt = self.running.pop(task)
            error = task.exception()
            if error is not None:
                self._record_error(attempt, error)
            else:
                best = self._evaluate_response(attempt, task.result()) or best
        return best

    async def _detect_crashes(self) -> None:
        while self.failures:
            upstream, error = self.failures.pop()
            await self.sender.crash_detector.record_failure(self.call, upstream, error)

    def _record_error(self, attempt: _Attempt, error: BaseException) -> None:
        self.failures.append((attempt.upstream, error))
        if not is_check_error(error):
            self.sender.balancer.record_failure(attempt.upstream)
        if not isinstance(error, BuckthornstileError):
            error = BuckthornstileError(
                ErrorCode.INTERNAL,
                f"{type(error).__name__}: {error}",
                verdict=Verdict.MAY_HAVE_RUN if attempt.is_sent else Verdict.NOT_RUN,
            )
        if error.verdict is Verdict.NOT_RUN:
            self.run_count -= 1
            self.refusal_count += 1
        else:
            self.may_have_run = True
        self.last_error = error
        log_event(
            "call.attempt_failed",
            request=self.call.request.id,
            upstream=attempt.upstream.id,
            fingerprint=compute_fingerprint(self.call),
            error=error.code.value,
            reason=error.message,
            verdict=error.verdict.value,
        )

    def _evaluate_response(
        self, attempt: _Attempt, response: UpstreamResponse
    ) -> UpstreamResponse | None:
        balancer, head = self.sender.balancer, response.head
        if head.is_refusal:
            self.run_count -= 1
            self.refusal_count += 1
            if head.other_upstream is not None:
                balancer.record_failure(attempt.upstream)
            else:
                balancer.record_refusal(attempt.upstream, REFUSAL_PAUSE)
            return None
        self.may_have_run = True
        self.sender.crash_detector.record_response(self.call)
        is_false_promise = not self.is_idempotent and head.status in NOT_RUN_STATUSES
        if (
            is_false_promise
            or head.has_content_encoding
            or (head.status < 300 and not head.signature)
        ):
            balancer.record_failure(attempt.upstream)
            return None
        if head.status >= FIRST_SERVER_ERROR_STATUS and self.is_idempotent:
            self.failed_response = response
            return None if self._may_retry() or self.running else response
        balancer.record_success(attempt.upstream)
        return response

    def _may_retry(self) -> bool:
        """Whether the request may be sent to another upstream after a failure."""
        if self.refusal_count >= MAX_REFUSALS or is_check_error(self.last_error):
            return False
        if not self.is_idempotent and self.may_have_run:
            return False
        if self.sender.crash_detector.get_remaining_time(self.call):
            return False
        return self.run_count < max(1, self.call.route.max_attempts)

    def _may_hedge(self) -> bool:
        """Whether the request may be sent again while an attempt is running."""
        if self.sender.crash_detector.is_suspect(self.call):
            return False
        return self.can_hedge and self.run_count < self.call.route.max_attempts

    def _get_hedge_delay(self) -> float:
        newest_start = max(attempt.started_at for attempt in self.running.values())
        delay = HEDGE_DELAY_FRACTION * self.call.route.target_latency
        now = asyncio.get_running_loop().time()
        return max(0.001, newest_start + delay - now)

    def _record_slow_attempts(self) -> None:
        """Records the time that each running attempt has taken so far as a latency."""
        now = asyncio.get_running_loop().time()
        for attempt in self.running.values():
            self.sender.balancer.record_latency(
                attempt.upstream, now - attempt.started_at
            )

    def _make_error(self, now: float) -> BuckthornstileError:
        if now >= self.call.deadline:
            may_have_run = self.may_have_run or any(
                attempt.is_sent for attempt in self.running.values()
            )
            verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
            return BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "no upstream responded before the deadline",
                verdict=verdict,
            )
        if not self.may_have_run:
            if self.last_error is not None and is_check_error(self.last_error):
                return self.last_error
            return self.ticket.refuse() or BuckthornstileError(
                ErrorCode.NO_UPSTREAM,
                f"no upstream of service {self.service!r} accepted the request",
                retry_after=get_retry_delay(self.sender.balancer, self.service),
            )
        if (
            self.last_error is not None
            and self.last_error.verdict is not Verdict.NOT_RUN
        ):
            return self.last_error
        return BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            "no upstream returned a complete response",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _cancel_running(self) -> None:
        tasks = list(self.running)
        for task in tasks:
            task.cancel()
        if tasks:
            # Unlike awaiting each task, this does not hide a cancellation of the call.
            await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.exception()
