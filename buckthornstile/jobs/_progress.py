"""Stored progress of an item: which to go on from, and how to replace it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from buckthornstile.jobs._records import (
    JobRecord,
    count_events_for_record,
    encode_progress,
)
from buckthornstile.jobs._types import ItemId, JobId, StoredProgress

MAX_EVENTS_PER_RECORD = 50
DEFAULT_MAX_RECORD_BYTES = 256 << 10


def choose_progress(
    candidates: Iterable[StoredProgress],
    *,
    minimum_version: int,
    requires_single_version: bool,
    can_go_on: Callable[[StoredProgress], bool] = lambda progress: False,
) -> StoredProgress:
    """Returns the stored events that an item should go on from.

    Args:
        candidates: The stored events of each earlier run of the item.
        minimum_version: Oldest weight version that is allowed.
        requires_single_version: Whether one version must produce all events.
        can_go_on: Whether an upstream in service can go on from the events; such events
            are preferred.

    Returns:
        The longest allowed events, or none.

    Example:
        >>> from buckthornstile.messages import StreamEvent
        >>> old = StoredProgress((StreamEvent(1, "a", 1),) * 3, "1.4")
        >>> new = StoredProgress((StreamEvent(1, "b", 1),), "1.5")
        >>> choose_progress(
        ...     [old, new],
        ...     minimum_version=1,
        ...     requires_single_version=False,
        ...     can_go_on=lambda progress: progress.software_version == "1.5",
        ... ) == new
        True
    """
    chosen = StoredProgress()
    chosen_rank = (False, 0)
    for progress in candidates:
        versions = {event.version for event in progress.events}
        if not versions or min(versions) < minimum_version:
            continue
        if progress.software_version is None:
            continue
        if requires_single_version and len(versions) > 1:
            continue
        rank = (can_go_on(progress), len(progress))
        if rank > chosen_rank:
            chosen, chosen_rank = progress, rank
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
        self, progress: StoredProgress, min_events: int
    ) -> list[JobRecord]:
        """Returns the records that bring the store up to date.

        Records of discarded events are deleted first, so that a reader never joins
        the events of two runs. Events from one on that fits no record are not stored.

        Args:
            progress: All events of the item.
            min_events: Minimum number of new events for them to be stored.
        """
        records = [JobRecord(key, b"") for key in sorted(self.stale_keys)]
        self.stale_keys.clear()
        if len(progress) - self.event_count < min_events:
            return records
        while self.event_count < len(progress):
            end = self.event_count + MAX_EVENTS_PER_RECORD
            new = replace(progress, events=progress.events[self.event_count : end])
            count = count_events_for_record(new, self.max_record_bytes)
            if not count:
                break
            new = replace(new, events=new.events[:count])
            record = encode_progress(self.job, self.item, self.event_count, new)
            self.keys.add(record.key)
            records.append(record)
            self.event_count += len(new)
        return records
