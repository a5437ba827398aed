"""The lease of the one process that orders upstreams and reports usage.

The lease is a fold of one partition of the store. Every append names the end that
its writer knows, so of several claims one is written, and one that the store
carries out late finds the partition grown. The term is the offset of the claim.

A holder acts only for ``ACT_SHARE`` of the turn bound after it *sent* its newest
acknowledged renewal; others claim after ``SILENCE_SHARE`` of it without a record,
counted from when they *read* the last one. Two changes of the holder thus take
longer than the turn bound.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from buckthornstile.base import ProcessName

DUTY_TOPIC = "duties"
SILENCE_SHARE = 0.75
ACT_SHARE = 0.35
RENEW_SHARE = 0.14
"""Share of the turn bound between two renewals: two may fail before the act ends."""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A claim, or a renewal of the term that it names."""

    holder: ProcessName
    term: int | None = None


@dataclass(frozen=True, slots=True)
class SealRecord:
    """The final counts of a usage window, and whether the platform has them."""

    window: int
    counts: Mapping[str, int]
    is_reported: bool = False


DutyRecord = LeaseRecord | SealRecord


def encode_duty_record(record: DutyRecord) -> bytes:
    """Encodes a record."""
    if isinstance(record, LeaseRecord):
        return json.dumps(["lease", record.holder, record.term]).encode()
    data = ["seal", record.window, dict(record.counts), record.is_reported]
    return json.dumps(data).encode()


def decode_duty_record(data: bytes) -> DutyRecord:
    """Decodes a record.

    Raises:
        ValueError: It does not have the agreed form.
    """
    try:
        kind, *rest = json.loads(data)
        if kind == "lease":
            holder, term = rest
            return LeaseRecord(ProcessName(holder), term)
        if kind == "seal":
            window, counts, is_reported = rest
            return SealRecord(int(window), dict(counts), bool(is_reported))
    except TypeError as error:
        raise ValueError(f"duty record: {error}") from error
    raise ValueError(f"duty record: kind {kind!r} is not known")


class DutyState:
    """Folds the records: who holds the lease, and which windows are sealed.

    Args:
        clock: Gives the time in seconds; it must go on while suspended.

    Example:
        >>> fold = DutyState(lambda: 0.0)
        >>> fold.apply(4, LeaseRecord("e1"))
        >>> fold.holder, fold.term
        ('e1', 4)
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.holder: ProcessName | None = None
        self.term = -1
        self.end_offset = 0
        self.last_record_at: float | None = None
        self.seals: dict[int, SealRecord] = {}

    def apply(self, offset: int, record: DutyRecord) -> None:
        """Folds a record."""
        self.end_offset = max(self.end_offset, offset + 1)
        if isinstance(record, SealRecord):
            known = self.seals.get(record.window)
            if known is None:
                self.seals[record.window] = record
            elif record.is_reported:
                self.seals[record.window] = SealRecord(known.window, known.counts, True)
            return
        self.last_record_at = self.clock()
        self.holder = record.holder
        self.term = offset if record.term is None else record.term

    def reset_last_record_at(self) -> None:
        """Notes that the store was away: its silence then was no holder's."""
        if self.last_record_at is not None:
            self.last_record_at = self.clock()


class Lease:
    """Whether this process holds the lease, and when it should write.

    Args:
        name: This process's name.
        state: The fold of the records.
        clock: Gives the time in seconds; it must go on while suspended.
        turn_bound: Seconds in which the holder may not change there and back.
    """

    def __init__(
        self,
        name: ProcessName,
        state: DutyState,
        *,
        clock: Callable[[], float],
        turn_bound: float,
    ) -> None:
        self.name = name
        self.state = state
        self.clock = clock
        self.turn_bound = turn_bound
        self._renewed_at = -1e9
        self._renewed_term = -1

    def is_held(self) -> bool:
        """Whether this process may act now."""
        is_own = (
            self.state.holder == self.name and self.state.term == self._renewed_term
        )
        age = self.clock() - self._renewed_at
        return is_own and age < ACT_SHARE * self.turn_bound

    def get_remaining_time(self) -> float:
        """Seconds for which this process may still act."""
        return self._renewed_at + ACT_SHARE * self.turn_bound - self.clock()

    def get_due_record(self) -> LeaseRecord | None:
        """Gives the record that should be appended now, if any."""
        now = self.clock()
        if self.state.holder == self.name:
            is_due = now - self._renewed_at >= RENEW_SHARE * self.turn_bound
            is_due = is_due or self._renewed_term != self.state.term
            return LeaseRecord(self.name, self.state.term) if is_due else None
        seen_at = self.state.last_record_at
        if seen_at is None or now - seen_at >= SILENCE_SHARE * self.turn_bound:
            return LeaseRecord(self.name)
        return None

    def record_acknowledged(
        self, record: LeaseRecord, offset: int, sent_at: float
    ) -> None:
        """Notes that a record of this process was acknowledged."""
        self.state.apply(offset, record)
        self._renewed_at = sent_at
        self._renewed_term = self.state.term
