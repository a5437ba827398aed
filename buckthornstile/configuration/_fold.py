"""Folds the log's configuration records, the same way in every process.

A change is judged only by a fold that knows the state just before it: one that
has read every record since a state that it knows. Two things bring such a state:
a snapshot, which says up to which offset it holds, and a relayed change, which
a peer passes on only after it was accepted. Records behind a gap wait until one
of them arrives; judging them early could accept what every other process rejects.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from buckthornstile.base import (
    NO_OFFSET,
    ChangeId,
    ErrorCode,
    Offset,
    Revision,
)
from buckthornstile.configuration._change import ChangeError, apply_change
from buckthornstile.configuration._model import (
    EMPTY_CONFIGURATION,
    Configuration,
    make_configuration,
)
from buckthornstile.records import (
    ConfigurationChange,
    ConfigurationSnapshot,
    Record,
    decode_record,
    encode_record,
)
from buckthornstile.wire import RelayedRecord

MAX_RECENT_CHANGES = 512
MAX_TAIL_RECORDS = 128
MAX_TAIL_BYTES = 2 << 20
MAX_RELAY_BYTES = 1 << 20
MAX_PENDING_CHANGES = 256


@dataclass(frozen=True, slots=True)
class FoldOutcome:
    """What became of one record.

    Args:
        accepted: Whether the record's change is part of the configuration, or
            its snapshot moved the fold forward.
        code: Why a change was rejected, or None.
        revision: The current revision; for a duplicate, the one it made.
        duplicate: Whether the change had been accepted before.
        pending: Whether it waits until a gap before it is closed.
        message: One sentence for a person.
    """

    accepted: bool
    code: ErrorCode | None
    revision: Revision
    duplicate: bool = False
    pending: bool = False
    message: str = ""


@dataclass(frozen=True, slots=True)
class RelayOutcome:
    """What became of relayed records.

    Args:
        revision: The revision that the fold now stands at.
        applied: Records that moved it forward.
        missing_after: The offset after which to ask again, if a record was
            missing; else None.
    """

    revision: Revision
    applied: int
    missing_after: Offset | None = None


@dataclass(frozen=True, slots=True)
class _TailEntry:
    before: Offset
    record: RelayedRecord


class ConfigurationFold:
    """The configuration as far as this process has learned it.

    Example:
        >>> from buckthornstile.records import Account
        >>> fold = ConfigurationFold()
        >>> put = (Account(name="mill-7"),)
        >>> change = ConfigurationChange(change_id="c", base_revision=0, put=put)
        >>> fold.apply(Offset(0), change).accepted
        True
        >>> fold.current.revision
        1
    """

    def __init__(self) -> None:
        self._current = EMPTY_CONFIGURATION
        # The state is known to hold up to and including this offset.
        self._known_through = NO_OFFSET
        # The unbroken run of records read from the log.
        self._run_first = Offset(0)
        self._run_last = NO_OFFSET
        self._pending: deque[tuple[Offset, ConfigurationChange]] = deque()
        self._recent: deque[ChangeId] = deque(maxlen=MAX_RECENT_CHANGES)
        self._tail: deque[_TailEntry] = deque()
        self._tail_bytes = 0
        self.snapshot_conflicts = 0
        self.relay_rejections = 0

    @property
    def current(self) -> Configuration:
        """The newest revision that this process knows."""
        return self._current

    @property
    def known_through(self) -> Offset:
        """The last offset up to which no other change was accepted."""
        return self._known_through

    @property
    def has_gap(self) -> bool:
        """Whether records are missing, so that later ones cannot be judged."""
        return self._run_first > self._known_through + 1

    def find_change(self, change_id: ChangeId) -> Revision | None:
        """Finds the revision that an accepted change made.

        Args:
            change_id: The change's id.

        Returns:
            The revision, or None if it is not among the last accepted ones.

        Example:
            >>> ConfigurationFold().find_change("c") is None
            True
        """
        for age, accepted in enumerate(reversed(self._recent)):
            if accepted == change_id:
                return Revision(self._current.revision - age)
        return None

    def apply(self, offset: Offset, record: Record) -> FoldOutcome:
        """Applies the record that the log holds at an offset.

        Call it for every offset read, also with records of other kinds: a
        skipped offset counts as a gap.

        Args:
            offset: The record's offset.
            record: The record.

        Returns:
            What became of it.

        Example:
            >>> fold = ConfigurationFold()
            >>> change = ConfigurationChange(change_id="c", base_revision=0)
            >>> fold.apply(Offset(7), change).pending
            True
        """
        if offset <= self._run_last:
            return self._describe_known(record)
        if offset > self._run_last + 1:
            self._restart_run(offset)
        self._run_last = offset
        if isinstance(record, ConfigurationSnapshot):
            return self._apply_snapshot(offset, record)
        if not isinstance(record, ConfigurationChange):
            self._settle()
            return FoldOutcome(False, None, self._current.revision)
        if offset <= self._known_through:
            return self._describe_known(record)
        if self.has_gap:
            self._hold(offset, record)
            return FoldOutcome(False, None, self._current.revision, pending=True)
        self._known_through = offset
        return self._judge(offset, record)

    def merge_relay(self, records: Sequence[RelayedRecord]) -> RelayOutcome:
        """Merges records that a peer passes on, in the peer's order.

        Args:
            records: What the peer's :meth:`records_after` gave.

        Returns:
            How far they led, and from where to ask again if one was missing.

        Example:
            >>> ConfigurationFold().merge_relay(()).applied
            0
        """
        applied = 0
        for relayed in records:
            record = decode_record(relayed.data)
            if isinstance(record, ConfigurationSnapshot):
                applied += self._adopt(record)
                self._settle()
                continue
            if not isinstance(record, ConfigurationChange):
                self.relay_rejections += 1
                continue
            if record.base_revision < self._current.revision:
                continue
            if record.base_revision > self._current.revision:
                return self._make_relay_outcome(applied, self._current.through)
            if not self._merge_change(relayed.offset, record):
                return self._make_relay_outcome(applied, self._current.through)
            applied += 1
        return self._make_relay_outcome(applied, None)

    def make_snapshot(self) -> ConfigurationSnapshot:
        """Makes a snapshot of the current revision, to append or to relay.

        Append one well inside the log's retention, also at revision 0.

        Example:
            >>> ConfigurationFold().make_snapshot().revision
            0
        """
        return ConfigurationSnapshot(
            revision=self._current.revision,
            through=self._current.through,
            items=self._current.list_items(),
            recent_changes=tuple(self._recent),
            read_through=self._known_through,
        )

    def records_after(self, offset: Offset) -> tuple[RelayedRecord, ...]:
        """Gives what a peer needs that stands at an offset.

        Args:
            offset: The ``through`` of the peer's configuration.

        Returns:
            Accepted changes in order, as many as fit into one message; a snapshot
            if the tail does not reach back.

        Example:
            >>> ConfigurationFold().records_after(Offset(-1))
            ()
        """
        if offset >= self._current.through:
            return ()
        start = next(
            (i for i, entry in enumerate(self._tail) if entry.before == offset), None
        )
        if start is None:
            data = encode_record(self.make_snapshot())
            return (RelayedRecord(self._current.through, data),)
        records = [entry.record for entry in list(self._tail)[start:]]
        sizes = accumulate(len(record.data) for record in records)
        fitting = sum(size <= MAX_RELAY_BYTES for size in sizes)
        return tuple(records[: max(1, fitting)])

    def _apply_snapshot(
        self, offset: Offset, snapshot: ConfigurationSnapshot
    ) -> FoldOutcome:
        # A snapshot cannot speak of its own offset or of later ones.
        moved = snapshot.read_through < offset and self._adopt(snapshot)
        if self._known_through == offset - 1:
            self._known_through = offset
        self._settle()
        return FoldOutcome(moved, None, self._current.revision)

    def _describe_known(self, record: Record) -> FoldOutcome:
        """Tells what became of a record that the known state covers."""
        if isinstance(record, ConfigurationChange):
            made = self.find_change(record.change_id)
            if made is not None:
                return FoldOutcome(True, None, made, duplicate=True)
            return FoldOutcome(
                False, ErrorCode.CONFIGURATION_CONFLICT, self._current.revision
            )
        return FoldOutcome(False, None, self._current.revision)

    def _restart_run(self, offset: Offset) -> None:
        self._pending.clear()
        self._run_first = offset

    def _hold(self, offset: Offset, change: ConfigurationChange) -> None:
        self._pending.append((offset, change))
        if len(self._pending) > MAX_PENDING_CHANGES:
            dropped, _ = self._pending.popleft()
            self._run_first = Offset(dropped + 1)

    def _settle(self) -> None:
        """Judges the records that waited, once the gap before them is closed."""
        if self.has_gap:
            return
        pending, self._pending = self._pending, deque()
        for offset, change in pending:
            if offset > self._known_through:
                self._judge(offset, change)
        self._known_through = max(self._known_through, self._run_last)

    def _judge(self, offset: Offset, change: ConfigurationChange) -> FoldOutcome:
        made = self.find_change(change.change_id)
        if made is not None:
            return FoldOutcome(True, None, made, duplicate=True)
        try:
            after = apply_change(self._current, change, offset=offset)
        except ChangeError as error:
            revision = self._current.revision
            return FoldOutcome(False, error.code, revision, message=error.message)
        self._accept(offset, change, after)
        return FoldOutcome(True, None, after.revision)

    def _accept(
        self, offset: Offset, change: ConfigurationChange, after: Configuration
    ) -> None:
        record = RelayedRecord(offset, encode_record(change))
        self._tail.append(_TailEntry(self._current.through, record))
        self._tail_bytes += len(record.data)
        while len(self._tail) > MAX_TAIL_RECORDS or self._tail_bytes > MAX_TAIL_BYTES:
            self._tail_bytes -= len(self._tail.popleft().record.data)
        self._recent.append(change.change_id)
        self._current = after

    def _adopt(self, snapshot: ConfigurationSnapshot) -> bool:
        """Moves forward to a snapshot; an older or differing one is ignored."""
        known = Offset(max(snapshot.through, snapshot.read_through))
        if snapshot.revision < self._current.revision:
            return False
        if snapshot.revision == self._current.revision:
            if self._matches(snapshot):
                self._known_through = max(self._known_through, known)
            else:
                self.snapshot_conflicts += 1
            return False
        if not self.has_gap:
            # Records judged so far are not kept. If the snapshot tells of a change
            # that this process could not read, only a new run is of use.
            self._run_first = Offset(self._run_last + 1)
        self._current = make_configuration(
            snapshot.items, revision=snapshot.revision, through=snapshot.through
        )
        self._known_through = known
        self._recent.clear()
        self._recent.extend(snapshot.recent_changes)
        self._tail.clear()
        self._tail_bytes = 0
        return True

    def _matches(self, snapshot: ConfigurationSnapshot) -> bool:
        if snapshot.through != self._current.through:
            return False
        items = {(item.kind, item.name): item for item in snapshot.items}
        mine = {(item.kind, item.name): item for item in self._current.list_items()}
        return items == mine

    def _merge_change(self, offset: Offset, change: ConfigurationChange) -> bool:
        if offset <= self._current.through:
            self.relay_rejections += 1
            return False
        try:
            after = apply_change(self._current, change, offset=offset)
        except ChangeError:
            self.relay_rejections += 1
            return False
        self._accept(offset, change, after)
        self._known_through = max(self._known_through, offset)
        self._settle()
        return True

    def _make_relay_outcome(self, applied: int, missing: Offset | None) -> RelayOutcome:
        return RelayOutcome(self._current.revision, applied, missing)
