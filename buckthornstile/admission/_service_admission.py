"""Admission of the requests of one service: the decisions of one entry."""

import random
from collections import deque
from dataclasses import replace

from buckthornstile.admission._records import ServiceRecord, SharedReturn
from buckthornstile.admission._reservations import Reservation, ReservationTable
from buckthornstile.admission._shares import (
    WITHIN_SHARE_WEIGHT,
    AccountMeter,
    AccountRates,
    add_rates,
    compute_weights,
)
from buckthornstile.admission._types import (
    AdmissionRequest,
    Decision,
    Forecast,
    Priority,
    RefusalReason,
)
from buckthornstile.admission._work import WorkDurations
from buckthornstile.base import AccountId, RequestClass, RequestId
from buckthornstile.queueing import FairQueue, QueueItem

RECORD_LIFETIME = 2.0
"""Seconds for which another entry's record is used."""
MAX_LOOKAHEAD = 0.02
"""Seconds before the predicted start at which a request is sent, so that a slot is not
idle while the request is on its way."""
LOOKAHEAD_FRACTION = 0.25
"""Fraction of the expected work that this time must not exceed."""
RATE_WINDOW = 1.0
"""Seconds over which the rate of starts from the queue is observed."""
MIN_RATE_SPAN = 0.25
"""Seconds of waiting requests from which the observed rate replaces the even share."""
MIN_RATE_FRACTION = 0.1
"""Fraction of the even share below which the assumed rate does not fall, so that an
entry without a start in the last second does not refuse everything."""
WEIGHTS_LIFETIME = 0.2
"""Seconds for which the accounts' weights are used before they are computed again."""
MAX_LEVELS = 64
"""Number of priorities with a queue of their own."""

PRIORITY_LIFETIME = 2.0
"""Seconds after its last request for which a priority counts as in use."""
RETURNING, NEWCOMERS, OVER_SHARE = range(3)
"""Order of the requests of one priority: those of returning callers, of newcomers, and
of accounts that use more than their share."""

_Level = tuple[Priority, int]
"""Priority and position within it."""


