"""When the holder of the lease seals which window."""

from buckthornstile.base import NO_OFFSET, Offset, Term, WindowStart
from buckthornstile.records import UsageSeal
from buckthornstile.usage._fold import UsageFold

DEFAULT_WINDOW_SECONDS = 60
DEFAULT_GRACE_SECONDS = 12.0
"""How long after its end a window is sealed; entries append meanwhile."""


def plan_seal(
    fold: UsageFold,
    wall_now: float,
    *,
    term: Term,
    through: Offset,
    duration: int = DEFAULT_WINDOW_SECONDS,
    grace: float = DEFAULT_GRACE_SECONDS,
) -> UsageSeal | None:
    """Plans the next window's seal.

    After an outage each call plans one window; the first of them holds all usage
    that came meanwhile. A wrong wall clock makes a seal early or late but never
    leaves a window out or seals one twice, since the fold takes only the window
    after the last.

    Args:
        fold: The usage fold.
        wall_now: Seconds since the epoch.
        term: The holder's term.
        through: The last offset that the fold has applied.
        duration: The window's length, in seconds.
        grace: Seconds to wait after a window's end.

    Returns:
        The seal to append, or None if no window has ended.

    Example:
        >>> plan_seal(UsageFold(), 140.0, term=Term(1), through=Offset(5)).window
        60
    """
    if fold.last_seal:
        window = fold.last_seal.next_window
    else:
        latest_end = int(wall_now - grace) // duration * duration
        window = WindowStart(latest_end - duration)
    if window + duration + grace > wall_now or through == NO_OFFSET:
        return None
    return UsageSeal(
        window=window,
        duration=duration,
        term=term,
        through=through,
        lines=fold.make_figures(through),
    )
