"""Deadlines that are carried through every hop."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deadline:
    """A clock reading after which nobody wants the answer.

    Args:
        at: The clock reading, in seconds.

    Example:
        >>> Deadline.from_timeout(5.0, now=10.0).get_remaining(12.0)
        3.0
    """

    at: float

    @classmethod
    def from_timeout(
        cls, timeout: float, *, now: float, maximum: float = 3600.0
    ) -> "Deadline":
        """Makes a deadline from a timeout.

        Args:
            timeout: Seconds from now; negative counts as none left.
            now: The clock reading, in seconds.
            maximum: The longest timeout that is honoured.

        Returns:
            The deadline.
        """
        return cls(now + min(max(timeout, 0.0), maximum))

    def get_remaining(self, now: float) -> float:
        """Gives the seconds that are left, at least 0."""
        return max(0.0, self.at - now)

    def has_passed(self, now: float) -> bool:
        """Tells whether the deadline has passed."""
        return now >= self.at

    def allows(self, seconds: float, now: float) -> bool:
        """Tells whether an attempt of that length can still end in time."""
        return self.get_remaining(now) > seconds
