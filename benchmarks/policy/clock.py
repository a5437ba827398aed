"""A virtual clock: events in order of time, and of their making."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any


class Clock:
    """Runs callbacks at virtual times.

    Example:
        >>> clock, seen = Clock(), []
        >>> clock.call_in(2.0, seen.append, "b")
        >>> clock.call_in(1.0, seen.append, "a")
        >>> clock.run(5.0); seen, clock.now
        (['a', 'b'], 5.0)
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._numbers = count()

    def call_in(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        """Runs a callback some seconds from now."""
        event = (self.now + seconds, next(self._numbers), callback, args)
        heappush(self._events, event)

    def call_every(self, seconds: float, callback: Callable[[], Any]) -> None:
        """Runs a callback now and then again after each interval."""
        callback()
        self.call_in(seconds, self.call_every, seconds, callback)

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, args = heappop(self._events)
            callback(*args)
        self.now = until
