"""The decision whether a running request is moved to another upstream."""

MIN_SLOW_TIME = 0.3
"""Seconds for which an upstream that has just become slow is expected to stay so."""
LASTING_SLOW_TIME = 1.0
"""Seconds from which a slow period is a fault of the upstream and not the usual kind,
which lasts some hundred milliseconds."""
LASTING_SLOW_LEFT = 5.0
"""Seconds for which an upstream with such a fault is expected to stay slow: faults of
machines last several seconds."""
MIN_GAIN_SECONDS = 0.2
"""Seconds that a move must save at least."""
MAX_REMAINING_FRACTION = 0.8
"""Fraction of the remaining time here that the time elsewhere must not exceed."""
MOVE_SECONDS = 0.1
"""Seconds until a moved request starts elsewhere."""


def is_move_worthwhile(
    *,
    remaining: float,
    slowdown: float,
    slow_time: float,
    repeated: float,
    other_slowdown: float = 1.0,
) -> bool:
    """Whether a running request would be complete clearly earlier elsewhere.

    Most slow periods last some hundred milliseconds. A period that has lasted for some
    time is expected to last as long again, and after ``LASTING_SLOW_TIME`` for
    ``LASTING_SLOW_LEFT`` at least.

    Args:
        remaining: Expected seconds of work that are left, at usual speed.
        slowdown: Duration of work here now, relative to the usual one.
        slow_time: Seconds for which work here has been slow.
        repeated: Seconds of work that must be repeated elsewhere.
        other_slowdown: Expected duration of work elsewhere relative to the usual one.

    Example:
        >>> is_move_worthwhile(
        ...     remaining=2.0, slowdown=2.5, slow_time=0.2, repeated=0.3
        ... )
        False
        >>> is_move_worthwhile(
        ...     remaining=2.0, slowdown=2.5, slow_time=2.0, repeated=0.3
        ... )
        True
    """
    expected = MIN_SLOW_TIME if slow_time < LASTING_SLOW_TIME else LASTING_SLOW_LEFT
    slow_left = min(max(expected, slow_time), remaining * slowdown)
    here = remaining + slow_left * (1 - 1 / max(1.0, slowdown))
    elsewhere = MOVE_SECONDS + (remaining + repeated) * other_slowdown
    return (
        elsewhere < MAX_REMAINING_FRACTION * here
        and here - elsewhere > MIN_GAIN_SECONDS
    )
