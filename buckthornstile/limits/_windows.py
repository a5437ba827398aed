"""A maximum over a moving window of time."""


class WindowedMaximum:
    """Remembers the greatest value of the last one to two windows.

    Args:
        seconds: The window's length.

    Example:
        >>> window = WindowedMaximum(10.0)
        >>> window.add(5.0, 0.0), window.add(3.0, 9.0), window.add(3.0, 31.0)
        (5.0, 5.0, 3.0)
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._begun_at = 0.0
        self._current = 0.0
        self._previous = 0.0

    @property
    def value(self) -> float:
        """The greatest value that was added in the window."""
        return max(self._current, self._previous)

    def add(self, value: float, now: float) -> float:
        """Adds a value.

        Args:
            value: The value.
            now: The clock reading, in seconds.

        Returns:
            The greatest value in the window.
        """
        age = now - self._begun_at
        if age >= self.seconds:
            self._previous = self._current if age < 2.0 * self.seconds else 0.0
            self._current = 0.0
            self._begun_at = now
        self._current = max(self._current, value)
        return self.value

    def reset(self, value: float, now: float) -> None:
        """Forgets all values but one."""
        self._begun_at = now
        self._current = value
        self._previous = 0.0
