"""The lease of the process that orders model loads and reports usage.

The state of the lease is computed from the records of one store partition. Every
append states the end offset that its writer knows, and the store refuses it if the
partition has grown since. Of several concurrent claims only one is therefore
written, and a delayed append is refused. The term is the offset of the claim.

The holder may act until ``VALIDITY_FRACTION`` of the turn bound has passed since it
*sent* its newest acknowledged claim or renewal. Other processes claim the lease when
they have *read* no lease record for ``CLAIM_TIMEOUT_FRACTION`` of the turn bound. Two
successive changes of the holder therefore take longer than the turn bound.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from buckthornstile.base import ProcessName, parse_json

DUTY_TOPIC = "duties"
CLAIM_TIMEOUT_FRACTION = 0.75
"""Fraction of the turn bound without a lease record after which others claim."""
VALIDITY_FRACTION = 0.35
"""Fraction of the turn bound for which a renewal lets its holder act."""
RENEWAL_INTERVAL_FRACTION = 0.14
"""Fraction of the turn bound from a renewal until the next one is due.

The lease outlasts two of these intervals, so that a failed renewal can be retried.
"""


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A claim of the lease (no term), or a renewal of the given term."""

    holder: ProcessName
    term: int | None = None


@dataclass(frozen=True, slots=True)
class SealRecord:
    """Final counts of a usage window, and whether the platform has received them."""

    window: int
    counts: Mapping[str, int]
    is_reported: bool = False


DutyRecord = LeaseRecord | SealRecord


def encode_duty_record(record: DutyRecord) -> bytes:
    """Encodes a duty record for the store."""
    if isinstance(record, LeaseRecord):
        return json.dumps(["lease", record.holder, record.term]).encode()
    data = ["seal", record.window, dict(record.counts), record.is_reported]
    return json.dumps(data).encode()


def decode_duty_record(data: bytes) -> DutyRecord:
    """Decodes a duty record.

    Raises:
        ValueError: The data is not an encoded duty record.
    """
    try:
        kind, *rest = parse_json(data)
        if kind == "lease":
            holder, term = rest
            return LeaseRecord(ProcessName(holder), term)
        if kind == "seal":
            window, counts, is_reported = rest
            return SealRecord(int(window), dict(counts), bool(is_reported))
    except TypeError as error:
        raise ValueError(f"invalid duty record: {error}") from error
    raise ValueError(f"duty record has unknown kind {kind!r}")


class DutyState:
    """The lease holder and the sealed usage windows, computed from duty records.

    Args:
        clock: Returns the time in seconds; it must advance while the VM is suspended.

    Example:
        >>> state = DutyState(lambda: 0.0)
        >>> state.apply(4, LeaseRecord("e1"))
        >>> state.holder, state.term
        ('e1', 4)
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.holder: ProcessName | None = None
        self.term = -1
        self.end_offset = 0
        self.lease_offset = -1
        self.last_record_at: float | None = None
        self.seals: dict[int, SealRecord] = {}

    def apply(self, offset: int, record: DutyRecord) -> None:
        """Applies the record at an offset.

        The counts of a window's first seal are kept; later seals can only mark the
        window as reported. A renewal of a term that has been replaced has no effect,
        nor has a lease record at an offset before that of a known one.
        """
        self.end_offset = max(self.end_offset, offset + 1)
        if isinstance(record, SealRecord):
            known = self.seals.get(record.window)
            if known is None:
                self.seals[record.window] = record
            elif record.is_reported:
                self.seals[record.window] = SealRecord(known.window, known.counts, True)
            return
        if offset <= self.lease_offset or not self.accepts(record):
            return
        self.lease_offset = offset
        self.last_record_at = self.clock()
        self.holder = record.holder
        self.term = offset if record.term is None else record.term

    def accepts(self, record: LeaseRecord) -> bool:
        """Whether a new lease record is a claim, or renews a term still in effect.

        A term that is higher than the known one is that of a claim which the store has
        dropped.
        """
        if record.term is None or record.term > self.term:
            return True
        return record.term == self.term and record.holder == self.holder

    def reset_last_record_at(self) -> None:
        """Restarts the claim timeout after a store outage.

        No records arrive during an outage, so their absence does not show that the
        holder has failed.
        """
        if self.last_record_at is not None:
            self.last_record_at = self.clock()


class Lease:
    """The lease as seen by this process, and the claims and renewals that are due.

    Args:
        name: This process's name.
        state: The state computed from the duty records.
        clock: Returns the time in seconds; it must advance while the VM is suspended.
        turn_bound: Seconds within which the lease cannot pass from one process to
            another and back.
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
        """Whether this process holds a valid lease and may act now."""
        is_own = (
            self.state.holder == self.name and self.state.term == self._renewed_term
        )
        age = self.clock() - self._renewed_at
        return is_own and age < VALIDITY_FRACTION * self.turn_bound

    def get_remaining_time(self) -> float:
        """Returns the seconds for which this process may still act."""
        return self._renewed_at + VALIDITY_FRACTION * self.turn_bound - self.clock()

    def get_due_record(self) -> LeaseRecord | None:
        """Returns the claim or renewal that should be appended now, or None."""
        now = self.clock()
        if self.state.holder == self.name:
            is_due = (
                now - self._renewed_at >= RENEWAL_INTERVAL_FRACTION * self.turn_bound
            )
            is_due = is_due or self._renewed_term != self.state.term
            return LeaseRecord(self.name, self.state.term) if is_due else None
        last_record_at = self.state.last_record_at
        if (
            last_record_at is None
            or now - last_record_at >= CLAIM_TIMEOUT_FRACTION * self.turn_bound
        ):
            return LeaseRecord(self.name)
        return None

    def record_acknowledged(
        self, record: LeaseRecord, offset: int, sent_at: float
    ) -> None:
        """Records that the store acknowledged a lease record of this process.

        Args:
            record: The acknowledged record.
            offset: Its offset in the partition.
            sent_at: Clock time in seconds at which it was sent.
        """
        self.state.apply(offset, record)
        term = offset if record.term is None else record.term
        # Records of others may have been read before this acknowledgement.
        if self.state.term == term:
            self._renewed_at = sent_at
            self._renewed_term = term
