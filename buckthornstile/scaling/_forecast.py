"""How much work arrives, and how fast that grows."""

from collections import deque
from math import sqrt
from statistics import fmean, pvariance


class DemandForecast:
    """Demand and its growth over a moving window of equal intervals.

    Trainers' lots arrive in lumps, so a difference between the window's halves
    counts as growth only as far as it exceeds its own standard error.

    Args:
        interval: Seconds between two calls of :meth:`add`.
        intervals: Intervals in the window; even, at least 4.

    Example:
        >>> forecast = DemandForecast(interval=1.0, intervals=4)
        >>> for tokens in (10, 10, 20, 20):
        ...     forecast.add(tokens)
        >>> forecast.demand, forecast.growth
        (20.0, 5.0)
    """

    def __init__(self, *, interval: float = 2.0, intervals: int = 12) -> None:
        self.interval = interval
        self.intervals = intervals
        self._rates: deque[float] = deque(maxlen=intervals)

    def add(self, tokens: float) -> None:
        """Adds the work that arrived in one interval, in tokens."""
        self._rates.append(tokens / self.interval)

    @property
    def demand(self) -> float:
        """Work that arrives, in tokens a second."""
        newer = list(self._rates)[len(self._rates) // 2 :]
        return fmean(newer) if newer else 0.0

    @property
    def is_full(self) -> bool:
        """Whether the window is full, so that plans can rest on it."""
        return len(self._rates) == self.intervals

    @property
    def growth(self) -> float:
        """How fast it grows or falls, in tokens a second each second."""
        if not self.is_full:
            return 0.0
        half = self.intervals // 2
        older, newer = list(self._rates)[:half], list(self._rates)[half:]
        change = fmean(newer) - fmean(older)
        error = sqrt((pvariance(older) + pvariance(newer)) / half)
        certain = max(0.0, abs(change) - error)
        return (certain if change > 0.0 else -certain) / (half * self.interval)
