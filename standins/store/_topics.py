"""The log of the store's stand-in: topics, partitions, conditions, producers."""

import struct
import time
from collections import deque
from dataclasses import dataclass, field

LENGTH = struct.Struct(">I")
REMEMBERED_APPENDS = 5


@dataclass(slots=True)
class ProducerState:
    """A producer's newest epoch and sequence, and its last answers."""

    epoch: int
    sequence: int | None = None
    answers: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_APPENDS)
    )


@dataclass(slots=True)
class AppendRejectedError(Exception):
    """An append whose condition does not hold."""

    status: int
    fields: dict[str, object]


class Partition:
    """One partition.

    Example:
        >>> partition = Partition(keyed=False)
        >>> partition.append([b"a", b"b"])
        0
        >>> partition.end
        2
    """

    def __init__(self, *, keyed: bool) -> None:
        self.keyed = keyed
        self.first = 0
        self.records: list[tuple[float, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, ProducerState] = {}

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.records)

    def append(
        self,
        records: list[bytes],
        *,
        at: int | None = None,
        producer: str | None = None,
        epoch: int = 0,
        sequence: int = 0,
    ) -> int:
        """Appends records, all or none, and gives the first offset.

        Raises:
            AppendRejectedError: The end, epoch or sequence is not the one named.
        """
        if at is not None and at != self.end:
            raise AppendRejectedError(412, {"end": self.end})
        state = None
        if producer is not None:
            state = self.producers.setdefault(producer, ProducerState(epoch))
            if epoch < state.epoch:
                raise AppendRejectedError(409, {"why": "fenced"})
            if epoch > state.epoch:
                state = self.producers[producer] = ProducerState(epoch)
            for known, offset in state.answers:
                if known == sequence:
                    return offset
            expected = sequence if state.sequence is None else state.sequence + 1
            if records and sequence != expected:
                raise AppendRejectedError(409, {"why": "seq", "sequence": expected})
        offset = self.end
        for record in records:
            self._add(record)
        if state is not None and records:
            state.sequence = sequence
            state.answers.append((sequence, offset))
        return offset

    def _add(self, record: bytes) -> None:
        if self.keyed:
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append((time.monotonic(), record))

    def read(self, start: int) -> tuple[int, bytes]:
        """Reads from an offset on; gives the count and the encoded records."""
        chosen = [record for _, record in self.records[start - self.first :]]
        encoded = b"".join(LENGTH.pack(len(one)) + one for one in chosen)
        return len(chosen), encoded

    def drop_history(self, before: int | None = None) -> None:
        """Drops records; the newest of each key is kept for itself."""
        before = self.end if before is None else min(before, self.end)
        if before > self.first:
            del self.records[: before - self.first]
            self.first = before


class TopicStore:
    """All topics.

    Args:
        retention: Seconds for which records are kept.
    """

    def __init__(self, *, retention: float = 20.0) -> None:
        self.retention = retention
        self.partitions: dict[tuple[str, int], Partition] = {}

    def get(self, topic: str, part: int) -> Partition:
        """Gives a partition, made on first use, without expired records."""
        key = (topic, part)
        if key not in self.partitions:
            self.partitions[key] = Partition(keyed=topic.startswith("keyed."))
        partition = self.partitions[key]
        oldest = time.monotonic() - self.retention
        expired = sum(at < oldest for at, _ in partition.records)
        if expired:
            partition.drop_history(partition.first + expired)
        return partition


def split_records(body: bytes) -> list[bytes]:
    """Splits an append's body into records."""
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
