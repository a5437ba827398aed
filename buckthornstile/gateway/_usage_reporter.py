"""Seals usage windows and reports them while this process holds the lease."""

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial

from buckthornstile.base import PlatformUnavailableError, ProcessName
from buckthornstile.duties import SealRecord, UsageTotals
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.logs import log_event
from buckthornstile.platform import DutyClient

REPORT_TIMEOUT = 0.5
"""Seconds until a report times out; shorter than the time that the next lease holder
waits after the lease has expired."""
MAX_SKIPPED_WINDOWS = 32
"""Number of skipped windows that are remembered, so that each is logged once."""
REPORT_RETRY_DELAY = 0.3
"""Seconds before a failed report is retried."""


class UsageReporter:
    """Appends a seal for each window that has ended, then reports the sealed counts.

    Args:
        node: Name of the VM; identifies the lease holder to the platform.
        lease_manager: Manages the lease.
        totals: Sums the usage of each window.
        client: Client of the platform's duty calls.
        wall_clock: Returns the seconds since the Unix epoch.
        due: Seconds after the end of a window within which it must be reported.
        list_pending_processes: Returns the processes that may still have counts to
            publish, also if an outage of the store has delayed them.
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
        self._skipped: deque[int] = deque(maxlen=MAX_SKIPPED_WINDOWS)

    async def report(self) -> None:
        """Seals and reports the windows that are due.

        Raises:
            PlatformUnavailableError: The append of a seal failed or its outcome is
                unknown.
        """
        if not self.lease_manager.can_act():
            return
        duty_state = self.lease_manager.duty_state
        unsealed = self.totals.find_windows_to_seal(
            duty_state.seals, self.wall_clock(), self.due, self.list_pending_processes()
        )
        for window in unsealed:
            if not self._may_seal(window):
                continue
            appended = await self.lease_manager.append(partial(self._make_seal, window))
            if appended is None:
                return
            duty_state.apply(appended.offset, appended.record)
            counts = dict(appended.record.counts)
            log_event("usage.sealed", window=window, counts=counts)
        for seal in list(duty_state.seals.values()):
            if not seal.is_reported:
                await self._report(seal)

    def _make_seal(self, window: int) -> SealRecord | None:
        """Returns the seal of a window, or None if this process may not seal it now."""
        is_sealed = window in self.lease_manager.duty_state.seals
        if is_sealed or not self.lease_manager.can_act() or not self._may_seal(window):
            return None
        return SealRecord(window, self.totals.sum_window(window))

    def _may_seal(self, window: int) -> bool:
        """Whether no other seal of a window can exist; if one may, logs it once.

        A missing report costs less than a second one with other counts.
        """
        age = self._get_age(window)
        ended_at = self.lease_manager.clock() - age
        if self.lease_manager.seal_history.is_complete(window, ended_at):
            return True
        if window not in self._skipped:
            self._skipped.append(window)
            log_event("usage.skipped", window=window, age=age)
        return False

    def _get_age(self, window: int) -> float:
        """Returns the seconds since a window's end."""
        return self.wall_clock() - (window + 1) * self.totals.window

    async def _report(self, seal: SealRecord) -> None:
        duty_state = self.lease_manager.duty_state
        age = self._get_age(seal.window)
        if age > self.due or not self.lease_manager.can_act():
            return
        term = duty_state.term
        try:
            await self.client.report_usage(
                seal.window,
                seal.counts,
                holder=self.node,
                term=term,
                timeout=self.lease_manager.clamp_timeout(REPORT_TIMEOUT),
                before_send=partial(self.lease_manager.check_term, term),
            )
        except PlatformUnavailableError as error:
            log_event("usage.report_failed", window=seal.window, reason=error.message)
            await asyncio.sleep(REPORT_RETRY_DELAY)
            return
        record = SealRecord(seal.window, seal.counts, is_reported=True)
        log_event("usage.reported", window=seal.window, term=term, age=age)
        # Applied first, so that this lease holder does not report the window again if
        # the append fails; the offset leaves ``end_offset`` unchanged.
        duty_state.apply(duty_state.end_offset - 1, record)
        await self.lease_manager.append(lambda: record)
