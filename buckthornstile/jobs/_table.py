"""State of batch jobs; it is the same in every process that reads the same records."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from buckthornstile.base import AccountId
from buckthornstile.jobs._records import (
    END,
    OWNER,
    PROGRESS,
    RESULT,
    SPECIFICATION,
    OwnerClaim,
    RecordKey,
    decode_claim,
    decode_end,
    decode_progress,
    decode_result,
    decode_specification,
    list_value_keys,
    parse_key,
)
from buckthornstile.jobs._types import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
    StoredProgress,
)
from buckthornstile.messages import StreamEvent

MAX_OPEN_SECONDS = 600.0
"""Seconds for which a job that its client has not ended is kept; bounds the memory that
clients who never end their jobs take."""
EXPIRY_MARGIN_SECONDS = 30.0
"""Seconds for which a job is kept beyond the lifetime promised for its results."""


AccountItem = tuple[AccountId, ItemId]
"""A client account and an item that runs for it."""


@dataclass(slots=True)
class Job:
    """The state of a batch job.

    ``part`` is the number of its store partition. ``results`` are in the order of the
    records, and ``positions`` maps an item to the index of its result. ``started_at``
    is the time of submission and ``claimed_at`` the time at which the newest claim was
    read, both in seconds on this process's monotonic clock. ``ended_at`` is the time of
    the client's request to end the job, in seconds since the epoch on the clock of the
    process that received it, or None if unknown. ``progress`` holds the
    stored events of unfinished items by the number of the first event. ``keys`` are
    the keys of the job's records in the store.
    """

    specification: JobSpecification
    part: int
    started_at: float
    progress: dict[ItemId, dict[int, StoredProgress]] = field(default_factory=dict)
    claim: OwnerClaim | None = None
    claim_offset: int = -1
    claimed_at: float = -1e9
    ended: bool = False
    ended_at: float | None = None
    results: list[ItemResult] = field(default_factory=list)
    positions: dict[ItemId, int] = field(default_factory=dict)
    keys: set[str] = field(default_factory=set)
    items: dict[ItemId, JobItem] = field(default_factory=dict)
    change_callbacks: list[Callable[[], None]] = field(default_factory=list)

    @property
    def id(self) -> JobId:
        """Id of the job."""
        return self.specification.id

    def count_body_bytes(self) -> int:
        """Returns the size of the bodies of all items of an unfinished job, or 0."""
        if self.is_finished():
            return 0
        return self.specification.count_body_bytes()

    def iterate_pending_items(self) -> Iterator[JobItem]:
        """Yields the items without a result, in the order of submission."""
        for item in self.specification.items:
            if item.id not in self.positions:
                yield item

    def list_progress_keys(self, item: ItemId) -> list[str]:
        """Lists the keys of an item's progress records."""
        return [
            f"{PROGRESS}/{self.id}/{item}/{first}.1"
            for first in self.progress.get(item, {})
        ]

    def get_progress(self, item: ItemId) -> StoredProgress:
        """Returns the stored events of an item that an upstream can go on from.

        They end before the first missing event, and before the first one that another
        software version, or an unknown one, has generated.
        """
        chunks = self.progress.get(item, {})
        events: list[StreamEvent] = []
        first = chunks.get(0, StoredProgress())
        if first.software_version is None:
            return StoredProgress()
        while chunk := chunks.get(len(events)):
            if chunk.software_version != first.software_version:
                break
            events += chunk.events
        return StoredProgress(tuple(events), first.software_version)

    def count_stored_events(self, item: ItemId) -> int:
        """Returns the number of an item's events in all its progress records."""
        return sum(map(len, self.progress.get(item, {}).values()))

    def get_lifetime(self, minimum: float) -> float:
        """Returns the seconds from submission for which the results stay readable.

        Args:
            minimum: Minimum lifetime in seconds; a longer time limit extends it, and
                so does a client that has not ended the job.
        """
        lifetime = max(minimum, self.specification.time_limit)
        return lifetime if self.ended else max(lifetime, MAX_OPEN_SECONDS)

    def is_finished(self) -> bool:
        """Whether every item has a result or the job was ended early."""
        return self.ended or len(self.results) >= len(self.items)


