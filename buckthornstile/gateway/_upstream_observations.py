"""What upstreams were observed to do."""

from collections.abc import Callable, Iterable

from buckthornstile.base import UpstreamId
from buckthornstile.gateway._upstream_stats import Permit, UpstreamStats
from buckthornstile.gateway._work_placement import WorkPlacement
from buckthornstile.messages import UpstreamLoad
from buckthornstile.topology import Upstream

BASE_EJECTION_TIME = 0.4
"""Seconds for which an upstream is ejected after one failure; each further failure in
a row doubles the time."""
MAX_EJECTION_TIME = 3.0
"""Longest ejection, in seconds: an upstream that has recovered must be used again
within the deadline of a training step."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest latency in an upstream's moving average."""
ACTIVITY_LIFETIME = 0.3
"""Seconds after its last data for which an upstream counts as active."""


class UpstreamObservations:
    """Records the load, latency, runs and failures of upstreams.

    Args:
        clock: Returns the monotonic time in seconds.
        placement: Learns from reports and runs.
    """

    def __init__(self, clock: Callable[[], float], placement: WorkPlacement) -> None:
        self.clock = clock
        self.placement = placement
        self._stats_by_upstream: dict[UpstreamId, UpstreamStats] = {}

    def get_stats(self, upstream: Upstream) -> UpstreamStats:
        """Returns the statistics of an upstream's current incarnation."""
        stats = self._stats_by_upstream.get(upstream.id)
        if stats is None or stats.started_at_ms != upstream.started_at_ms:
            stats = self._stats_by_upstream[upstream.id] = UpstreamStats(
                upstream.started_at_ms
            )
        return stats

    def compute_median_latency(self, upstreams: Iterable[Upstream]) -> float | None:
        """Returns the median latency of the upstreams that have one, or None."""
        latencies = sorted(
            latency
            for upstream in upstreams
            if (latency := self.get_stats(upstream).average_latency) is not None
        )
        return latencies[(len(latencies) - 1) // 2] if latencies else None

    def is_ejected(self, upstream: Upstream) -> bool:
        """Whether an upstream is ejected because of recent failures."""
        return self.get_stats(upstream).ejected_until > self.clock()

    def record_load(self, upstream: Upstream, load: UpstreamLoad) -> None:
        """Records the load that an upstream reported."""
        stats = self.get_stats(upstream)
        stats.load, stats.load_received_at = load, self.clock()
        stats.own_requests_at_load = stats.open_request_count
        self.placement.record_load(upstream.service, stats, self.clock())

    def record_activity(self, upstream: Upstream) -> None:
        """Records that an upstream sent data."""
        self.get_stats(upstream).last_active_at = self.clock()

    def is_active(self, upstream: Upstream) -> bool:
        """Whether an upstream sent data in the last ``ACTIVITY_LIFETIME`` seconds."""
        return (
            self.clock() - self.get_stats(upstream).last_active_at < ACTIVITY_LIFETIME
        )

    def record_latency(self, upstream: Upstream, seconds: float) -> None:
        """Records the seconds that a unit of work took."""
        stats = self.get_stats(upstream)
        if stats.average_latency is None:
            stats.average_latency = seconds
        else:
            stats.average_latency += LATENCY_WEIGHT * (seconds - stats.average_latency)

    def record_success(self, upstream: Upstream) -> None:
        """Records a complete response."""
        stats = self.get_stats(upstream)
        stats.consecutive_failures, stats.ejected_until = 0, 0.0

    def record_failure(self, upstream: Upstream) -> None:
        """Records a response that failed or did not arrive."""
        stats = self.get_stats(upstream)
        stats.consecutive_failures = min(stats.consecutive_failures + 1, 8)
        seconds = BASE_EJECTION_TIME * 2 ** (stats.consecutive_failures - 1)
        stats.ejected_until = self.clock() + min(MAX_EJECTION_TIME, seconds)

    def record_refusal(self, upstream: Upstream, seconds: float) -> None:
        """Records that an upstream had no free slot.

        Args:
            upstream: The upstream.
            seconds: For how long it is avoided.
        """
        self.get_stats(upstream).refused_until = self.clock() + seconds

    def record_completed(
        self,
        upstream: Upstream,
        permit: Permit,
        seconds: float,
        *,
        work_seconds: float | None = None,
        pace: float | None = None,
    ) -> None:
        """Records that a run was completed; see ``WorkPlacement``."""
        self.placement.record_completed(
            self.get_stats(upstream),
            permit.work,
            seconds,
            self.clock(),
            work_seconds=work_seconds,
            pace=pace,
        )

    def record_censored(
        self, upstream: Upstream, permit: Permit, seconds: float
    ) -> None:
        """Records the seconds after which a run was cancelled or broke."""
        self.placement.record_censored(
            self.get_stats(upstream), permit.work, seconds, self.clock()
        )
