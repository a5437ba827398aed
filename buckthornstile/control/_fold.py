"""One fold of all that control needs, and its snapshots.

A fold is ready when it has read the log from its first record, or from a snapshot
with all records after the snapshot's ``through``. Any snapshot will do, whoever
wrote it and however late it lands: the fold is deterministic, so its state is the
true one at ``through``. A fold that is ready passes over snapshots.
"""

from collections import deque
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

from buckthornstile.base import NO_OFFSET, Offset, ServiceName, Term, WeightVersion
from buckthornstile.lease import LeaseFold, LeaseState
from buckthornstile.orders import OrderFold, OrderState
from buckthornstile.records import (
    ControlSnapshot,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    OrderIntent,
    OrderOutcome,
    Record,
    UsageBatch,
    UsageRecovery,
    UsageReported,
    UsageSeal,
)
from buckthornstile.usage import UsageFold, UsageState

MAX_KEPT_RECORDS = 10_000
"""Records that a fold without a snapshot keeps, waiting for one."""


class ControlState(BaseModel):
    """The state of all folds after one offset.

    Example:
        >>> ControlState().lease.term
        -1
    """

    model_config = ConfigDict(frozen=True)
    lease: LeaseState = LeaseState()
    usage: UsageState = UsageState()
    orders: OrderState = OrderState()


@dataclass(frozen=True, slots=True)
class _KeptRecord:
    offset: Offset
    record: Record
    read_at: float


class ControlFold:
    """Folds the log for control.

    Args:
        lease: The lease's fold.
        usage: The usage's fold.
        orders: The orders' fold.

    Attributes:
        offset: The last offset that was applied.
        is_ready: Whether the state is whole.
        snapshot_offset: The offset of the last snapshot that was read.
        snapshot_read_at: When it was read.

    Example:
        >>> fold = ControlFold()
        >>> claim = LeaseClaim(holder="e1", incarnation="i", follows=-1, duration=6)
        >>> fold.apply(Offset(0), claim, read_at=0.0)
        True
        >>> snapshot = fold.make_snapshot()
        >>> late = ControlFold()
        >>> late.apply(Offset(1), snapshot, read_at=9.0)
        False
        >>> late.is_ready, late.lease.holder
        (True, 'e1')
    """

    def __init__(
        self,
        *,
        lease: LeaseFold | None = None,
        usage: UsageFold | None = None,
        orders: OrderFold | None = None,
    ) -> None:
        self.lease = lease or LeaseFold()
        self.usage = usage or UsageFold()
        self.orders = orders or OrderFold()
        self.offset = NO_OFFSET
        self.is_ready = True
        self.snapshot_offset = NO_OFFSET
        self.snapshot_read_at = float("-inf")
        self.broken_snapshots = 0
        self._kept: deque[_KeptRecord] = deque(maxlen=MAX_KEPT_RECORDS)

    @property
    def weight_targets(self) -> dict[ServiceName, WeightVersion]:
        """The newest weight version ordered, by service."""
        return self.orders.weight_targets

    def skip_to(self, first_retained: Offset) -> None:
        """Learns that the log no longer holds records before an offset.

        Args:
            first_retained: The first offset that the log keeps.

        Example:
            >>> fold = ControlFold()
            >>> fold.skip_to(Offset(5))
            >>> fold.is_ready
            False
        """
        if first_retained <= self.offset + 1:
            return
        self.offset = Offset(first_retained - 1)
        self.is_ready = False
        self._kept.clear()

    def start_empty(self) -> None:
        """Starts without a snapshot, from the offset that was reached.

        For an operator, in one process only; the others start from its snapshot.
        It is needed when the system is first started on a log that has dropped
        records of others, or when every process was gone for longer than the log's
        retention: what was not reported by then is lost.

        Example:
            >>> fold = ControlFold()
            >>> fold.skip_to(Offset(5))
            >>> fold.start_empty()
            >>> fold.is_ready
            True
        """
        self.is_ready = True
        kept = list(self._kept)
        self._kept.clear()
        for item in kept:
            self._dispatch(item.offset, item.record, item.read_at)

    def apply(self, offset: Offset, record: Record, *, read_at: float) -> bool:
        """Applies the record at an offset.

        Args:
            offset: Its offset; one that was applied before does nothing.
            record: The record.
            read_at: When this reader read it, on its own clock.

        Returns:
            Whether a fold accepted the record.

        Example:
            >>> reported = UsageReported(window=0, term=1)
            >>> ControlFold().apply(Offset(0), reported, read_at=0.0)
            False
        """
        if offset <= self.offset:
            return False
        self.skip_to(offset)
        self.offset = offset
        if not self.is_ready:
            self._kept.append(_KeptRecord(offset, record, read_at))
            if isinstance(record, ControlSnapshot):
                self._start_from(offset, record, read_at)
            return False
        if isinstance(record, ControlSnapshot):
            self._note_snapshot(offset, read_at)
            return False
        return self._dispatch(offset, record, read_at)

    def make_snapshot(self) -> ControlSnapshot:
        """Makes a record from which another fold can start.

        Example:
            >>> ControlFold().make_snapshot().through
            -1
        """
        state = ControlState(
            lease=self.lease.state,
            usage=self.usage.make_state(),
            orders=self.orders.make_state(),
        )
        return ControlSnapshot(
            term=self.lease.term,
            through=self.offset,
            state=state.model_dump(mode="json"),
        )

    def _dispatch(self, offset: Offset, record: Record, read_at: float) -> bool:
        term = self.lease.term
        if isinstance(record, LeaseClaim | LeaseRenewal | LeaseRelease):
            return self.lease.apply(offset, record, read_at=read_at)
        if isinstance(record, UsageBatch | UsageRecovery | UsageSeal | UsageReported):
            return self.usage.apply(offset, record, term=term)
        if isinstance(record, OrderIntent | OrderOutcome):
            return self.orders.apply(offset, record, term=Term(term))
        return False

    def _start_from(
        self, offset: Offset, snapshot: ControlSnapshot, read_at: float
    ) -> None:
        if snapshot.through + 1 < self._kept[0].offset or snapshot.through >= offset:
            return
        try:
            state = ControlState.model_validate(snapshot.state)
        except ValidationError:
            self.broken_snapshots += 1
            return
        self.lease.load_state(state.lease, read_at=read_at)
        self.usage.load_state(state.usage)
        self.orders.load_state(state.orders)
        self.is_ready = True
        for kept in self._kept:
            if kept.offset > snapshot.through:
                self._dispatch(kept.offset, kept.record, kept.read_at)
        self._kept.clear()
        self._note_snapshot(offset, read_at)

    def _note_snapshot(self, offset: Offset, read_at: float) -> None:
        self.snapshot_offset = offset
        self.snapshot_read_at = read_at
