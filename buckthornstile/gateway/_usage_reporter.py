"""Seals usage windows and reports them while this process holds the lease."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import PlatformUnavailableError, ProcessName
from buckthornstile.duties import SealRecord, UsageTotals
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.logs import log_event
from buckthornstile.platform import DutyClient

REPORT_TIMEOUT = 0.5
"""Seconds for a report; shorter than what a successor waits beyond the lease."""
REPORT_PAUSE = 0.3
"""Seconds before a report that failed is made again."""


class UsageReporter:
    """Appends a seal for each window that is over, then reports from the seal.

    Args:
        node: The VM's name, under which the platform knows the holder.
        lease_manager: Tells whether this process holds the lease.
        totals: Sums usage.
        client: Calls to the platform.
        wall_clock: Seconds since the epoch.
        due: Seconds after its end in which a window is to be reported.
        list_pending_processes: Gives the processes that may still have counts to
            tell: also those that cannot append yet after an outage of the store.
    """

    def __init__(
        self,
        node: str,
        lease_manager: LeaseManager,
        *,
        totals: UsageTotals,
        client: DutyClient,
        wall_clock: Callable[[], float],
        due: float,
        list_pending_processes: Callable[[], list[ProcessName]],
    ) -> None:
        self.node = node
        self.lease_manager = lease_manager
        self.totals = totals
        self.client = client
        self.wall_clock = wall_clock
        self.due = due
        self.list_pending_processes = list_pending_processes

    async def report(self) -> None:
        """Seals and reports what is due now.

        Raises:
            PlatformUnavailableError: The store did not take a seal.
        """
        if not self.lease_manager.may_act():
            return
        wall_time = self.wall_clock()
        fold = self.lease_manager.duty_state
        unsealed = self.totals.find_windows_to_seal(
            fold.seals, wall_time, self.due, self.list_pending_processes()
        )
        for window in unsealed:
            record = SealRecord(window, self.totals.sum_window(window))
            offset = await self.lease_manager.append(record)
            if offset is None:
                return
            fold.apply(offset, record)
            log_event("usage.sealed", window=window, counts=dict(record.counts))
        for seal in list(fold.seals.values()):
            if not seal.is_reported:
                await self._report(seal, wall_time)

    async def _report(self, seal: SealRecord, wall_time: float) -> None:
        fold = self.lease_manager.duty_state
        age = wall_time - (seal.window + 1) * self.totals.window
        if age > self.due or not self.lease_manager.may_act():
            return
        try:
            await self.client.report_usage(
                seal.window,
                seal.counts,
                holder=self.node,
                term=fold.term,
                timeout=self.lease_manager.bound(REPORT_TIMEOUT),
            )
        except PlatformUnavailableError as error:
            log_event("usage.report_failed", window=seal.window, reason=error.message)
            await asyncio.sleep(REPORT_PAUSE)
            return
        record = SealRecord(seal.window, seal.counts, is_reported=True)
        log_event("usage.reported", window=seal.window, term=fold.term, age=age)
        fold.apply(fold.end_offset - 1, record)
        await self.lease_manager.append(record)
