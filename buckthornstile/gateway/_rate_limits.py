"""This process's share of the rate limits that upstreams state.

The share answers an upstream in need that all entries send to. Entries divide its
limit in proportion to their demand for its service, as their records in the store
show it: a few entries run most of the items, and the others need little.
"""

import math
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from buckthornstile.base import ProcessName, ServiceName, UpstreamId
from buckthornstile.gateway._rate_records import (
    LimitStatement,
    RateRecord,
    decode_limit,
)
from buckthornstile.logs import log_event
from buckthornstile.routing import Share, compute_share, list_slots
from buckthornstile.topology import Upstream

SLOT_LIFETIME = 1.0
"""Seconds for which a slot may be used; bounds how many can be used at once."""
LISTING_INTERVAL = 0.005
"""Seconds after a listing that found no slot before the next one: job runners ask for
each waiting item and each upstream in turn."""
MAX_LOOKAHEAD = 2.0
"""Seconds ahead for which the next slot is searched."""
DEMAND_WINDOW = 2.0
"""Seconds over which this process's demand is averaged."""
EVEN_FRACTION = 0.05
"""Fraction of a limit that is divided evenly, so that the first request after a quiet
period may find a slot before the demand is published."""
STATEMENT_LIFETIME = 3.0
"""Seconds for which a statement is published to the other entries."""
MIN_RATE = 0.2
"""Requests per second that are sent whatever the limit, to notice that it has ended."""


@dataclass(slots=True)
class _Slots:
    """This process's slots of one upstream.

    Attributes:
        listed_until: Time up to which the slots were listed, in seconds since the
            epoch.
        unused: Times of the slots that may be used, in ascending order.
    """

    listed_until: float
    unused: deque[float] = field(default_factory=deque)


