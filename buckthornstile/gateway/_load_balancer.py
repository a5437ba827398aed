"""What this process has seen of each upstream, and the choice between them."""

from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.messages import UpstreamLoad
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.topology import TopologyView, Upstream

LOAD_LIFETIME = 0.5
"""Seconds for which an upstream's word on its load counts."""
FIRST_EJECTION = 0.4
"""Seconds without new work after one failure; doubles with each further one."""
LONGEST_EJECTION = 3.0
"""Seconds; a worker that is back must be found again within a step's deadline."""
PACE_WEIGHT = 0.2
"""Weight of the newest time in an upstream's moving average."""
SLOW_RATIO = 1.8
"""A pace that many times the median of its peers counts as slow."""
ACTIVE_TIME = 0.3
"""Seconds for which an upstream that sent something is not taken as silent."""
NEAR_LOAD = 2.0
"""Requests more than at the best upstream with which a preferred one is chosen: a
shared prompt saves less than a crowded engine costs."""
COLD_WINDOW = 1.05
"""Seconds over which starts at a cold upstream are counted; one and a margin for
the difference of delays."""


@dataclass(slots=True)
class UpstreamStats:
    """What this process has seen of one incarnation of an upstream.

    ``pace`` is the moving average of seconds for a unit of work: to the head of a
    plain answer, or between the events of a stream.
    """

    started_at_ms: int
    open: int = 0
    load: UpstreamLoad | None = None
    load_at: float = -1e9
    own_at_load: int = 0
    active_at: float = -1e9
    failures: int = 0
    ejected_until: float = 0.0
    pace: float | None = None
    refused_until: float = 0.0
    starts: deque[float] = field(default_factory=deque)


class Permit:
    """A request that is open at an upstream; releasing it twice counts once."""

    def __init__(self, seen: UpstreamStats) -> None:
        self._seen: UpstreamStats | None = seen

    def release(self) -> None:
        """Notes that the request has ended, however it did."""
        if self._seen is not None:
            self._seen.open -= 1
            self._seen = None

    def release_after(self, _: object) -> None:
        """Releases the place when a task is done."""
        self.release()


