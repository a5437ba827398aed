"""Counts of requests by usage window and account, and the windows to seal."""

from collections.abc import Iterable, Mapping
from math import inf

from buckthornstile.base import AccountId, ProcessName
from buckthornstile.duties._lease import SealRecord

RETAINED_PAST_WINDOWS = 4
"""Number of windows before the current one whose counts a process publishes."""
COUNT_WAIT_FRACTION = 0.6
"""Maximum fraction of the report timeout for which a window waits for counts."""
SEAL_DELAY_SECONDS = 2.2
"""Minimum seconds from a window's end to its seal, so that its last counts arrive."""


class UsageCounter:
    """Counts this process's requests by the window in which they started.

    Args:
        window: Length of a window in seconds.

    Example:
        >>> counter = UsageCounter(5.0)
        >>> counter.count("mill-7", 12.0)
        >>> counter.get_counts(13.0)
        {2: {'mill-7': 1}}
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self._counts: dict[int, dict[str, int]] = {}

    def count(self, account: AccountId, wall_time: float) -> None:
        """Counts a request that started at ``wall_time`` (seconds since the epoch)."""
        counts = self._counts.setdefault(int(wall_time // self.window), {})
        counts[account] = counts.get(account, 0) + 1

    def get_counts(self, wall_time: float) -> dict[int, dict[str, int]]:
        """Returns the counts of the latest windows and drops older ones."""
        oldest = int(wall_time // self.window) - RETAINED_PAST_WINDOWS
        self._counts = {
            window: counts
            for window, counts in self._counts.items()
            if window >= oldest
        }
        return {window: dict(counts) for window, counts in self._counts.items()}


class UsageTotals:
    """Sums the counts of all processes.

    Args:
        window: Length of a window in seconds.

    Example:
        >>> totals = UsageTotals(5.0)
        >>> totals.apply("e1", {2: {"mill-7": 1}}, 12.0)
        >>> totals.apply("e2", {2: {"mill-7": 2}}, 12.5)
        >>> totals.sum_window(2)
        {'mill-7': 3}
    """

    def __init__(self, window: float) -> None:
        self.window = window
        self._counts: dict[int, dict[ProcessName, Mapping[str, int]]] = {}
        self._counted_at: dict[ProcessName, float] = {}

    def apply(
        self,
        process: ProcessName,
        counts: Mapping[int, Mapping[str, int]],
        counted_at: float,
    ) -> None:
        """Records a process's counts, which replace its earlier ones.

        Windows more than 10 before the newest one are dropped.

        Args:
            process: The process.
            counts: Its counts, by window number and account.
            counted_at: Time of the counts on its clock, in seconds since the epoch.
        """
        if counted_at < self._counted_at.get(process, -inf):
            return  # The store appended an older record late.
        self._counted_at[process] = counted_at
        for window, by_account in counts.items():
            self._counts.setdefault(window, {})[process] = by_account
        newest = max(self._counts, default=0)
        for window in [number for number in self._counts if number < newest - 10]:
            del self._counts[window]

    def sum_window(self, window: int) -> dict[str, int]:
        """Sums the counts of a window over all processes."""
        total: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for account, count in counts.items():
                total[account] = total.get(account, 0) + count
        return total

    def find_windows_to_seal(
        self,
        seals: Mapping[int, SealRecord],
        wall_time: float,
        report_timeout: float,
        processes: Iterable[ProcessName] = (),
    ) -> list[int]:
        """Finds the finished windows that are not sealed and should be sealed now.

        A window waits until every process that may have counts has published them
        after the window's end, but at most ``COUNT_WAIT_FRACTION`` of the report
        timeout, so that time is left to report it.

        Args:
            seals: The existing seals by window number.
            wall_time: Seconds since the epoch.
            report_timeout: Seconds after a window's end within which the window can
                still be reported.
            processes: The processes that may have counts.

        Returns:
            The numbers of the windows, in ascending order.
        """
        counted_by_all = min(
            (self._counted_at.get(name, -inf) for name in processes), default=inf
        )
        last = int((wall_time - SEAL_DELAY_SECONDS) // self.window) - 1
        oldest = int((wall_time - report_timeout) // self.window)
        first = min(self._counts, default=last + 1)
        return [
            window
            for window in range(max(first, oldest), last + 1)
            if window not in seals
            and (
                counted_by_all >= (window + 1) * self.window
                or wall_time
                >= (window + 1) * self.window + COUNT_WAIT_FRACTION * report_timeout
            )
        ]
