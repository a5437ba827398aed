"""The speed of an upstream, as it reports it and as runs show it."""

import math

REPORT_LIFETIME = 0.5
"""Seconds after which a reported slowdown has no weight."""
AVERAGING_TIME = 20.0
"""Seconds over which reported slowdowns are averaged; some ten slow periods of an
upstream that is slow 15% of the time."""
MAX_REPORT_INTERVAL = 2.0
"""Seconds for which one report counts at most, so that the first one or the one after
a pause does not decide the average."""
RUN_WEIGHT = 0.1
"""Weight of the newest run in the learned duration of work."""
PRIOR_RUNS = 3
"""Number of runs that the prior, the usual duration, counts for."""
MAX_RUN_RATIO = 4.0
"""Ratio of a run's pace to the average from which a slower one tells no more."""


class UpstreamSpeed:
    """How long work takes at an upstream, relative to the usual time.

    Attributes:
        duration_ratio: Learned duration of work relative to other upstreams, without
            the reported slowdown.
        slowdown: The slowdown that was reported last, or None.
        reported_at: Time of that report, in seconds.

    Example:
        >>> speed = UpstreamSpeed()
        >>> speed.record_report(2.5, 10.0)
        >>> speed.compute_slowdown(10.0)
        2.5
    """

    def __init__(self) -> None:
        self.duration_ratio = 1.0
        self.slowdown: float | None = None
        self.reported_at = -math.inf
        self._average = 1.0
        self._run_count = 0

    def record_report(self, slowdown: float | None, now: float) -> None:
        """Records the slowdown in a report, or that it had none."""
        if slowdown is None:
            return
        interval = max(0.0, min(MAX_REPORT_INTERVAL, now - self.reported_at))
        weight = 1 - math.exp(-interval / AVERAGING_TIME)
        self._average += weight * (slowdown - self._average)
        self.slowdown, self.reported_at = slowdown, now

    def record_run(self, ratio: float) -> None:
        """Records a run's pace relative to the average of all upstreams."""
        ratio = max(1 / MAX_RUN_RATIO, min(MAX_RUN_RATIO, ratio))
        self._run_count += 1
        weight = max(RUN_WEIGHT, 1 / (PRIOR_RUNS + self._run_count))
        self.duration_ratio += weight * (ratio - self.duration_ratio)

    def compute_average(self, now: float) -> float:
        """Returns the average slowdown, which returns to 1 while there is no report."""
        age = max(0.0, now - self.reported_at)
        return 1 + (self._average - 1) * math.exp(-age / AVERAGING_TIME)

    def compute_slowdown(self, now: float) -> float:
        """Returns the expected slowdown now.

        The report has full weight when it is new and none after ``REPORT_LIFETIME``;
        the rest of the weight has the average, which reflects the share of slow time.
        """
        average = self.compute_average(now)
        if self.slowdown is None:
            return average
        age = max(0.0, now - self.reported_at)
        weight = max(0.0, 1 - age / REPORT_LIFETIME)
        return weight * self.slowdown + (1 - weight) * average
