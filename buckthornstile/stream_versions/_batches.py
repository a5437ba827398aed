"""The records that one entry writes, in batches."""

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import NewType

from buckthornstile.stream_versions._records import encode_batch, estimate_size
from buckthornstile.stream_versions._types import StreamRecord

MAX_BATCH_RECORDS = 500
MAX_REMOVALS = 100
"""Number of keys that are removed in the same call as a new batch."""
MIN_BATCH_INTERVAL = 0.05
"""Minimum seconds between the starts of two batches of one entry."""
WRITE_SHARE = 0.25
"""Share of the store's write rate that the batches of all entries take at most."""
REMOVAL_DELAY = 10.0
"""Seconds after which expired batches are removed without a new batch."""


Ticket = NewType("Ticket", int)
"""Number of records that an entry had added when it added one, with that one."""


@dataclass(frozen=True, slots=True)
class BatchAppend:
    """One append to the store: keys with values; an empty value removes a key.

    It is repeated without a change until the store has acknowledged it: a changed batch
    under the same key could be overwritten by the first one, executed late.
    """

    pairs: tuple[tuple[str, bytes], ...]
    record_count: int


def compute_batch_interval(entry_count: int, writes_per_second: float) -> float:
    """Returns the seconds between two batches of an entry.

    Args:
        entry_count: Number of entries that may be writing.
        writes_per_second: Write calls that the store accepts from all of them.

    Example:
        >>> compute_batch_interval(88, 1600.0)
        0.22
    """
    return max(MIN_BATCH_INTERVAL, entry_count / (WRITE_SHARE * writes_per_second))


class RecordBatches:
    """Collects an entry's records into batches under keys of its own.

    Args:
        name: Name of the entry, which starts the keys.
        max_batch_bytes: Maximum size of a batch.

    Example:
        >>> batches = RecordBatches("e1", max_batch_bytes=4096)
        >>> batches.get_append(0.0) is None
        True
    """

    def __init__(self, name: str, *, max_batch_bytes: int) -> None:
        self.name = name
        self.max_batch_bytes = max_batch_bytes
        self._pending: deque[StreamRecord] = deque()
        self._added_count = 0
        self._confirmed_count = 0
        self._next_number = 0
        self._current: BatchAppend | None = None
        # When each batch in the store is over, and its number of records.
        self._live: dict[str, tuple[float, int]] = {}
        # Keys to remove, and since when.
        self._expired: dict[str, float] = {}

    def count_records(self) -> int:
        """Returns the number of records that wait or are in the store."""
        return len(self._pending) + sum(count for _, count in self._live.values())

    def add(self, record: StreamRecord) -> Ticket:
        """Adds a record, and returns the ticket that tells when it is in the store."""
        self._pending.append(record)
        self._added_count += 1
        return Ticket(self._added_count)

    def is_confirmed(self, ticket: Ticket) -> bool:
        """Whether the store has acknowledged the record of a ticket."""
        return ticket <= self._confirmed_count

    def get_append(self, now: float) -> BatchAppend | None:
        """Returns the append that is due, the same one until it is confirmed."""
        if self._current is None:
            self._current = self._make_append(now)
        return self._current

    def confirm(self, append: BatchAppend) -> None:
        """Records that the store has acknowledged an append."""
        self._confirmed_count += append.record_count
        for key, value in append.pairs:
            if not value:
                self._expired.pop(key, None)
        self._current = None

    def reclaim(self, key: str, now: float) -> None:
        """Removes an own key that a late write has put back into the store."""
        writer, _, number = key.rpartition("/")
        if writer != self.name or not number.isdecimal():
            return
        if int(number) < self._next_number and key not in self._live:
            self._expired.setdefault(key, now)

    def _make_append(self, now: float) -> BatchAppend | None:
        for key, (expires_at, _) in list(self._live.items()):
            if expires_at <= now:
                del self._live[key]
                self._expired[key] = now
        removals = [(key, b"") for key in islice(self._expired, MAX_REMOVALS)]
        records = self._take_records()
        if not records:
            oldest = min(self._expired.values(), default=now)
            is_due = now - oldest > REMOVAL_DELAY
            return BatchAppend(tuple(removals), 0) if is_due else None
        key = f"{self.name}/{self._next_number}"
        self._next_number += 1
        self._live[key] = (
            now + max(record.lifetime for record in records),
            len(records),
        )
        pairs = ((key, encode_batch(records)), *removals)
        return BatchAppend(pairs, len(records))

    def _take_records(self) -> list[StreamRecord]:
        taken: list[StreamRecord] = []
        size = 0
        while self._pending and len(taken) < MAX_BATCH_RECORDS:
            size += estimate_size(self._pending[0])
            if taken and size > self.max_batch_bytes:
                break
            taken.append(self._pending.popleft())
        return taken
