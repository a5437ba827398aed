"""Stored progress of an item: which to go on from, and how to replace it."""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from buckthornstile.jobs._records import (
    JobRecord,
    count_events_for_record,
    encode_progress,
)
from buckthornstile.jobs._types import ItemId, JobId
from buckthornstile.messages import StreamEvent

MAX_EVENTS_PER_RECORD = 50
DEFAULT_MAX_RECORD_BYTES = 256 << 10


def choose_progress(
    candidates: Iterable[Sequence[StreamEvent]],
    *,
    minimum_version: int,
    requires_single_version: bool,
    held_versions: Collection[int] = (),
) -> Sequence[StreamEvent]:
    """Returns the stored events that an item should go on from.

    Args:
        candidates: The stored events of each earlier run of the item.
        minimum_version: Oldest weight version that is allowed.
        requires_single_version: Whether one version must produce all events.
        held_versions: Versions that upstreams hold; where a single version is
            required, events of these versions are preferred.

    Returns:
        The longest allowed events, or an empty sequence if there are none.

    Example:
        >>> old, new = [StreamEvent(1, "a", 1)] * 3, [StreamEvent(1, "b", 2)]
        >>> choose_progress(
        ...     [old, new],
        ...     minimum_version=1,
        ...     requires_single_version=True,
        ...     held_versions={2},
        ... ) == new
        True
    """
    chosen: Sequence[StreamEvent] = ()
    chosen_rank = (False, 0)
    for events in candidates:
        versions = {event.version for event in events}
        if not versions or min(versions) < minimum_version:
            continue
        if requires_single_version and len(versions) > 1:
            continue
        is_held = requires_single_version and versions <= set(held_versions)
        rank = (is_held, len(events))
        if rank > chosen_rank:
            chosen, chosen_rank = events, rank
    return chosen


@dataclass(slots=True)
class ProgressCheckpoint:
    """What the store holds of the progress of one item in one job.

    Args:
        job: Id of the job.
        item: Id of the item.
        max_record_bytes: Maximum size of a record.
        event_count: Number of events stored, or being stored.
        keys: Keys of the records that hold them.
        stale_keys: Keys of records whose events were discarded.
    """

    job: JobId
    item: ItemId
    max_record_bytes: int = DEFAULT_MAX_RECORD_BYTES
    event_count: int = 0
    keys: set[str] = field(default_factory=set)
    stale_keys: set[str] = field(default_factory=set)

    def discard(self) -> None:
        """Marks everything that is stored as discarded."""
        self.stale_keys |= self.keys
        self.keys.clear()
        self.event_count = 0

    def make_records(
        self, events: Sequence[StreamEvent], min_events: int
    ) -> list[JobRecord]:
        """Returns the records that bring the store up to date.

        Records of discarded events are deleted first, so that a reader never joins
        the events of two runs. Events from one on that fits no record are not stored.

        Args:
            events: All events of the item.
            min_events: Minimum number of new events for them to be stored.
        """
        records = [JobRecord(key, b"") for key in sorted(self.stale_keys)]
        self.stale_keys.clear()
        if len(events) - self.event_count < min_events:
            return records
        while self.event_count < len(events):
            end = self.event_count + MAX_EVENTS_PER_RECORD
            new_events = events[self.event_count : end]
            count = count_events_for_record(new_events, self.max_record_bytes)
            if not count:
                break
            new_events = new_events[:count]
            record = encode_progress(self.job, self.item, self.event_count, new_events)
            self.keys.add(record.key)
            records.append(record)
            self.event_count += len(new_events)
        return records