class RateLimits:
    """Tracks the upstreams' rate limits, and this process's slots within them.

    Args:
        name: Name of this process.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch. Clocks of entries that differ
            shift their slots, but no slot is used twice.
        list_entries: Returns the names of the entries that may be sending now.
        count_waiting: Returns the number of requests that wait to be sent to a service.
    """

    def __init__(
        self,
        name: str,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        list_entries: Callable[[], Collection[str]],
        count_waiting: Callable[[ServiceName], int] = lambda service: 0,
    ) -> None:
        self.name = name
        self.clock = clock
        self.wall_clock = wall_clock
        self.list_entries = list_entries
        self.count_waiting = count_waiting
        self._statements: dict[UpstreamId, LimitStatement] = {}
        # Upstreams that stated a limit in a response to this process.
        self._direct: set[UpstreamId] = set()
        self._slots: dict[UpstreamId, _Slots] = {}
        self._demands: dict[str, RateRecord] = {}
        self._record_count = 0
        self._request_times: dict[ServiceName, deque[float]] = {}
        self._shares: dict[ServiceName, tuple[int, Share]] = {}

    # Statements

    def get_limit(self, upstream: Upstream) -> float | None:
        """Returns the limit that an upstream's incarnation stated last, or None."""
        statement = self._statements.get(upstream.id)
        if statement is None or statement.started_at_ms != upstream.started_at_ms:
            return None
        return statement.limit

    def is_limited(self, upstream: Upstream) -> bool:
        """Whether an upstream has stated a limit that is in effect."""
        return self.get_limit(upstream) is not None

    def record_statement(
        self, upstream: Upstream, limit: float | None, *, sent_at: float
    ) -> None:
        """Records the limit in the head of a response, or that it had none.

        Args:
            upstream: The upstream that responded.
            limit: The limit that it stated, or None.
            sent_at: Time at which the request was sent, in seconds. A response without
                a limit ends one only if its request was sent after the limit was known,
                as the response to an earlier request may have been on its way.
        """
        limit = decode_limit(limit)
        known = self._statements.get(upstream.id)
        if limit is None and (known is None or sent_at <= known.stated_at):
            return
        self._direct.add(upstream.id)
        statement = LimitStatement(upstream.started_at_ms, limit, self.clock())
        self._apply(upstream.id, statement, source="response")

    def _apply(
        self, upstream: UpstreamId, statement: LimitStatement, *, source: str
    ) -> None:
        known = self._statements.get(upstream)
        if known is not None and (statement.started_at_ms, statement.stated_at) < (
            known.started_at_ms,
            known.stated_at,
        ):
            return
        self._statements[upstream] = statement
        limit_before = known.limit if known is not None else None
        if (statement.limit is None) != (limit_before is None):
            log_event(
                "upstream.rate_limit",
                upstream=upstream,
                limit=statement.limit,
                previous=limit_before,
                source=source,
                entries=len(self.list_entries()),
            )
        if statement.limit is None:
            self._slots.pop(upstream, None)

    def prune(self, upstreams: Collection[UpstreamId]) -> None:
        """Forgets upstreams and entries that no longer exist."""
        entries = set(self.list_entries())
        for name in [name for name in self._demands if name not in entries]:
            del self._demands[name]
        for upstream in [name for name in self._statements if name not in upstreams]:
            del self._statements[upstream]
            self._slots.pop(upstream, None)
            self._direct.discard(upstream)

    def count_limited(self) -> int:
        """Returns the number of upstreams whose limit is in effect."""
        return sum(
            statement.limit is not None for statement in self._statements.values()
        )

    # Slots

    def has_slot(self, upstream: Upstream) -> bool:
        """Whether this process may send an upstream one more request now."""
        limit = self.get_limit(upstream)
        if limit is None:
            return True
        slots = self._slots.get(upstream.id)
        if (
            slots is not None
            and not slots.unused
            and self.wall_clock() < slots.listed_until + LISTING_INTERVAL
        ):
            return False
        return bool(self._list_unused(upstream, limit))

    def take_slot(self, upstream: Upstream) -> None:
        """Uses the oldest slot, if there is a limit."""
        limit = self.get_limit(upstream)
        unused = self._list_unused(upstream, limit) if limit is not None else None
        if unused:
            unused.popleft()

    def get_slot_delay(self, upstream: Upstream) -> float:
        """Returns the seconds until this process may send an upstream a request.

        The delay is 0 without a limit, and infinite if no slot follows soon.
        """
        limit = self.get_limit(upstream)
        if limit is None or self._list_unused(upstream, limit):
            return 0.0
        now = self.wall_clock()
        slots = list_slots(
            upstream.id,
            max(limit, MIN_RATE),
            self._get_share(upstream.service, now),
            after=now,
            until=now + MAX_LOOKAHEAD,
        )
        return slots[0] - now + LISTING_INTERVAL if slots else math.inf

    def _list_unused(self, upstream: Upstream, limit: float) -> deque[float]:
        now = self.wall_clock()
        slots = self._slots.get(upstream.id)
        if slots is None:
            slots = self._slots[upstream.id] = _Slots(listed_until=now)
        oldest = now - SLOT_LIFETIME
        listed_until = max(slots.listed_until, oldest)
        if listed_until < now:
            slots.unused.extend(
                list_slots(
                    upstream.id,
                    max(limit, MIN_RATE),
                    self._get_share(upstream.service, now),
                    after=listed_until,
                    until=now,
                )
            )
        slots.listed_until = max(slots.listed_until, now)
        while slots.unused and slots.unused[0] <= oldest:
            slots.unused.popleft()
        return slots.unused

    def _get_share(self, service: ServiceName, now: float) -> Share:
        """Returns this process's share, which is computed once in each second.

        A process that does not know its own record yet has no share, as the others do
        not know it either.
        """
        period = math.floor(now)
        computed = self._shares.get(service)
        if computed is None or computed[0] != period:
            share = compute_share(self.name, self._compute_weights(service))
            computed = self._shares[service] = (period, share)
        return computed[1]

    def _compute_weights(self, service: ServiceName) -> dict[str, float]:
        demands = {
            name: self._get_published_demand(name, service)
            for name in self.list_entries()
        }
        total = sum(demands.values()) or 1.0
        even_weight = EVEN_FRACTION * total / max(1, len(demands))
        return {name: demand + even_weight for name, demand in demands.items()}

    def _get_published_demand(self, name: str, service: ServiceName) -> float:
        record = self._demands.get(name)
        return record.demands.get(service, 0.0) if record is not None else 0.0

    # Demand and records

    def record_request(self, service: ServiceName) -> None:
        """Counts a request for a service as demand, whether it can be sent or not."""
        times = self._request_times.setdefault(service, deque())
        times.append(self.clock())
        self._drop_old_requests(times)

    def _drop_old_requests(self, times: deque[float]) -> None:
        oldest = self.clock() - DEMAND_WINDOW
        while times and times[0] < oldest:
            times.popleft()

    def compute_demand(self, service: ServiceName) -> float:
        """Returns the requests per second that this process would send to a service."""
        times = self._request_times.get(service, deque())
        self._drop_old_requests(times)
        return len(times) / DEMAND_WINDOW + self.count_waiting(service)

    def make_record(self, services: Collection[ServiceName]) -> RateRecord | None:
        """Returns the record to publish, or None if no limit is known.

        Args:
            services: Services of the upstreams that have a limit.
        """
        now = self.clock()
        statements = {
            upstream: LimitStatement(
                statement.started_at_ms, statement.limit, statement.stated_at - now
            )
            for upstream in self._direct
            if (statement := self._statements[upstream]).stated_at
            > now - STATEMENT_LIFETIME
        }
        if not statements and not services:
            return None
        demands = {service: self.compute_demand(service) for service in services}
        self._record_count += 1
        return RateRecord(
            ProcessName(self.name), demands, statements, sequence=self._record_count
        )

    def apply_record(self, record: RateRecord) -> None:
        """Applies the record of a process, which may be this one."""
        known = self._demands.get(record.name)
        if known is not None and 0 < record.sequence <= known.sequence:
            return  # The store appended it late; its ages count from when it was made.
        self._demands[record.name] = record
        if record.name == self.name:
            return
        now = self.clock()
        for upstream, statement in record.statements.items():
            received = LimitStatement(
                statement.started_at_ms, statement.limit, now + statement.stated_at
            )
            self._apply(upstream, received, source="entry")
