"""Seals windows and reports accepted seals."""

from buckthornstile.base import Offset, Term, WindowStart
from buckthornstile.control._actions import Append, ControlAction, SendReport
from buckthornstile.records import UsageReported
from buckthornstile.usage import UsageFold, plan_seal

DEFAULT_WINDOW_SECONDS = 60
DEFAULT_GRACE_SECONDS = 12.0
DEFAULT_TIMEOUT_SECONDS = 1.5
DEFAULT_RETRY_SECONDS = 3.0
MAX_REPORTS = 8
"""Windows in flight at once, to catch up after an outage."""


class ReportPlanner:
    """Decides which window to seal and which accepted seal to report.

    Args:
        fold: The usage fold of this process.
        window: A window's length, in seconds.
        grace: Seconds from a window's end to its seal.
        timeout: A report's deadline, in seconds.
        retry: Seconds after which an append or report is repeated.

    Example:
        >>> planner = ReportPlanner(UsageFold())
        >>> actions = planner.decide(
        ...     0.0, Term(1), through=Offset(5), wall_now=140.0
        ... )
        >>> actions[0].record.window
        60
    """

    def __init__(
        self,
        fold: UsageFold,
        *,
        window: int = DEFAULT_WINDOW_SECONDS,
        grace: float = DEFAULT_GRACE_SECONDS,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        retry: float = DEFAULT_RETRY_SECONDS,
    ) -> None:
        self.fold = fold
        self.window = window
        self.grace = grace
        self.timeout = timeout
        self.retry = retry
        self._seal_retry_at: dict[WindowStart, float] = {}
        self._in_flight: set[WindowStart] = set()
        self._taken: set[WindowStart] = set()
        self._retry_at: dict[WindowStart, float] = {}

    @property
    def is_idle(self) -> bool:
        """Whether no report is in flight."""
        return not self._in_flight

    def decide(
        self, now: float, term: Term, *, through: Offset, wall_now: float
    ) -> list[ControlAction]:
        """Decides what to append and report now.

        Args:
            now: Monotonic seconds.
            term: This process's term; the caller has checked that it is live.
            through: The last offset that the fold has applied.
            wall_now: Seconds since the epoch.

        Returns:
            The actions.

        Example:
            >>> planner = ReportPlanner(UsageFold())
            >>> planner.decide(0.0, Term(1), through=Offset(-1), wall_now=0.0)
            []
        """
        self._forget_reported()
        return self._decide_seal(now, term, through, wall_now) + self._decide_reports(
            now, term
        )

    def on_report_result(self, window: WindowStart, taken: bool, now: float) -> None:
        """Learns whether the platform has taken a report.

        Args:
            window: The window.
            taken: Whether it has; False also for an unknown outcome, since the
                same report may be repeated.
            now: Monotonic seconds.

        Example:
            >>> planner = ReportPlanner(UsageFold())
            >>> planner.on_report_result(WindowStart(0), True, 0.0)
        """
        self._in_flight.discard(window)
        if taken:
            self._taken.add(window)
        else:
            self._retry_at[window] = now + self.retry

    def _decide_seal(
        self, now: float, term: Term, through: Offset, wall_now: float
    ) -> list[ControlAction]:
        seal = plan_seal(
            self.fold,
            wall_now,
            term=term,
            through=through,
            duration=self.window,
            grace=self.grace,
        )
        if seal is None or now < self._seal_retry_at.get(seal.window, now):
            return []
        # The fold takes at most one seal for a window; the others are rejected.
        self._seal_retry_at = {seal.window: now + self.retry}
        return [Append(seal)]

    def _decide_reports(self, now: float, term: Term) -> list[ControlAction]:
        actions: list[ControlAction] = []
        for seal in list(self.fold.unreported)[:MAX_REPORTS]:
            window = seal.window
            if window in self._in_flight or now < self._retry_at.get(window, now):
                continue
            if window in self._taken:
                self._retry_at[window] = now + self.retry
                actions.append(Append(UsageReported(window=window, term=term)))
            else:
                self._in_flight.add(window)
                actions.append(SendReport(seal, self.timeout))
        return actions

    def _forget_reported(self) -> None:
        windows = {seal.window for seal in self.fold.unreported}
        self._taken &= windows
        for window in [w for w in self._retry_at if w not in windows]:
            del self._retry_at[window]
