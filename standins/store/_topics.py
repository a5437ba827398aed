"""Topics and partitions of the store's stand-in, held in memory."""

import struct
import time
from collections import deque
from dataclasses import dataclass, field

LENGTH_PREFIX = struct.Struct(">I")
DEDUPLICATION_WINDOW = 5  # appends of a producer


@dataclass(slots=True)
class ProducerState:
    """Latest epoch and sequence of a producer, and its recent appends.

    Attributes:
        epoch: Latest epoch.
        last_sequence: Sequence of the last append in this epoch, or None.
        recent_appends: Sequence and first offset of the last appends; a retry of one
            of them gets the same offset again.
    """

    epoch: int
    last_sequence: int | None = None
    recent_appends: deque[tuple[int, int]] = field(
        default_factory=lambda: deque(maxlen=DEDUPLICATION_WINDOW)
    )


@dataclass(slots=True)
class AppendRejectedError(Exception):
    """Raised for an append whose conditions do not hold.

    Attributes:
        status: HTTP status of the response.
        fields: JSON fields of the response.
    """

    status: int
    fields: dict[str, object]


class Partition:
    """An append-only sequence of records.

    Args:
        keyed: Whether each record has a key, so that the latest one of each key
            is kept.

    Attributes:
        first: Offset of the oldest record that is kept.
        records: Time of the append and content of each record.
        newest: Offset and value of the latest record of each key.
        producers: State of each producer, by name.

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
        """Offset of the next record."""
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
        """Appends all records, or none of them.

        Args:
            records: The records.
            at: If given, the append succeeds only at this end offset.
            producer: Name of a producer, whose repeated appends are deduplicated.
            epoch: Epoch of the producer; one below the latest is rejected.
            sequence: Sequence of this append in the epoch.

        Returns:
            Offset of the first record; for a duplicate, that of the first append.

        Raises:
            AppendRejectedError: The offset, epoch or sequence is not as expected.
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
            for recent_sequence, offset in state.recent_appends:
                if recent_sequence == sequence:
                    return offset
            expected_sequence = (
                sequence if state.last_sequence is None else state.last_sequence + 1
            )
            if records and sequence != expected_sequence:
                raise AppendRejectedError(
                    409, {"why": "seq", "sequence": expected_sequence}
                )
        offset = self.end
        for record in records:
            self._add(record)
        if state is not None and records:
            state.last_sequence = sequence
            state.recent_appends.append((sequence, offset))
        return offset

    def _add(self, record: bytes) -> None:
        if self.keyed:
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append((time.monotonic(), record))

    def read(self, start: int, max_bytes: int) -> bytes:
        """Returns the encoded records from an offset on.

        Args:
            start: Offset of the first record.
            max_bytes: Maximum size; one record is returned even if it is larger.
        """
        encoded: list[bytes] = []
        size = 0
        for _, record in self.records[start - self.first :]:
            size += LENGTH_PREFIX.size + len(record)
            if encoded and size > max_bytes:
                break
            encoded += [LENGTH_PREFIX.pack(len(record)), record]
        return b"".join(encoded)

    def drop_history(self, before_offset: int | None = None) -> None:
        """Removes the records below an offset, or all records.

        The latest record of each key stays in newest.
        """
        before_offset = (
            self.end if before_offset is None else min(before_offset, self.end)
        )
        if before_offset > self.first:
            del self.records[: before_offset - self.first]
            self.first = before_offset


class TopicStore:
    """All topics of the store.

    Args:
        retention: Seconds after which records are removed.
        max_record_bytes: Size above which a record is refused.
        max_append_bytes: Size above which an append is refused.
    """

    def __init__(
        self,
        *,
        retention: float = 20.0,
        max_record_bytes: int = 256 << 10,
        max_append_bytes: int = 2 << 20,
    ) -> None:
        self.retention = retention
        self.max_record_bytes = max_record_bytes
        self.max_append_bytes = max_append_bytes
        self.partitions: dict[tuple[str, int], Partition] = {}

    def get(self, topic: str, partition_index: int) -> Partition:
        """Returns a partition, created on first use, without its expired records."""
        key = (topic, partition_index)
        if key not in self.partitions:
            self.partitions[key] = Partition(keyed=topic.startswith("keyed."))
        partition = self.partitions[key]
        cutoff = time.monotonic() - self.retention
        expired = sum(appended_at < cutoff for appended_at, _ in partition.records)
        if expired:
            partition.drop_history(partition.first + expired)
        return partition


def decode_records(body: bytes) -> list[bytes]:
    """Decodes the length-prefixed records in the body of an append request."""
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        position += LENGTH_PREFIX.size
        records.append(body[position : position + length])
        position += length
    return records
