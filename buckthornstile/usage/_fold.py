"""Folds usage so that each request counts once and each window has one figure.

The figures of a window are all accepted usage at offsets after the previous
seal's ``through`` up to its own ``through``. Usage that arrives later therefore
belongs to a later window, nothing is lost, and nothing counts twice.
"""

from collections import deque

from buckthornstile.base import NO_OFFSET, Incarnation, Offset, Term
from buckthornstile.records import (
    RecoveredUsage,
    UsageBatch,
    UsageLine,
    UsageRecovery,
    UsageReported,
    UsageSeal,
)
from buckthornstile.usage._ranges import RangeSet
from buckthornstile.usage._state import (
    EntryUsageState,
    OffsetUsage,
    SealMark,
    UsageState,
    make_signed_lines,
    make_signed_totals,
)
from buckthornstile.usage._totals import UsageTotals

UsageRecord = UsageBatch | UsageRecovery | UsageSeal | UsageReported

DEFAULT_RETIRE_AFTER_SEALS = 1440
"""Seals after which a silent entry's ranges are forgotten."""

DEFAULT_MERGE_AFTER_SEALS = 2
"""Seals after which a silent entry's recovered requests are merged."""


class _EntryUsage:
    """One entry's covered counters and the recovered ones beside them."""

    def __init__(self, state: EntryUsageState) -> None:
        self.entry = state.entry
        self.covered = RangeSet(state.ranges)
        self.recovered = {r.counter: r.line for r in state.recovered}
        self.merged = RangeSet(state.merged_ranges)
        self.merged_totals = make_signed_totals(state.merged_lines)
        self.last_seal = state.last_seal

    def make_state(self) -> EntryUsageState:
        recovered = sorted(self.recovered.items(), key=lambda item: item[0])
        return EntryUsageState(
            entry=self.entry,
            ranges=self.covered.ranges,
            recovered=tuple(RecoveredUsage(counter=c, line=x) for c, x in recovered),
            merged_ranges=self.merged.ranges,
            merged_lines=make_signed_lines(self.merged_totals),
            last_seal=self.last_seal,
        )

    def is_counted(self, counter: int) -> bool:
        is_recovered = counter in self.recovered or counter in self.merged
        return is_recovered or counter in self.covered

    def take_recovered(self, first: int, last: int) -> UsageTotals:
        counters = [c for c in self.recovered if first <= c <= last]
        taken = UsageTotals([self.recovered.pop(counter) for counter in counters])
        if self.merged.overlaps(first, last):
            # The entry lives after all: its batches will cover all the others too.
            taken.merge(self.merged_totals)
            self.merged = RangeSet()
            self.merged_totals = UsageTotals()
        return taken

    def merge_recovered(self) -> None:
        for counter in self.recovered:
            self.merged.add(counter, counter)
        self.merged_totals.add(self.recovered.values())
        self.recovered = {}