class LoadBalancer:
    """Chooses upstreams by load, pace and recent failures.

    Args:
        view: The topology in force.
        clock: Gives the steady time in seconds.
        list_entries: Gives how many entries may be sending now.
        name: This process's name, to share a cold upstream's bound.
        overage: Times a cold upstream's rate that the bound allows.
        slack: Requests a second that the bound allows beyond it.
        default_cold_rate: Requests a second that a cold upstream bears whose service
            is not configured; 0 for any number.
    """

    def __init__(
        self,
        view: TopologyView,
        clock: Callable[[], float],
        *,
        list_entries: Callable[[], list[str]],
        name: str,
        overage: float = 1.0,
        slack: float = 0.0,
        default_cold_rate: float = 0.0,
    ) -> None:
        self.default_cold_rate = default_cold_rate
        self.view = view
        self.clock = clock
        self.list_entries = list_entries
        self.name = name
        self.overage = overage
        self.slack = slack
        self._observed: dict[UpstreamId, UpstreamStats] = {}

    def get_stats(self, upstream: Upstream) -> UpstreamStats:
        """Gives what was seen of an upstream's present incarnation."""
        seen = self._observed.get(upstream.id)
        if seen is None or seen.started_at_ms != upstream.started_at_ms:
            seen = self._observed[upstream.id] = UpstreamStats(upstream.started_at_ms)
        return seen

    def prune(self) -> None:
        """Drops what was seen of upstreams that are gone."""
        for name in list(self._observed):
            if name not in self.view.upstreams and not self._observed[name].open:
                del self._observed[name]

    def pick(
        self,
        service: ServiceName,
        *,
        avoided: Collection[UpstreamId] = (),
        allows: Callable[[Upstream], bool] | None = None,
        preferred: UpstreamId | None = None,
    ) -> Upstream | None:
        """Chooses the upstream that should be the fastest for one more request.

        Args:
            service: The service.
            avoided: Upstreams that are taken only if there is no other.
            allows: Tells whether an upstream may be used at all.
            preferred: Taken if it has a free place and is not slower than others.

        Returns:
            An upstream, or None if none may get the request now.
        """
        now = self.clock()
        usable = [
            one
            for one in self.view.list_available_upstreams(service)
            if (allows is None or allows(one)) and self.is_below_cold_limit(one, now)
        ]
        if not usable:
            return None
        median = self.compute_median_latency(usable)
        ranked = sorted(usable, key=lambda one: self._rank(one, now, median, avoided))
        best = ranked[0]
        for one in usable:
            if one.id == preferred and self._is_near(one, best, now, avoided):
                return one
        return best

    def _is_near(
        self, upstream: Upstream, best: Upstream, now: float, avoided: Collection[str]
    ) -> bool:
        """Whether an upstream is hardly worse than the best one."""
        seen = self.get_stats(upstream)
        if seen.ejected_until > now or seen.refused_until > now:
            return False
        if upstream.id in avoided or not self.has_capacity(upstream):
            return False
        pace, best_pace = seen.pace, self.get_stats(best).pace
        if pace and best_pace and pace >= SLOW_RATIO * best_pace:
            return False
        further = self._estimate_load(upstream, now) - self._estimate_load(best, now)
        return further <= NEAR_LOAD

    def has_capacity(self, upstream: Upstream) -> bool:
        """Whether an upstream seems to have a free place."""
        return self._estimate_load(upstream, self.clock()) < upstream.slots

    def compute_median_latency(self, upstreams: Iterable[Upstream]) -> float | None:
        """Finds the median pace of upstreams that have one."""
        paces = sorted(
            pace for one in upstreams if (pace := self.get_stats(one).pace) is not None
        )
        return paces[(len(paces) - 1) // 2] if paces else None

    def is_slow(self, upstream: Upstream, pace: float) -> bool:
        """Whether a pace at an upstream is slow beside its peers' free places."""
        now = self.clock()
        peers = [
            one
            for one in self.view.list_available_upstreams(upstream.service)
            if one.id != upstream.id
            and self.get_stats(one).ejected_until <= now
            and self.has_capacity(one)
        ]
        median = self.compute_median_latency(peers)
        return median is not None and pace > SLOW_RATIO * median

    def is_ejected(self, upstream: Upstream) -> bool:
        """Whether an upstream failed so recently that others are better."""
        return self.get_stats(upstream).ejected_until > self.clock()

    def _rank(
        self,
        upstream: Upstream,
        now: float,
        median: float | None,
        avoided: Collection[UpstreamId],
    ) -> tuple[int, float, int]:
        seen = self.get_stats(upstream)
        penalty = 2 * (upstream.id in avoided) + (seen.ejected_until > now)
        penalty += seen.refused_until > now
        pace = seen.pace if seen.pace is not None else median
        slowness = max(1.0, pace / median) if pace and median else 1.0
        load = (self._estimate_load(upstream, now) + 1) / max(1, upstream.slots)
        tie = compute_rendezvous_score(self.name, upstream.id)
        return (penalty, round(load * slowness, 3), tie)

    def _estimate_load(self, upstream: Upstream, now: float) -> float:
        seen = self.get_stats(upstream)
        if seen.load is None or now - seen.load_at > LOAD_LIFETIME:
            return seen.open
        others = seen.load.running + seen.load.waiting - seen.own_at_load
        return seen.open + max(0, others)

    # Cold upstreams

    def is_below_cold_limit(self, upstream: Upstream, now: float) -> bool:
        """Whether this process's share of a cold upstream's bound allows a start."""
        rate = self._get_cold_rate(upstream)
        if not rate or not self.view.is_cold(upstream.id, now):
            return True
        starts = self.get_stats(upstream).starts
        while starts and starts[0] <= now - COLD_WINDOW:
            starts.popleft()
        return len(starts) < self._get_cold_share(upstream, rate)

    def _get_cold_rate(self, upstream: Upstream) -> float:
        configuration = self.view.configuration
        service = configuration and configuration.services.get(upstream.service)
        return service.cold_rate if service else self.default_cold_rate

    def _get_cold_share(self, upstream: Upstream, rate: float) -> int:
        entries = self.list_entries()
        bound = int(rate * self.overage + self.slack)
        share = bound // max(1, len(entries))
        if share:
            return share
        ranked = sorted(
            entries, key=lambda name: compute_rendezvous_score(upstream.id, name)
        )
        return int(self.name in ranked[:bound])

    # What is seen

    def acquire_permit(self, upstream: Upstream) -> "Permit":
        """Counts a request that is sent now, until its place is released."""
        seen = self.get_stats(upstream)
        seen.open += 1
        if self._get_cold_rate(upstream):
            now = self.clock()
            starts = seen.starts
            while starts and starts[0] <= now - COLD_WINDOW:
                starts.popleft()
            starts.append(now)
        return Permit(seen)

    def record_load(self, upstream: Upstream, load: UpstreamLoad | None) -> None:
        """Notes what an upstream says of its load."""
        if load is not None:
            seen = self.get_stats(upstream)
            seen.load, seen.load_at = load, self.clock()
            seen.own_at_load = seen.open

    def record_activity(self, upstream: Upstream) -> None:
        """Notes that an upstream sent something."""
        self.get_stats(upstream).active_at = self.clock()

    def is_active(self, upstream: Upstream) -> bool:
        """Whether an upstream sent something to this process just now."""
        return self.clock() - self.get_stats(upstream).active_at < ACTIVE_TIME

    def record_latency(self, upstream: Upstream, seconds: float) -> None:
        """Notes how long a unit of work took."""
        seen = self.get_stats(upstream)
        if seen.pace is None:
            seen.pace = seconds
        else:
            seen.pace += PACE_WEIGHT * (seconds - seen.pace)

    def record_success(self, upstream: Upstream) -> None:
        """Notes a whole answer."""
        seen = self.get_stats(upstream)
        seen.failures, seen.ejected_until = 0, 0.0

    def record_failure(self, upstream: Upstream) -> None:
        """Notes an answer that failed or never came."""
        seen = self.get_stats(upstream)
        seen.failures = min(seen.failures + 1, 8)
        seconds = FIRST_EJECTION * 2 ** (seen.failures - 1)
        seen.ejected_until = self.clock() + min(LONGEST_EJECTION, seconds)

    def record_refusal(self, upstream: Upstream, seconds: float) -> None:
        """Notes that an upstream had no place."""
        self.get_stats(upstream).refused_until = self.clock() + seconds
