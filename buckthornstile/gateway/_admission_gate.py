"""Holds, starts or refuses calls and streams before they are sent to upstreams."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from math import inf

from buckthornstile.admission import (
    MIN_RETRY_DELAY,
    AdmissionRecord,
    AdmissionRequest,
    Decision,
    Forecast,
    Priority,
    RefusalReason,
    ServiceAdmission,
)
from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    ProcessName,
    RequestId,
    ServiceName,
)
from buckthornstile.gateway._admission_log import log_refusal
from buckthornstile.gateway._admission_state import AdmissionMode, ServiceState
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.messages import RoutedCall
from buckthornstile.metrics import CounterName, Counters

ACTIVE_TIME = 5.0
"""Seconds after a refusal for lack of slots for which calls are admitted."""
MIN_CHECK_INTERVAL = 0.002
"""Shortest time between two checks for a free slot while calls wait, in seconds."""
MAX_CHECK_INTERVAL = 0.02
"""Longest such time: another entry's request may end at any time."""
USUAL_WORK_FRACTION = 0.5
"""Fraction of a route's target latency that is assumed as work at first."""
DECISIONS_COUNTER = CounterName("admission_decisions")
REFUSALS_COUNTER = CounterName("admission_refusals")
RETURNING_COUNTER = CounterName("admission_returning_callers")
PREDICTED_START_COUNTER = CounterName("admission_predicted_start_seconds")

PredictStart = Callable[[ServiceName, float], float]


