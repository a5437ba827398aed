"""The work that remains at an upstream."""

import math
from dataclasses import dataclass
from itertools import islice

from buckthornstile.placement._estimator import WorkEstimator
from buckthornstile.placement._types import RequestProfile, WorkEstimate

AVERAGING_TIME = 5.0
"""Seconds over which the reported load of other processes is averaged, about the time
between two jobs of a trainer."""
FORGETTING_TIME = 20.0
"""Seconds over which that average is forgotten if there are no reports."""
MAX_REPORT_INTERVAL = 5.0
"""Seconds for which one report counts at most in the average."""
OVERDUE_RATIO = 1.5
"""Multiple of the 90th percentile after which a response that is missing shows that the
upstream is slow."""
MAX_OVERDUE_SLOWDOWN = 2.5
"""Largest slowdown that is concluded from a missing response."""
MAX_ESTIMATED_REQUESTS = 32
"""Number of open requests whose remaining work is estimated one by one; it is
extrapolated to the others, as each send would otherwise cost as much as all of them."""


@dataclass(slots=True, eq=False)
class OpenWork:
    """A request that is open at an upstream.

    ``expected`` and ``predicted`` are the estimate of its work and the predicted
    seconds until it is complete; ``duration_factor`` is the expected duration of work
    at the upstream when it was sent, relative to the usual one.
    """

    profile: RequestProfile
    expected: WorkEstimate
    started_at: float
    duration_factor: float = 1.0
    predicted: float = 0.0


class UpstreamBacklog:
    """The requests of this process that are open at one upstream.

    Example:
        >>> backlog = UpstreamBacklog()
        >>> profile = RequestProfile("desk", "r1")
        >>> work = OpenWork(profile, WorkEstimate(0.2, 0.4), 10.0)
        >>> backlog.add(work)
        >>> backlog.compute_wait(10.0, WorkEstimator(), load=3, slots=4)
        0.0
    """

    def __init__(self) -> None:
        self._open: dict[int, OpenWork] = {}
        self._others = 0.0
        self._average_others = 0.0
        self._reported_at = -math.inf

    def __len__(self) -> int:
        return len(self._open)

    def add(self, work: OpenWork) -> None:
        """Adds a request that is sent to the upstream."""
        self._open[id(work)] = work

    def remove(self, work: OpenWork) -> None:
        """Removes a request that has ended."""
        self._open.pop(id(work), None)

    def record_others(self, others: float, now: float) -> None:
        """Records the reported number of other processes' requests."""
        interval = max(0.0, min(MAX_REPORT_INTERVAL, now - self._reported_at))
        weight = 1 - math.exp(-interval / AVERAGING_TIME)
        self._average_others += weight * (others - self._average_others)
        self._others, self._reported_at = others, now

    def estimate_others(self, now: float, duration: float) -> tuple[float, float]:
        """Returns mean and variance of the number of other processes' requests.

        The reported requests end after some time, and others take their place. So the
        report loses its weight to the average of earlier reports, which is forgotten
        in turn.

        Args:
            now: The time, in seconds.
            duration: Average seconds that a request takes.
        """
        age = max(0.0, now - self._reported_at)
        weight = math.exp(-age / duration)
        average = self._average_others * math.exp(-age / FORGETTING_TIME)
        mean = weight * self._others + (1 - weight) * average
        # Each reported request may have ended, and new ones arrive independently.
        variance = (1 - weight) * (weight * self._others + average)
        return mean, variance

    def compute_remaining(
        self,
        now: float,
        estimator: WorkEstimator,
        *,
        others: float,
        other_work: float,
        duration_factor: float = 1.0,
    ) -> float:
        """Returns the seconds of work that remain, at the upstream's speed.

        Args:
            now: The time, in seconds.
            estimator: Estimates the remaining work of this process's requests.
            others: Number of the other processes' requests, running or waiting.
            other_work: Expected seconds of work that are left of each of them.
            duration_factor: Duration of work relative to the usual one.
        """
        sample = list(islice(self._open.values(), MAX_ESTIMATED_REQUESTS))
        own = sum(
            estimator.estimate_remaining(
                work.profile, (now - work.started_at) / work.duration_factor
            )
            for work in sample
        )
        if sample:
            own *= len(self._open) / len(sample)
        return (own + others * other_work) * duration_factor

    def compute_wait(
        self,
        now: float,
        estimator: WorkEstimator,
        *,
        load: float,
        slots: int,
        other_work: float = 0.0,
        duration_factor: float = 1.0,
        variance: float = 0.0,
    ) -> float:
        """Returns the expected seconds until one more request starts.

        Args:
            now: The time, in seconds.
            estimator: Estimates the remaining work of this process's requests.
            load: Number of requests at the upstream, running or waiting.
            slots: Number of requests that the upstream runs at once.
            other_work: Expected seconds of work left of each other process's request.
            duration_factor: Duration of work relative to the usual one.
            variance: Variance of the load, if it is not known exactly.
        """
        requests_ahead = _compute_positive_part(load - slots + 1, math.sqrt(variance))
        if load < slots:
            return requests_ahead * other_work * duration_factor / max(1, slots)
        remaining = self.compute_remaining(
            now,
            estimator,
            others=max(0.0, load - len(self._open)),
            other_work=other_work,
            duration_factor=duration_factor,
        )
        # A slot becomes free each time that one of the running requests ends.
        return remaining / max(load, 1.0) * requests_ahead / max(1, slots)

    def infer_slowdown(self, now: float, reported_at: float) -> float:
        """Returns the least slowdown that missing responses show, or 1.

        Only requests without generated tokens count, as the time of others varies
        widely, and only those sent after the upstream's last report.
        """
        slowdown = 1.0
        for work in self._open.values():
            if work.profile.is_generation() or work.started_at <= reported_at:
                continue
            elapsed = now - work.started_at
            if elapsed > OVERDUE_RATIO * work.expected.high:
                slowdown = max(slowdown, elapsed / work.expected.mean)
        return min(MAX_OVERDUE_SLOWDOWN, slowdown)


def _compute_positive_part(mean: float, deviation: float) -> float:
    """Returns the expectation of the positive part of a normal variable."""
    if deviation <= 0:
        return max(0.0, mean)
    ratio = mean / deviation
    density = math.exp(-0.5 * ratio * ratio) / math.sqrt(2 * math.pi)
    probability = 0.5 * (1 + math.erf(ratio / math.sqrt(2)))
    return mean * probability + deviation * density
