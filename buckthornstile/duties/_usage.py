"""Counts of requests by window and account, and what is to be sealed."""

from collections.abc import Iterable, Mapping
from math import inf

from buckthornstile.base import AccountId, ProcessName
from buckthornstile.duties._lease import SealRecord

KEPT_WINDOWS = 4
PATIENCE_SHARE = 0.6
"""Share of the time until a report is due for which a window waits for counts."""
SEAL_MARGIN = 2.2
"""Seconds after a window's end for its last counts to arrive."""


class UsageCounter:
    """This process's requests, by the window in which they began to run.

    Args:
        window: Seconds of a window.

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
        """Counts a request that began at a time, in seconds since the epoch."""
        counts = self._counts.setdefault(int(wall_time // self.window), {})
        counts[account] = counts.get(account, 0) + 1

    def get_counts(self, wall_time: float) -> dict[int, dict[str, int]]:
        """Gives the counts of the last windows and drops older ones."""
        oldest = int(wall_time // self.window) - KEPT_WINDOWS
        self._counts = {
            window: counts
            for window, counts in self._counts.items()
            if window >= oldest
        }
        return {window: dict(counts) for window, counts in self._counts.items()}


class UsageTotals:
    """Sums what all processes counted.

    Args:
        window: Seconds of a window.

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
        made_at: float,
    ) -> None:
        """Notes a process's running counts; the newest replace earlier ones.

        Args:
            process: The process.
            counts: Its counts, by window and account.
            made_at: When it counted them, in seconds since the epoch by its clock.
        """
        if made_at < self._counted_at.get(process, -inf):
            return  # the store carried out an earlier record late
        self._counted_at[process] = made_at
        for window, by_account in counts.items():
            self._counts.setdefault(window, {})[process] = by_account
        newest = max(self._counts, default=0)
        for window in [one for one in self._counts if one < newest - 10]:
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
        due: float,
        counting: Iterable[ProcessName] = (),
    ) -> list[int]:
        """Finds windows that are over, known here and not sealed.

        A window waits for every process that may have counts to have told them after
        the window's end, as far as that leaves time to report it.

        Args:
            seals: The windows that are sealed.
            wall_time: Seconds since the epoch.
            due: Seconds after its end for which a report is still worth something.
            counting: The processes that may have counts.
        """
        counted_by_all = min(
            (self._counted_at.get(name, -inf) for name in counting), default=inf
        )
        last = int((wall_time - SEAL_MARGIN) // self.window) - 1
        oldest = int((wall_time - due) // self.window)
        first = min(self._counts, default=last + 1)
        return [
            window
            for window in range(max(first, oldest), last + 1)
            if window not in seals
            and (
                counted_by_all >= (window + 1) * self.window
                or wall_time >= (window + 1) * self.window + PATIENCE_SHARE * due
            )
        ]
