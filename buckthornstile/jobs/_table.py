"""The fold of batch jobs, the same in every process that reads the same log."""

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
    decode_progress,
    decode_result,
    decode_specification,
    parse_key,
)
from buckthornstile.jobs._types import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
)
from buckthornstile.messages import StreamEvent

EXPIRY_MARGIN = 30.0
"""Seconds beyond a result's promised lifetime after which a job is dropped."""


OwnedItem = tuple[AccountId, ItemId]
"""An item and the client account that it runs for."""


@dataclass(slots=True)
class Job:
    """A batch job as folded; ``results`` are in the order of the log.

    ``started_at`` is this process's steady clock at the submission, ``claimed_at``
    when the newest claim was read.
    """

    specification: JobSpecification
    part: int
    started_at: float
    progress: dict[ItemId, dict[int, list[StreamEvent]]] = field(default_factory=dict)
    claim: OwnerClaim | None = None
    claim_offset: int = -1
    claimed_at: float = -1e9
    ended: bool = False
    results: list[ItemResult] = field(default_factory=list)
    positions: dict[ItemId, int] = field(default_factory=dict)
    keys: set[str] = field(default_factory=set)
    items: dict[ItemId, JobItem] = field(default_factory=dict)
    change_callbacks: list[Callable[[], None]] = field(default_factory=list)

    @property
    def id(self) -> JobId:
        """The job's id."""
        return self.specification.id

    def iterate_pending_items(self) -> Iterator[JobItem]:
        """Gives the items that are not listed, in the order of submission."""
        for item in self.specification.items:
            if item.id not in self.positions:
                yield item

    def list_progress_keys(self, item: ItemId) -> list[str]:
        """Lists the keys of an item's stored events."""
        return [
            f"{PROGRESS}/{self.id}/{item}/{first}.1"
            for first in self.progress.get(item, {})
        ]

    def get_progress(self, item: ItemId) -> list[StreamEvent]:
        """Gives the stored events of an item, as far as none is missing."""
        pieces = self.progress.get(item, {})
        events: list[StreamEvent] = []
        while len(events) in pieces:
            events += pieces[len(events)]
        return events

    def get_lifetime(self, least: float) -> float:
        """Seconds for which its results stay readable, of which it may need some."""
        return max(least, self.specification.time_limit)

    def is_finished(self) -> bool:
        """Whether every item is listed or its client ended the job."""
        return self.ended or len(self.results) >= len(self.items)


@dataclass(slots=True)
class _Parts:
    total: int
    pieces: dict[int, bytes] = field(default_factory=dict)

    def join(self) -> bytes:
        return b"".join(self.pieces[part] for part in range(self.total))


