"""The phases of a planned stop: reading requests, then only finishing them."""

from dataclasses import dataclass

MAX_READ_TIME = 3.0
"""Seconds; long enough for the external load balancer in front of the entries to see
two failed readiness probes and to send its clients to other entries."""
MAX_READ_FRACTION = 0.5
"""Fraction of the grace period during which requests are read at most; the rest is for
finishing those that were read last."""
EXIT_FRACTION = 0.125
"""Fraction of the grace period that is kept for ending the process after its work."""


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The clock readings at which the phases of a planned stop end, in seconds.

    Attributes:
        reading_ends: No request is read after this.
        work_ends: Requests that are still open are answered with an error.
    """

    reading_ends: float
    work_ends: float


def make_stop_schedule(now: float, grace: float) -> StopSchedule:
    """Returns the schedule of a stop that begins now.

    Args:
        now: The current clock reading, in seconds.
        grace: Seconds from now until the process is killed.

    Example:
        >>> make_stop_schedule(100.0, 8.0)
        StopSchedule(reading_ends=103.0, work_ends=107.0)
    """
    read_time = min(MAX_READ_TIME, MAX_READ_FRACTION * grace)
    return StopSchedule(now + read_time, now + (1 - EXIT_FRACTION) * grace)