class ServiceAdmission:
    """Decides which requests of a service start, wait or are refused.

    Waiting requests are started by priority. Within a priority, returning callers go
    before newcomers, and both before the callers of accounts above their share, which
    could otherwise displace the others by returning often. Accounts that are otherwise
    equal get fair shares of the started work.

    Entries compete for the same slots. The requests that go first anywhere are sent
    shortly before the predicted start, all others only when a slot is free.

    Args:
        random_source: Source of randomness for the spread of return times.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.work = WorkDurations()
        self.meter = AccountMeter()
        self.reservations = ReservationTable()
        self._queues: dict[_Level, FairQueue] = {}
        self._levels_by_request: dict[RequestId, _Level] = {}
        self._starts: deque[tuple[float, float]] = deque()
        self._waiting_since: float | None = None
        self._records: dict[str, tuple[float, ServiceRecord]] = {}
        self._weights: dict[AccountId, float] = {}
        self._priorities: dict[Priority, float] = {}
        self._newest_work = 0.0
        self._weighed_at = float("-inf")

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._levels_by_request)

    @property
    def queued_work(self) -> float:
        """Expected seconds of work of the waiting requests."""
        return sum(queue.queued_cost for queue in self._queues.values())

    def arrive(
        self,
        request: AdmissionRequest,
        now: float,
        *,
        predicted_start: float,
        even_share: float,
        is_retry: bool = False,
        may_start: bool = True,
    ) -> Forecast:
        """Decides on a request at its arrival, or after upstreams have refused it.

        A request that has to wait is queued.

        Args:
            request: The request.
            now: The time in seconds.
            predicted_start: Seconds until an upstream can start another request;
                infinite if there is none.
            even_share: Seconds of work per second that the upstreams do for this entry
                if all entries get the same.
            is_retry: Whether the request has started before and was not run.
            may_start: Whether no other request has been promised the free slot.
        """
        work = self.work.estimate(request.route, request.usual_work)
        is_returning = is_retry or self.reservations.claim(
            request.account, request.path, now
        )
        if not is_retry:
            self.meter.record_demand(request.account, work, now)
        weight = self._get_weight(request.account, now)
        self._priorities[request.priority] = now
        position = RETURNING if is_returning else NEWCOMERS
        if weight < WITHIN_SHARE_WEIGHT and not is_retry:
            position = OVER_SHARE
        level = (request.priority, position)
        rate = self._estimate_rate(now, even_share)
        queue_delay = self._estimate_queue_delay(level, request.account, weight, rate)
        forecast = Forecast(
            Decision.WAIT,
            is_returning,
            predicted_start,
            queue_delay,
            work,
            rate,
            weight,
        )
        is_near = predicted_start <= self._get_lookahead(level, work, now)
        if is_near and may_start and not self.waiting_count:
            return replace(forecast, decision=Decision.START)
        if predicted_start == float("inf"):
            return _refuse(forecast, RefusalReason.NO_UPSTREAM)
        if (
            predicted_start > 0
            and now + predicted_start + queue_delay + work > request.deadline
        ):
            return _refuse(forecast, RefusalReason.TOO_LATE)
        if not self._push(request, level, work, weight, now):
            if predicted_start <= 0:
                return replace(forecast, decision=Decision.START)
            return _refuse(forecast, RefusalReason.QUEUE_FULL)
        return forecast

    def get_lookahead(self, now: float) -> float:
        """Returns the seconds before a predicted start at which to pop a request."""
        levels = [level for level, queue in self._queues.items() if queue]
        if not levels:
            return 0.0
        return self._get_lookahead(min(levels), self._newest_work, now)

    def _get_lookahead(self, level: _Level, work: float, now: float) -> float:
        for priority, seen_at in list(self._priorities.items()):
            if seen_at < now - PRIORITY_LIFETIME:
                del self._priorities[priority]
        priority, position = level
        if position == OVER_SHARE or priority > min(self._priorities, default=priority):
            return 0.0
        return min(MAX_LOOKAHEAD, LOOKAHEAD_FRACTION * work)

    def pop(self, now: float) -> RequestId | None:
        """Removes and returns the waiting request to start next, or None."""
        for level in sorted(level for level, queue in self._queues.items() if queue):
            item = self._queues[level].pop(now)
            if item is not None:
                # Without this the queue would keep the item to correct its cost later.
                self._queues[level].charge(item.request_id, item.cost)
                del self._levels_by_request[item.request_id]
                self._record_waiting(now)
                return item.request_id
        return None

    def remove(self, request_id: RequestId, now: float) -> None:
        """Removes a waiting request; an id that does not wait is ignored."""
        level = self._levels_by_request.pop(request_id, None)
        if level is not None:
            self._queues[level].remove(request_id)
            self._record_waiting(now)

    def record_start(self, account: AccountId, work: float, now: float) -> None:
        """Records that a request was sent to an upstream."""
        self.meter.record_use(account, work, now)
        self._starts.append((now, work))

    def reserve_return(
        self, request: AdmissionRequest, forecast: Forecast, now: float, spacing: float
    ) -> float:
        """Returns the seconds after which a refused caller should return.

        Args:
            request: The refused request.
            forecast: Its forecast.
            now: The time in seconds.
            spacing: Seconds between the starts of two requests at this entry.
        """
        delay = forecast.queue_delay
        if forecast.predicted_start < float("inf"):
            delay += forecast.predicted_start
        # Entries with the same information must not choose the same times.
        spacing *= 0.75 + 0.5 * self.random_source.random()
        # A caller returns after a third of its remaining time, if not before.
        latest = now + max(0.0, request.deadline - now) / 3
        return_at = self.reservations.reserve(
            request.account,
            request.path,
            now,
            earliest=now + delay,
            spacing=spacing,
            latest=latest,
        )
        return return_at - now

    # Other entries

    def list_records(self, now: float) -> list[ServiceRecord]:
        """Returns the records of other entries that are recent enough to be used."""
        self._prune_records(now)
        return [record for _, record in self._records.values()]

    def apply_record(self, name: str, record: ServiceRecord, now: float) -> None:
        """Applies what another entry shares about the service."""
        self._records[name] = (now, record)
        self.reservations.apply(
            name,
            (
                Reservation(shared.account, shared.digest, now + shared.delay)
                for shared in record.returns
            ),
            now,
        )

    def make_record(self, now: float, *, was_refused: bool) -> ServiceRecord:
        """Returns what this entry shares about the service.

        Args:
            now: The time in seconds.
            was_refused: See :class:`ServiceRecord`.
        """
        return ServiceRecord(
            self.meter.get_rates(now),
            was_refused=was_refused,
            returns=tuple(
                SharedReturn(
                    reservation.account,
                    reservation.digest,
                    reservation.return_at - now,
                )
                for reservation in self.reservations.list_newest(now)
            ),
        )

    def _prune_records(self, now: float) -> None:
        for name, (received_at, _) in list(self._records.items()):
            if received_at < now - RECORD_LIFETIME:
                del self._records[name]
        self.reservations.prune(now, RECORD_LIFETIME)

    def _get_weight(self, account: AccountId, now: float) -> float:
        if now - self._weighed_at >= WEIGHTS_LIFETIME:
            self._weighed_at = now
            records = self.list_records(now)
            rests = (
                _spread_rest(name, record)
                for name, (_, record) in self._records.items()
            )
            self._weights = compute_weights(
                add_rates(
                    [
                        self.meter.get_rates(now),
                        *(record.accounts for record in records),
                        *rests,
                    ]
                )
            )
        return self._weights.get(account, 1.0)

    # The queue

    def _push(
        self,
        request: AdmissionRequest,
        level: _Level,
        work: float,
        weight: float,
        now: float,
    ) -> bool:
        queue = self._queues.get(level)
        if queue is None:
            if len(self._queues) >= MAX_LEVELS:
                self._queues = {key: kept for key, kept in self._queues.items() if kept}
            queue = self._queues[level] = FairQueue(burst_tokens=float("inf"))
        item = QueueItem(
            request.id,
            request.account,
            RequestClass.INTERACTIVE,
            weight=weight,
            cost=work,
        )
        if len(queue) >= queue.max_items or not queue.push(item, now).accepted:
            return False
        self._levels_by_request[request.id] = level
        self._newest_work = work
        self._record_waiting(now)
        return True

    def _record_waiting(self, now: float) -> None:
        if not self.waiting_count:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def _estimate_queue_delay(
        self, level: _Level, account: AccountId, weight: float, rate: float
    ) -> float:
        before = sum(
            queue.queued_cost for other, queue in self._queues.items() if other < level
        )
        own_queue = self._queues.get(level)
        delay = before / rate
        if own_queue is not None:
            # The queue's unit of work is a second here; it divides by at least 1.
            ahead = own_queue.estimate_wait(
                account, RequestClass.INTERACTIVE, tokens_per_second=1.0, weight=weight
            )
            delay += ahead / rate
        return delay

    def _estimate_rate(self, now: float, even_share: float) -> float:
        """Returns the seconds of work that this entry can start in a second."""
        while self._starts and self._starts[0][0] < now - RATE_WINDOW:
            self._starts.popleft()
        if self._waiting_since is None:
            return max(even_share, 1e-6)
        since = max(self._waiting_since, now - RATE_WINDOW)
        if now - since < MIN_RATE_SPAN:
            return max(even_share, 1e-6)
        started = sum(work for started_at, work in self._starts if started_at >= since)
        return max(started / (now - since), MIN_RATE_FRACTION * even_share, 1e-6)


def _refuse(forecast: Forecast, reason: RefusalReason) -> Forecast:
    return replace(forecast, decision=Decision.REFUSE, reason=reason)


def _spread_rest(name: str, record: ServiceRecord) -> dict[AccountId, AccountRates]:
    """Returns equal rates for the accounts that a record does not name."""
    count = min(record.rest_count, 64)
    return {
        AccountId(f"\0{name}\0{number}"): AccountRates(
            record.rest.demand / count, record.rest.use / count
        )
        for number in range(count)
    }