class JobTable:
    """Folds the records of batch jobs.

    The first specification of an id holds, and the first result of an item; a
    claim holds if its epoch is the next one.

    Args:
        on_change: Called with a job after a record changed it.

    Example:
        >>> JobTable().find("j1") is None
        True
    """

    def __init__(self, on_change: Callable[[Job], None] | None = None) -> None:
        self.jobs: dict[JobId, Job] = {}
        self._finished: dict[OwnedItem, tuple[JobItem, ItemResult]] = {}
        self._jobs_by_item: dict[OwnedItem, set[JobId]] = {}
        self._on_change = on_change or (lambda _: None)
        self._parts: dict[str, _Parts] = {}
        self._early: dict[JobId, list[tuple[RecordKey, int, int, str, bytes]]] = {}

    def find(self, job: JobId) -> Job | None:
        """Finds a job that is still kept."""
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
        """Folds one record.

        Args:
            part: The partition it came from.
            offset: Its offset there.
            key: Its key.
            value: Its value, or None if the key was dropped.
            now: The steady clock, in seconds.
            wall_time: Seconds since the epoch.

        Raises:
            ValueError: It is no record of a batch job.
        """
        parsed = parse_key(key)
        if value is None:
            self._drop(parsed, key)
            return
        whole = self._join(parsed, key, value)
        if whole is None:
            return
        if parsed.kind == SPECIFICATION:
            self._apply_specification(parsed, part, key, whole, now, wall_time)
            return
        job = self.jobs.get(parsed.job)
        if job is None:
            # Only pages of the newest records come in an order of their own.
            self._early.setdefault(parsed.job, []).append(
                (parsed, part, offset, key, whole)
            )
            return
        self._apply_to_job(job, parsed, offset, key, whole, now)

    def find_result(self, account: AccountId, item: JobItem) -> ItemResult | None:
        """Finds the result that any job of an account has of the same item."""
        known = self._finished.get((account, item.id))
        return known[1] if known is not None and known[0] == item else None

    def find_progress(self, account: AccountId, item: JobItem) -> list[StreamEvent]:
        """Finds the most that any job of an account has stored of an item's text."""
        found: list[StreamEvent] = []
        for name in self._jobs_by_item.get((account, item.id), ()):
            job = self.jobs[name]
            if job.items[item.id] == item:
                events = job.get_progress(item.id)
                found = events if len(events) > len(found) else found
        return found

    def drop_partition(self, part: int) -> None:
        """Forgets the jobs of a partition that is not followed any more."""
        for job in [job for job in self.jobs.values() if job.part == part]:
            del self.jobs[job.id]
            self._forget_items(job)

    def list_expired(self, now: float, lifetime: float) -> list[Job]:
        """Lists the jobs that nobody may ask for any more."""
        return [
            job
            for job in self.jobs.values()
            if now - job.started_at > job.get_lifetime(lifetime) + EXPIRY_MARGIN
        ]

    def _join(self, parsed: RecordKey, key: str, value: bytes) -> bytes | None:
        if parsed.chunk_count == 1:
            return value
        prefix = key.rpartition("/")[0]
        parts = self._parts.setdefault(prefix, _Parts(parsed.chunk_count))
        parts.pieces[parsed.chunk_index] = value
        if len(parts.pieces) < parts.total:
            return None
        del self._parts[prefix]
        return parts.join()

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
        job.keys.add(key)
        self.jobs[parsed.job] = job
        for item in job.items:
            owned = (specification.account, item)
            self._jobs_by_item.setdefault(owned, set()).add(job.id)
        early = self._early.pop(parsed.job, [])
        for one, _, offset, early_key, whole in sorted(early, key=lambda one: one[2]):
            self._apply_to_job(job, one, offset, early_key, whole, now)
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
        job.keys.add(key)
        if parsed.kind == OWNER:
            claim = decode_claim(value)
            if offset > job.claim_offset:
                job.claim, job.claim_offset = claim, offset
                job.claimed_at = now
        elif parsed.kind == END:
            job.ended = True
        elif parsed.kind == PROGRESS and parsed.item in job.items:
            pieces = job.progress.setdefault(parsed.item, {})
            pieces[parsed.chunk_index] = decode_progress(value)
            return
        elif parsed.kind == RESULT and parsed.item in job.items:
            if parsed.item in job.positions:
                return
            result = decode_result(parsed.item, value)
            job.positions[parsed.item] = len(job.results)
            job.results.append(result)
            job.progress.pop(parsed.item, None)
            if result.state is ResultState.COMPLETE:
                owned = (job.specification.account, parsed.item)
                self._finished[owned] = (job.items[parsed.item], result)
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
            self._forget_items(job)

    def _forget_items(self, job: Job) -> None:
        for item in job.items:
            owned = (job.specification.account, item)
            jobs = self._jobs_by_item[owned]
            jobs.discard(job.id)
            if not jobs:
                del self._jobs_by_item[owned]
                self._finished.pop(owned, None)

    def _notify(self, job: Job) -> None:
        change_callbacks, job.change_callbacks = job.change_callbacks, []
        for wake in change_callbacks:
            wake()
        self._on_change(job)
