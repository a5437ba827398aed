"""Seals usage windows and reports them while this process holds the lease."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import PlatformUnavailableError, ProcessName
from buckthornstile.duties import SealRecord, UsageTotals
from buckthornstile.gateway._lease_keeper import LeaseKeeper
from buckthornstile.logs import log_event
from buckthornstile.platform import DutyClient

REPORT_TIMEOUT = 0.5
"""Seconds for a report; shorter than what a successor waits beyond the lease."""
REPORT_PAUSE = 0.3
"""Seconds before a report that failed is made again."""


class UsageReports:
    """Appends a seal for each window that is over, then reports from the seal.

    Args:
        node: The VM's name, under which the platform knows the holder.
        keeper: Tells whether this process holds the lease.
        totals: Sums usage.
        client: Calls to the platform.
        wall_clock: Seconds since the epoch.
        due: Seconds after its end in which a window is to be reported.
        list_counting: Gives the processes that may still have counts to tell: also
            those that cannot append yet after an outage of the store.
    """

    def __init__(
        self,
        node: str,
        keeper: LeaseKeeper,
        *,
        totals: UsageTotals,
        client: DutyClient,
        wall_clock: Callable[[], float],
        due: float,
        list_counting: Callable[[], list[ProcessName]],
    ) -> None:
        self.node = node
        self.keeper = keeper
        self.totals = totals
        self.client = client
        self.wall_clock = wall_clock
        self.due = due
        self.list_counting = list_counting

    async def report(self) -> None:
        """Seals and reports what is due now.

        Raises:
            PlatformUnavailableError: The store did not take a seal.
        """
        if not self.keeper.may_act():
            return
        wall = self.wall_clock()
        fold = self.keeper.fold
        unsealed = self.totals.find_unsealed(
            fold.seals, wall, self.due, self.list_counting()
        )
        for window in unsealed:
            record = SealRecord(window, self.totals.sum_window(window))
            offset = await self.keeper.append(record)
            if offset is None:
                return
            fold.apply(offset, record)
            log_event("usage.sealed", window=window, counts=dict(record.counts))
        for seal in list(fold.seals.values()):
            if not seal.is_reported:
                await self._report(seal, wall)

    async def _report(self, seal: SealRecord, wall: float) -> None:
        fold = self.keeper.fold
        age = wall - (seal.window + 1) * self.totals.window
        if age > self.due or not self.keeper.may_act():
            return
        try:
            await self.client.report_usage(
                seal.window,
                seal.counts,
                holder=self.node,
                term=fold.term,
                timeout=self.keeper.bound(REPORT_TIMEOUT),
            )
        except PlatformUnavailableError as error:
            log_event("usage.report_failed", window=seal.window, reason=error.message)
            await asyncio.sleep(REPORT_PAUSE)
            return
        record = SealRecord(seal.window, seal.counts, is_reported=True)
        log_event("usage.reported", window=seal.window, term=fold.term, age=age)
        fold.apply(fold.end - 1, record)
        await self.keeper.append(record)
