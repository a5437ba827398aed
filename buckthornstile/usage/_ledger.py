"""Keeps an agent's count of what it ran until the log holds it."""

from collections.abc import Collection

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    ProcessName,
)
from buckthornstile.records import RecoveredUsage, UsageLine, UsageRecovery

DEFAULT_MAXIMUM_KEPT = 100_000
MAX_RECOVERY_REQUESTS = 2_000
"""Requests in one recovery; keeps it well under the log's record size."""

DEFAULT_RETRY_SECONDS = 3.0


class UsageLedger:
    """Usage of requests that an agent ran, by entry and counter.

    Args:
        agent: The agent's name.
        maximum_kept: Requests, running and finished, above which :meth:`open`
            refuses.
        retry: Seconds after which an unconfirmed recovery is appended again.

    Example:
        >>> ledger = UsageLedger(ProcessName("a1"))
        >>> ledger.open(Incarnation("e1-1"), 4)
        >>> line = UsageLine(account="a", service="s", request_class="waited")
        >>> ledger.finish(Incarnation("e1-1"), 4, line)
        >>> recovery = ledger.recover(0.0, [Incarnation("e1-1")])
        >>> recovery.requests[0].counter
        4
        >>> ledger.on_recovered(recovery)
        >>> len(ledger)
        0
    """

    def __init__(
        self,
        agent: ProcessName,
        *,
        maximum_kept: int = DEFAULT_MAXIMUM_KEPT,
        retry: float = DEFAULT_RETRY_SECONDS,
    ) -> None:
        self.agent = agent
        self.maximum_kept = maximum_kept
        self.retry = retry
        self._kept: dict[Incarnation, dict[int, UsageLine | None]] = {}
        self._count = 0
        self._sent: UsageRecovery | None = None
        self._next_at = float("-inf")

    def __len__(self) -> int:
        """Counts the requests that are kept."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether :meth:`open` would refuse."""
        return self._count >= self.maximum_kept

    def open(self, entry: Incarnation, counter: int) -> None:
        """Makes room for a request before it runs.

        Raises:
            BuckthornstileError: With ``QUEUE_FULL``: what cannot be counted
                must not run.

        Example:
            >>> UsageLedger(ProcessName("a1"), maximum_kept=0).open("e", 0)
            Traceback (most recent call last):
            buckthornstile.base._errors.BuckthornstileError: the usage ledger ...
        """
        kept = self._kept.setdefault(entry, {})
        if counter in kept:
            return
        if self.is_full:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL,
                f"the usage ledger holds {self._count} requests; "
                f"at most {self.maximum_kept} are allowed",
            )
        kept[counter] = None
        self._count += 1

    def finish(self, entry: Incarnation, counter: int, line: UsageLine | None) -> None:
        """Notes what a request used; the first line for a request stands.

        Args:
            entry: The entry's incarnation.
            counter: The request's counter.
            line: What it used, or None if it did not run.

        Example:
            >>> ledger = UsageLedger(ProcessName("a1"))
            >>> ledger.open("e", 0)
            >>> ledger.finish("e", 0, None)
            >>> len(ledger)
            0
        """
        kept = self._kept.get(entry, {})
        if counter not in kept or kept[counter] is not None:
            return
        if line is None:
            self._remove(entry, counter)
        else:
            kept[counter] = line

    def find(self, entry: Incarnation, counter: int) -> UsageLine | None:
        """Finds what a request used, if it ran and is not confirmed yet.

        Example:
            >>> UsageLedger(ProcessName("a1")).find("e", 0) is None
            True
        """
        return self._kept.get(entry, {}).get(counter)

    def confirm(self, entry: Incarnation, through: int) -> None:
        """Learns that the log holds an entry's usage through a counter.

        Example:
            >>> ledger = UsageLedger(ProcessName("a1"))
            >>> ledger.open("e", 0)
            >>> ledger.confirm("e", 0)
            >>> len(ledger)
            0
        """
        for counter in [c for c in self._kept.get(entry, {}) if c <= through]:
            self._remove(entry, counter)

    def recover(
        self, now: float, gone: Collection[Incarnation]
    ) -> UsageRecovery | None:
        """Makes the recovery to append now.

        Args:
            now: Monotonic seconds.
            gone: Entries that are gone. An entry that was only thought gone does
                no harm: the fold counts each request once.

        Returns:
            The recovery, the same one until it is confirmed, or None.

        Example:
            >>> UsageLedger(ProcessName("a1")).recover(0.0, []) is None
            True
        """
        if now < self._next_at:
            return None
        if self._sent is None:
            self._sent = self._make_recovery(gone)
        if self._sent is not None:
            self._next_at = now + self.retry
        return self._sent

    def on_recovered(self, recovery: UsageRecovery) -> None:
        """Learns that a recovery has been read back from the log.

        Example:
            >>> UsageLedger(ProcessName("a1")).on_recovered(
            ...     UsageRecovery(entry="e", requests=(), appended_by="a2")
            ... )
        """
        if recovery != self._sent:
            return
        self._sent = None
        self._next_at = float("-inf")
        for request in recovery.requests:
            self._remove(recovery.entry, request.counter)

    def _make_recovery(self, gone: Collection[Incarnation]) -> UsageRecovery | None:
        for entry in gone:
            requests = tuple(
                RecoveredUsage(counter=counter, line=line)
                for counter, line in sorted(
                    self._kept.get(entry, {}).items(), key=lambda item: item[0]
                )
                if line is not None
            )[:MAX_RECOVERY_REQUESTS]
            if requests:
                return UsageRecovery(
                    entry=entry, requests=requests, appended_by=self.agent
                )
        return None

    def _remove(self, entry: Incarnation, counter: int) -> None:
        kept = self._kept.get(entry, {})
        if counter in kept:
            del kept[counter]
            self._count -= 1
        if not kept:
            self._kept.pop(entry, None)
