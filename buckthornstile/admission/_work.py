"""Expected work of a request, and rates of work over the last second."""

import math
from collections import deque
from statistics import median

MAX_DURATIONS = 32
"""Number of durations kept for each route; older ones are forgotten."""
MIN_DURATIONS = 4
"""Number of durations from which their median replaces the assumed work."""
MAX_ROUTES = 256
"""Number of routes whose durations are kept; bounds the memory."""
RATE_TIME_CONSTANT = 1.0
"""Seconds in which the weight of an observed amount of work decays to 1/e."""


class WorkDurations:
    """Durations of completed requests by route.

    Example:
        >>> durations = WorkDurations()
        >>> durations.estimate("orders", 0.1)
        0.1
        >>> for _ in range(4):
        ...     durations.record("orders", 0.05)
        >>> durations.estimate("orders", 0.1)
        0.05
    """

    def __init__(self) -> None:
        self._durations: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Records the duration of a request that an upstream completed."""
        durations = self._durations.pop(route, None)
        if durations is None:
            durations = deque(maxlen=MAX_DURATIONS)
        # The routes are kept in the order of their last use.
        self._durations[route] = durations
        durations.append(seconds)
        if len(self._durations) > MAX_ROUTES:
            del self._durations[next(iter(self._durations))]

    def estimate(self, route: str, usual_work: float) -> float:
        """Returns the expected seconds of work of a request."""
        durations = self._durations.get(route, ())
        if len(durations) < MIN_DURATIONS:
            return usual_work
        return median(durations)


class DecayingRate:
    """An amount per second, over about the last ``RATE_TIME_CONSTANT`` seconds."""

    __slots__ = ("_sum", "_updated_at")

    def __init__(self) -> None:
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount that was observed now."""
        self._sum = self.get(now) * RATE_TIME_CONSTANT + amount
        self._updated_at = now

    def get(self, now: float) -> float:
        """Returns the rate."""
        age = max(0.0, now - self._updated_at)
        return self._sum * math.exp(-age / RATE_TIME_CONSTANT) / RATE_TIME_CONSTANT
