"""Statistics of an upstream, and permits for the requests that are open there."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.messages import UpstreamLoad
from buckthornstile.placement import OpenWork, UpstreamBacklog, UpstreamSpeed

COLD_WINDOW = 1.05
"""Seconds for which a request at a cold upstream counts after it is known to have
arrived: one second and a margin for differences between clocks."""


@dataclass(slots=True)
class UpstreamStats:
    """Statistics of one incarnation of an upstream, as this process observed them.

    Attributes:
        started_at_ms: Start of the incarnation, in milliseconds since the epoch.
        open_request_count: Number of this process's requests that are open there.
        open_body_bytes: Size of the bodies of these requests together.
        load: The load that the upstream reported last.
        load_received_at: Time at which that load was received, in seconds.
        own_requests_at_load: This process's open requests at that time.
        last_active_at: Time at which the upstream last sent data, in seconds.
        consecutive_failures: Number of failures since the last success, 8 at most.
        ejected_until: End of its ejection, in seconds.
        average_latency: Moving average of the seconds that a unit of work takes: until
            the head of a plain response, or between two events of a stream.
        refused_until: Time until which it is avoided after a refusal, in seconds.
        unconfirmed_start_count: Number of requests that may still be on their way to
            the upstream; counted only for services with a cold rate.
        arrival_times: Times at which requests were known to have arrived, within
            ``COLD_WINDOW``, in seconds.
        speed: Duration of work there, as reported and as runs show it.
        backlog: This process's open requests there whose profile is known.
    """

    started_at_ms: int
    open_request_count: int = 0
    open_body_bytes: int = 0
    load: UpstreamLoad | None = None
    load_received_at: float = -1e9
    own_requests_at_load: int = 0
    last_active_at: float = -1e9
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    average_latency: float | None = None
    refused_until: float = 0.0
    unconfirmed_start_count: int = 0
    arrival_times: deque[float] = field(default_factory=deque)
    speed: UpstreamSpeed = field(default_factory=UpstreamSpeed)
    backlog: UpstreamBacklog = field(default_factory=UpstreamBacklog)

    def count_others(self) -> int:
        """Returns the number of other processes' requests in the last report."""
        if self.load is None:
            return 0
        reported = self.load.running + self.load.waiting
        return max(0, reported - self.own_requests_at_load)

    def count_recent_starts(self, now: float) -> int:
        """Counts the requests that may have arrived in the last ``COLD_WINDOW``.

        A request counts from before it is sent until ``COLD_WINDOW`` after its
        response, as it may arrive at any time in between.
        """
        arrival_times = self.arrival_times
        while arrival_times and arrival_times[0] <= now - COLD_WINDOW:
            arrival_times.popleft()
        return self.unconfirmed_start_count + len(arrival_times)


class Permit:
    """A request that is open at an upstream; only the first release has an effect.

    Args:
        stats: Statistics of the upstream, where the request is counted as open.
        clock: Returns the monotonic time in seconds.
        is_rate_limited: Whether the request counts against a cold upstream's limit.
        acquired_at: Time before which the request was not sent, in seconds.
        work: The request in the upstream's backlog, or None.
        body_bytes: Size of the request's body.
    """

    def __init__(
        self,
        stats: UpstreamStats,
        clock: Callable[[], float],
        *,
        is_rate_limited: bool = False,
        acquired_at: float = 0.0,
        work: OpenWork | None = None,
        body_bytes: int = 0,
    ) -> None:
        self._stats: UpstreamStats | None = stats
        self._clock = clock
        self._is_unconfirmed = is_rate_limited
        self.acquired_at = acquired_at
        self.work = work
        self.body_bytes = body_bytes

    def confirm_arrival(self) -> None:
        """Records that the request has arrived; only the first call has an effect."""
        if self._stats is not None and self._is_unconfirmed:
            self._is_unconfirmed = False
            self._stats.unconfirmed_start_count -= 1
            self._stats.arrival_times.append(self._clock())

    def release(self) -> None:
        """Records that the request has ended, whatever its outcome."""
        self.confirm_arrival()
        if self._stats is not None:
            self._stats.open_request_count -= 1
            if self.work is not None:
                self._stats.backlog.remove(self.work)
            self._stats.open_body_bytes -= self.body_bytes
            self._stats = None

    def release_when_done(self, _: object) -> None:
        """Releases the permit; meant as the done callback of a task."""
        self.release()