class UsageFold:
    """Folds usage records in offset order.

    Args:
        retire_after_seals: Seals after which a silent entry is forgotten.
        merge_after_seals: Seals after which a silent entry's recovered requests
            are merged into ranges and sums.

    Attributes:
        last_seal: Where the last accepted seal ended, or None.
        unreported: Accepted seals without a :class:`UsageReported`, oldest first.

    Example:
        >>> fold = UsageFold()
        >>> line = UsageLine(
        ...     account="a", service="s", request_class="waited", requests=2
        ... )
        >>> batch = UsageBatch(entry="e", ranges=((0, 1),), lines=(line,))
        >>> fold.apply(Offset(0), batch, term=Term(-1))
        True
        >>> fold.apply(Offset(1), batch, term=Term(-1))
        False
        >>> fold.make_figures(Offset(1))[0].requests
        2
    """

    def __init__(
        self,
        *,
        retire_after_seals: int = DEFAULT_RETIRE_AFTER_SEALS,
        merge_after_seals: int = DEFAULT_MERGE_AFTER_SEALS,
    ) -> None:
        self.retire_after_seals = retire_after_seals
        self.merge_after_seals = merge_after_seals
        self.last_seal: SealMark | None = None
        self.unreported: deque[UsageSeal] = deque()
        self._entries: dict[Incarnation, _EntryUsage] = {}
        self._unsealed: deque[tuple[Offset, UsageTotals]] = deque()
        self._carried = UsageTotals()
        self._sum = UsageTotals()
        self._seal_count = 0

    @property
    def sealed_through(self) -> Offset:
        """The last offset whose usage is in an accepted seal."""
        return self.last_seal.through if self.last_seal else NO_OFFSET

    @property
    def unsealed_count(self) -> int:
        """How many records of usage no accepted seal covers yet."""
        return len(self._unsealed)

    def apply(self, offset: Offset, record: UsageRecord, *, term: Term) -> bool:
        """Applies the record at an offset.

        Args:
            offset: Its offset; greater than that of any record before.
            record: The record.
            term: The lease's term at this offset.

        Returns:
            Whether the record was accepted; the same for every reader.

        Example:
            >>> reported = UsageReported(window=0, term=1)
            >>> UsageFold().apply(Offset(0), reported, term=Term(1))
            False
        """
        if isinstance(record, UsageBatch):
            return self._apply_batch(offset, record)
        if isinstance(record, UsageRecovery):
            return self._apply_recovery(offset, record)
        if isinstance(record, UsageSeal):
            return self._apply_seal(offset, record, term)
        return self._apply_reported(record)

    def make_figures(self, through: Offset) -> tuple[UsageLine, ...]:
        """Makes the figures that a seal up to an offset must have.

        Args:
            through: The last offset that the seal covers.

        Returns:
            The lines, in an order that all processes agree on.

        Example:
            >>> UsageFold().make_figures(Offset(0))
            ()
        """
        return self._sum_through(through).make_lines()

    def make_state(self) -> UsageState:
        """Makes a snapshot's state.

        Example:
            >>> UsageFold().make_state().entries
            ()
        """
        return UsageState(
            entries=tuple(entry.make_state() for entry in self._entries.values()),
            unsealed=tuple(
                OffsetUsage(offset=offset, lines=make_signed_lines(totals))
                for offset, totals in self._unsealed
            ),
            carried=make_signed_lines(self._carried),
            last_seal=self.last_seal,
            seal_count=self._seal_count,
            unreported=tuple(self.unreported),
        )

    def load_state(self, state: UsageState) -> None:
        """Starts from a snapshot's state.

        Example:
            >>> fold = UsageFold()
            >>> fold.load_state(UsageState(seal_count=3))
            >>> fold.make_state().seal_count
            3
        """
        self._entries = {entry.entry: _EntryUsage(entry) for entry in state.entries}
        self._unsealed = deque(
            (usage.offset, make_signed_totals(usage.lines)) for usage in state.unsealed
        )
        self._carried = make_signed_totals(state.carried)
        self._sum = make_signed_totals(state.carried)
        for _, totals in self._unsealed:
            self._sum.merge(totals)
        self.last_seal = state.last_seal
        self._seal_count = state.seal_count
        self.unreported = deque(state.unreported)

    def _get_entry(self, entry: Incarnation) -> _EntryUsage:
        if entry not in self._entries:
            self._entries[entry] = _EntryUsage(EntryUsageState(entry=entry))
        usage = self._entries[entry]
        usage.last_seal = self._seal_count
        return usage

    def _apply_batch(self, offset: Offset, batch: UsageBatch) -> bool:
        entry = self._get_entry(batch.entry)
        if not _are_separate(batch.ranges):
            return False
        if any(entry.covered.overlaps(first, last) for first, last in batch.ranges):
            return False
        totals = UsageTotals(batch.lines)
        for first, last in batch.ranges:
            entry.covered.add(first, last)
            totals.merge(entry.take_recovered(first, last), sign=-1)
        self._add_unsealed(offset, totals)
        return True

    def _apply_recovery(self, offset: Offset, recovery: UsageRecovery) -> bool:
        entry = self._get_entry(recovery.entry)
        totals = UsageTotals()
        accepted = False
        for request in recovery.requests:
            counter = request.counter
            if entry.is_counted(counter):
                continue
            entry.recovered[counter] = request.line
            totals.add([request.line])
            accepted = True
        if accepted:
            self._add_unsealed(offset, totals)
        return accepted

    def _apply_seal(self, offset: Offset, seal: UsageSeal, term: Term) -> bool:
        if not self._is_valid(offset, seal, term):
            return False
        sealed = self._sum_through(seal.through)
        self._carried = sealed.make_remainder()
        self._sum.merge(sealed, sign=-1)
        self._sum.merge(self._carried)
        while self._unsealed and self._unsealed[0][0] <= seal.through:
            self._unsealed.popleft()
        self.last_seal = SealMark(
            window=seal.window, duration=seal.duration, through=seal.through
        )
        self._seal_count += 1
        self.unreported.append(seal)
        self._retire_entries()
        return True

    def _is_valid(self, offset: Offset, seal: UsageSeal, term: Term) -> bool:
        if seal.term != term or seal.duration <= 0:
            return False
        if not self.sealed_through <= seal.through < offset:
            return False
        if self.last_seal and seal.window != self.last_seal.next_window:
            return False
        return seal.lines == self.make_figures(seal.through)

    def _apply_reported(self, reported: UsageReported) -> bool:
        # A report is a fact, whatever the term of the process that made it.
        for seal in self.unreported:
            if seal.window == reported.window:
                self.unreported.remove(seal)
                return True
        return False

    def _add_unsealed(self, offset: Offset, totals: UsageTotals) -> None:
        self._unsealed.append((offset, totals))
        self._sum.merge(totals)

    def _sum_through(self, through: Offset) -> UsageTotals:
        # A seal covers nearly all that is unsealed, so take off what is later.
        totals = UsageTotals()
        totals.merge(self._sum)
        for offset, added in reversed(self._unsealed):
            if offset <= through:
                break
            totals.merge(added, sign=-1)
        return totals

    def _retire_entries(self) -> None:
        self._merge_recovered()
        oldest = self._seal_count - self.retire_after_seals
        for entry in [e for e in self._entries.values() if e.last_seal < oldest]:
            del self._entries[entry.entry]

    def _merge_recovered(self) -> None:
        # One by one they would make a snapshot larger than a record may be.
        oldest = self._seal_count - self.merge_after_seals
        for entry in self._entries.values():
            if entry.recovered and entry.last_seal <= oldest:
                entry.merge_recovered()


def _are_separate(ranges: tuple[tuple[int, int], ...]) -> bool:
    previous = -1
    for first, last in ranges:
        if first <= previous or last < first:
            return False
        previous = last
    return bool(ranges)