class AdmissionGate:
    """Admits calls and streams of both listeners.

    Args:
        name: Name of this process.
        mode: When calls are admitted.
        balancer: Knows the upstreams, their slots and their refusals.
        predict_start: Returns the seconds until a service can start another request
            at a time of the balancer's clock: 0 while a slot is free, infinite without
            an upstream.
        list_entries: Returns the live entries, which share the slots.
        random_source: Source of randomness for the spread of return times.
        counters: Counts decisions, refusals by reason and returning callers.
    """

    def __init__(
        self,
        name: ProcessName,
        *,
        mode: AdmissionMode,
        balancer: LoadBalancer,
        predict_start: PredictStart,
        list_entries: Callable[[], list[ProcessName]],
        random_source: random.Random,
        counters: Counters,
    ) -> None:
        self.name = name
        self.mode = mode
        self.balancer = balancer
        self.predict_start = predict_start
        self.list_entries = list_entries
        self.random_source = random_source
        self.counters = counters
        self._states: dict[ServiceName, ServiceState] = {}
        self._request_numbers = count()

    def is_active(self, service: ServiceName) -> bool:
        """Whether calls of a service are admitted now, not just sent."""
        if self.mode is not AdmissionMode.AUTO:
            return self.mode is AdmissionMode.ON
        state = self._states.get(service)
        is_needed = self._was_refused(service) or (
            state is not None
            and any(
                record.was_refused
                for record in state.admission.list_records(self.balancer.clock())
            )
        )
        return is_needed and not self._runs_items(service)

    async def acquire(
        self, call: RoutedCall, service: ServiceName, *, is_retry: bool
    ) -> float:
        """Returns once a call may be sent, which must then be confirmed.

        Returns:
            The expected work of the call, in seconds.

        Raises:
            BuckthornstileError: No upstream can serve the call before its deadline.
        """
        state = self._get_state(service)
        now = self.balancer.clock()
        request = self._make_request(call, now)
        predicted_start = self.predict_start(service, now)
        forecast = state.admission.arrive(
            request,
            now,
            predicted_start=predicted_start,
            even_share=self._get_even_share(service),
            is_retry=is_retry,
            # A call that was told to start takes the slot that seems to be free.
            may_start=not state.granted,
        )
        self._count(service, forecast, is_retry)
        if forecast.decision is Decision.REFUSE:
            assert forecast.reason is not None
            raise self.refuse(call, service, request, forecast, forecast.reason)
        if forecast.decision is Decision.START:
            state.granted += 1
            return forecast.work
        reason = await self._wait(service, state, request, forecast)
        if reason is not None:
            # The figures of its arrival no longer tell when its caller should return.
            forecast = replace(
                forecast,
                predicted_start=self.predict_start(service, self.balancer.clock()),
                queue_delay=state.admission.queued_work / forecast.rate,
            )
            raise self.refuse(call, service, request, forecast, reason)
        return forecast.work

    def refuse(
        self,
        call: RoutedCall,
        service: ServiceName,
        request: AdmissionRequest,
        forecast: Forecast,
        reason: RefusalReason,
    ) -> BuckthornstileError:
        """Reserves a return time, logs the refusal and returns its error."""
        state = self._get_state(service)
        now = self.balancer.clock()
        if reason is not RefusalReason.NO_UPSTREAM:
            state.refused_at = now
        retry_after = MIN_RETRY_DELAY
        if reason is not RefusalReason.NO_UPSTREAM:
            retry_after = max(
                MIN_RETRY_DELAY, self._reserve_return(service, request, forecast, now)
            )
        self.counters.increment(REFUSALS_COUNTER, service=service, reason=reason.value)
        log_refusal(
            call,
            service,
            request,
            forecast,
            reason,
            remaining=request.deadline - now,
            waiting=state.admission.waiting_count,
            records=len(state.admission.list_records(now)),
            retry_after=retry_after,
        )
        return BuckthornstileError(
            ErrorCode.NO_UPSTREAM,
            f"no upstream of service {service!r} can serve the request before its "
            f"deadline ({reason.value})",
            retry_after=retry_after,
        )

    def refuse_after_refusals(
        self, call: RoutedCall, service: ServiceName
    ) -> BuckthornstileError:
        """Returns the error of a call that too many upstreams have refused."""
        now = self.balancer.clock()
        request = self._make_request(call, now)
        admission = self._get_state(service).admission
        forecast = Forecast(
            Decision.REFUSE,
            is_returning=True,
            predicted_start=self.predict_start(service, now),
            queue_delay=0.0,
            work=admission.work.estimate(request.route, request.usual_work),
            rate=self._get_even_share(service),
            weight=1.0,
        )
        reason = RefusalReason.REFUSED_BY_UPSTREAMS
        return self.refuse(call, service, request, forecast, reason)

    def confirm_start(
        self, service: ServiceName, account: AccountId, work: float
    ) -> None:
        """Records that a call that was told to start has been sent."""
        state = self._get_state(service)
        state.admission.record_start(account, work, self.balancer.clock())
        self.withdraw_start(service)

    def withdraw_start(self, service: ServiceName) -> None:
        """Records that a call that was told to start no longer takes a free slot."""
        state = self._get_state(service)
        state.granted -= 1
        self._dispatch(service, state)

    def record_end(
        self, service: ServiceName, route: str, seconds: float | None
    ) -> None:
        """Records the end of a sent call, and its duration if it was complete."""
        state = self._get_state(service)
        if seconds is not None:
            state.admission.work.record(route, seconds)
        self._dispatch(service, state)

    # Other entries

    def make_record(self) -> AdmissionRecord | None:
        """Returns the record to share, or None while no admission is active."""
        now = self.balancer.clock()
        services = {
            service: state.admission.make_record(
                now, was_refused=self._was_refused(service)
            )
            for service, state in self._states.items()
            if self.is_active(service)
        }
        return AdmissionRecord(self.name, services) if services else None

    def apply_record(self, record: AdmissionRecord) -> None:
        """Applies the record of an entry; this entry's own is ignored."""
        if record.name == self.name or self.mode is AdmissionMode.OFF:
            return
        now = self.balancer.clock()
        for service, content in record.services.items():
            # A record must not create the state of services that do not exist.
            if service in self._states or (
                self.balancer.view.list_available_upstreams(service)
            ):
                admission = self._get_state(service).admission
                admission.apply_record(record.name, content, now)

    # Decisions

    def _get_state(self, service: ServiceName) -> ServiceState:
        state = self._states.get(service)
        if state is None:
            admission = ServiceAdmission(self.random_source)
            state = self._states[service] = ServiceState(admission)
        return state

    def _was_refused(self, service: ServiceName) -> bool:
        """Whether the service refused calls lately, or this entry did in its place."""
        refused_at = self.balancer.get_last_refusal(service)
        state = self._states.get(service)
        if state is not None:
            refused_at = max(refused_at, state.refused_at)
        return self.balancer.clock() - refused_at <= ACTIVE_TIME

    def _runs_items(self, service: ServiceName) -> bool:
        """Whether a service is one of model engines, which also run the items of jobs.

        Items are not admitted: they would take each free slot before a waiting call.
        """
        return any(
            upstream.versions
            for upstream in self.balancer.view.list_available_upstreams(service)
        )

    def _make_request(self, call: RoutedCall, now: float) -> AdmissionRequest:
        remaining = call.deadline - asyncio.get_running_loop().time()
        return AdmissionRequest(
            RequestId(str(next(self._request_numbers))),
            call.account or AccountId(""),
            call.route.name,
            call.request.path,
            self._get_priority(call),
            now + remaining,
            USUAL_WORK_FRACTION * call.route.target_latency,
        )

    def _get_priority(self, call: RoutedCall) -> Priority:
        route_priority = call.route.priority
        account_priority = None
        if call.account is not None:
            account_priority = self.balancer.view.get_account_priority(call.account)
        if account_priority is None:
            account_priority = route_priority
        return account_priority, route_priority

    def _reserve_return(
        self,
        service: ServiceName,
        request: AdmissionRequest,
        forecast: Forecast,
        now: float,
    ) -> float:
        admission = self._get_state(service).admission
        spacing = forecast.work / max(1e-6, self._get_even_share(service))
        if admission.list_records(now):
            # The others' reservations are known, so that all share the whole rate.
            spacing /= max(1, len(self.list_entries()))
        return admission.reserve_return(request, forecast, now, spacing)

    def _get_even_share(self, service: ServiceName) -> float:
        slots = sum(
            upstream.slots
            for upstream in self.balancer.view.list_available_upstreams(service)
        )
        return slots / max(1, len(self.list_entries()))

    def _count(self, service: ServiceName, forecast: Forecast, is_retry: bool) -> None:
        self.counters.increment(
            DECISIONS_COUNTER, service=service, decision=forecast.decision.value
        )
        if forecast.is_returning and not is_retry:
            self.counters.increment(RETURNING_COUNTER, service=service)
        if forecast.predicted_start < inf:
            self.counters.increment(
                PREDICTED_START_COUNTER, forecast.predicted_start, service=service
            )

    # Waiting

    async def _wait(
        self,
        service: ServiceName,
        state: ServiceState,
        request: AdmissionRequest,
        forecast: Forecast,
    ) -> RefusalReason | None:
        """Returns None once the call may start, or why it is refused."""
        clock = self.balancer.clock
        future = asyncio.get_running_loop().create_future()
        state.waiting[request.id] = future
        has_result = False
        try:
            self._dispatch(service, state)
            latest_start = request.deadline - forecast.work
            await asyncio.wait({future}, timeout=max(0.0, latest_start - clock()))
            if not future.done():
                state.admission.remove(request.id, clock())
                is_free = self.predict_start(service, clock()) <= 0
                future.set_result(None if is_free else RefusalReason.WAITED)
                state.granted += is_free
            has_result = True
            return future.result()
        finally:
            del state.waiting[request.id]
            state.admission.remove(request.id, clock())
            if not has_result and future.done() and future.result() is None:
                self.withdraw_start(service)

    def _dispatch(self, service: ServiceName, state: ServiceState) -> None:
        """Lets waiting calls start while there are free slots."""
        if state.timer is not None:
            state.timer.cancel()
            state.timer = None
        admission = state.admission
        while admission.waiting_count and not state.granted:
            now = self.balancer.clock()
            predicted_start = self.predict_start(service, now)
            lookahead = admission.get_lookahead(now)
            if lookahead < predicted_start < inf and self.is_active(service):
                delay = min(
                    MAX_CHECK_INTERVAL,
                    max(MIN_CHECK_INTERVAL, predicted_start - lookahead),
                )
                loop = asyncio.get_running_loop()
                state.timer = loop.call_later(delay, self._dispatch, service, state)
                return
            request_id = admission.pop(now)
            future = state.waiting.get(request_id) if request_id is not None else None
            if future is None or future.done():
                continue
            if predicted_start == inf:
                future.set_result(RefusalReason.NO_UPSTREAM)
                continue
            state.granted += 1
            future.set_result(None)