@dataclass(slots=True)
class _ChunkedValue:
    count: int
    chunks: dict[int, bytes] = field(default_factory=dict)

    def join(self) -> bytes:
        return b"".join(self.chunks[index] for index in range(self.count))


class JobTable:
    """The batch jobs, computed from their records in the store.

    The first specification of a job id and the first result of an item are kept;
    later ones are ignored. The newest claim of a job is in effect; the store refuses
    a claim whose epoch is not higher than that of the claim before.

    Args:
        on_change: Called with a job after a record changed it.

    Example:
        >>> JobTable().find("j1") is None
        True
    """

    def __init__(self, on_change: Callable[[Job], None] | None = None) -> None:
        self.jobs: dict[JobId, Job] = {}
        self._complete_results: dict[AccountItem, tuple[JobItem, ItemResult]] = {}
        self._jobs_by_item: dict[AccountItem, set[JobId]] = {}
        self._on_change = on_change or (lambda _: None)
        self._incomplete_values: dict[str, _ChunkedValue] = {}
        self._early_records: dict[
            JobId, list[tuple[RecordKey, int, int, str, bytes]]
        ] = {}

    def count_unfinished_bytes(self) -> int:
        """Returns the size of the items' bodies of all unfinished jobs, in bytes."""
        return sum(job.count_body_bytes() for job in self.jobs.values())

    def find(self, job: JobId) -> Job | None:
        """Returns a job, or None if it is not known."""
        return self.jobs.get(job)

    def apply(
        self,
        part: int,
        offset: int,
        key: str,
        value: bytes | None,
        now: float,
        *,
        wall_time: float,
    ) -> None:
        """Applies one record.

        Args:
            part: Number of the partition of the record.
            offset: Offset of the record in the partition.
            key: Key of the record.
            value: Value of the record, or None if the key was deleted.
            now: Monotonic time in seconds.
            wall_time: Seconds since the epoch.

        Raises:
            ValueError: The key is not the key of a batch job record.
        """
        parsed = parse_key(key)
        if value is None:
            self._drop(parsed, key)
            return
        joined = self._join(parsed, key, value)
        if joined is None:
            return
        if parsed.kind == SPECIFICATION:
            self._apply_specification(parsed, part, key, joined, now, wall_time)
            return
        job = self.jobs.get(parsed.job)
        if job is None:
            # A record precedes its specification only when the newest record of
            # each key is read in pages, which are not in the order of the log.
            self._early_records.setdefault(parsed.job, []).append(
                (parsed, part, offset, key, joined)
            )
            return
        self._apply_to_job(job, parsed, offset, key, joined, now)

    def end(self, job: Job, ended_at: float) -> None:
        """Ends a job whose end is in the store, before its record is read.

        Args:
            job: The job.
            ended_at: Time of the client's request in seconds since the epoch.
        """
        if not job.ended:
            job.ended, job.ended_at = True, ended_at
            self._notify(job)

    def find_result(self, account: AccountId, item: JobItem) -> ItemResult | None:
        """Returns an account's complete result of the same item in any job, or None."""
        known = self._complete_results.get((account, item.id))
        return known[1] if known is not None and known[0] == item else None

    def list_progress(
        self, account: AccountId, item: JobItem
    ) -> dict[JobId, StoredProgress]:
        """Returns an account's stored progress of the same item in each of its jobs."""
        names = self._jobs_by_item.get((account, item.id), ())
        return {
            name: self.jobs[name].get_progress(item.id)
            for name in sorted(names)
            if self.jobs[name].items[item.id] == item
        }

    def drop_partition(self, part: int) -> None:
        """Removes the jobs of a partition that this process no longer reads."""
        for job in [job for job in self.jobs.values() if job.part == part]:
            del self.jobs[job.id]
            self._remove_items(job)

    def list_expired(self, now: float, lifetime: float) -> list[Job]:
        """Lists the jobs whose results need no longer be readable.

        Args:
            now: Monotonic time in seconds.
            lifetime: Minimum lifetime of results in seconds.
        """
        return [
            job
            for job in self.jobs.values()
            if now - job.started_at > job.get_lifetime(lifetime) + EXPIRY_MARGIN_SECONDS
        ]

    def _join(self, parsed: RecordKey, key: str, value: bytes) -> bytes | None:
        if parsed.chunk_count == 1:
            return value
        prefix = key.rpartition("/")[0]
        value_chunks = self._incomplete_values.setdefault(
            prefix, _ChunkedValue(parsed.chunk_count)
        )
        value_chunks.chunks[parsed.chunk_index] = value
        if len(value_chunks.chunks) < value_chunks.count:
            return None
        del self._incomplete_values[prefix]
        return value_chunks.join()

    def _apply_specification(
        self,
        parsed: RecordKey,
        part: int,
        key: str,
        value: bytes,
        now: float,
        wall_time: float,
    ) -> None:
        if parsed.job in self.jobs:
            return
        specification = decode_specification(parsed.job, value)
        age = max(0.0, wall_time - specification.submitted_at)
        job = Job(specification, part, now - age)
        job.items = {item.id: item for item in specification.items}
        job.keys.update(list_value_keys(key))
        self.jobs[parsed.job] = job
        for item in job.items:
            account_item = (specification.account, item)
            self._jobs_by_item.setdefault(account_item, set()).add(job.id)
        early = self._early_records.pop(parsed.job, [])
        for early_parsed, _, offset, early_key, joined in sorted(
            early, key=lambda record: record[2]
        ):
            self._apply_to_job(job, early_parsed, offset, early_key, joined, now)
        self._notify(job)

    def _apply_to_job(
        self,
        job: Job,
        parsed: RecordKey,
        offset: int,
        key: str,
        value: bytes,
        now: float,
    ) -> None:
        job.keys.update(list_value_keys(key))
        if parsed.kind == OWNER:
            claim = decode_claim(value)
            if offset > job.claim_offset:
                job.claim, job.claim_offset = claim, offset
                job.claimed_at = now
        elif parsed.kind == END:
            job.ended = True
            job.ended_at = decode_end(value)
        elif parsed.kind == PROGRESS and parsed.item in job.items:
            chunks = job.progress.setdefault(parsed.item, {})
            chunks[parsed.chunk_index] = decode_progress(value)
            return
        elif parsed.kind == RESULT and parsed.item in job.items:
            if parsed.item in job.positions:
                return
            result = decode_result(parsed.item, value)
            job.positions[parsed.item] = len(job.results)
            job.results.append(result)
            job.progress.pop(parsed.item, None)
            if result.state is ResultState.COMPLETE:
                account_item = (job.specification.account, parsed.item)
                self._complete_results[account_item] = (job.items[parsed.item], result)
        self._notify(job)

    def _drop(self, parsed: RecordKey, key: str) -> None:
        job = self.jobs.get(parsed.job)
        if job is None:
            return
        job.keys.discard(key)
        if parsed.kind == PROGRESS and parsed.item is not None:
            job.progress.get(parsed.item, {}).pop(parsed.chunk_index, None)
        if parsed.kind == SPECIFICATION:
            del self.jobs[parsed.job]
            self._remove_items(job)

    def _remove_items(self, job: Job) -> None:
        for item in job.items:
            account_item = (job.specification.account, item)
            jobs = self._jobs_by_item[account_item]
            jobs.discard(job.id)
            if not jobs:
                del self._jobs_by_item[account_item]
                self._complete_results.pop(account_item, None)

    def _notify(self, job: Job) -> None:
        change_callbacks, job.change_callbacks = job.change_callbacks, []
        for callback in change_callbacks:
            callback()
        self._on_change(job)
