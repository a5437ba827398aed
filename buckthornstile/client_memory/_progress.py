"""Rate at which the bytes of a request or response make progress."""

import math

WINDOW_SECONDS = 0.5
"""Length of a window over which a rate is measured."""
MIN_WINDOW_SECONDS = 0.25
"""Age from which a window replaces the one before it. A shorter one would show a
client as stalled that only waits for the next packet."""


class ProgressRate:
    """Bytes per second in the last window; infinite before the first measurement.

    Args:
        now: Time of the start, in seconds.

    Example:
        >>> rate = ProgressRate(0.0)
        >>> rate.record(100, 0.1)
        >>> rate.get(1.0), rate.get(2.0)
        (100.0, 0.0)
    """

    def __init__(self, now: float) -> None:
        self._window_start = now
        self._window_bytes = 0
        self._last_rate = math.inf

    def record(self, byte_count: int, now: float) -> None:
        """Adds bytes that were received or sent."""
        self._roll(now)
        self._window_bytes += byte_count

    def get(self, now: float) -> float:
        """Returns the rate in bytes per second."""
        self._roll(now)
        elapsed = now - self._window_start
        if elapsed < MIN_WINDOW_SECONDS:
            return self._last_rate
        return self._window_bytes / elapsed

    def restart(self, now: float) -> None:
        """Forgets the past, such as a time in which reading was paused."""
        self._window_start = now
        self._window_bytes = 0
        self._last_rate = math.inf

    def _roll(self, now: float) -> None:
        elapsed = now - self._window_start
        if elapsed >= WINDOW_SECONDS:
            self._last_rate = self._window_bytes / elapsed
            self._window_start = now
            self._window_bytes = 0
