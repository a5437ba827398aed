"""Keeps batch jobs in the store and follows what others write of them.

All jobs of a client account stand in one partition, so that what an earlier job has
stored of an item is known where a later one brings it again.
"""

import asyncio
from collections.abc import Callable, Sequence

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
    ProcessName,
    Verdict,
)
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.jobs import (
    Job,
    JobRecord,
    JobSpecification,
    JobTable,
    OwnerClaim,
    encode_claim,
    encode_end,
    encode_specification,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    JOB_TOPIC,
    AppendConflictError,
    KeyedRecord,
    Producer,
    StoreClient,
    encode_keyed_record,
)
from buckthornstile.routing import compute_rendezvous_score

MAX_JOB_PARTS = 4
"""Partitions in use: each entry holds one read open for each."""
JOB_WAIT = 0.4
JOB_PAUSE = 0.03
"""Seconds between two reads, so that results are fetched several at once."""
FIRST_EPOCH = 1
FOLLOW_PERIOD = 0.2
"""Seconds between two looks at which partitions are to be followed."""
LINGER = 8.0
"""Seconds for which a partition is followed on after the last reason to."""
APPEND_TIMEOUT = 0.8
"""Seconds for one append; ten times a slow store's usual answer."""
ACCEPT_TIME = 2.5
"""Seconds in which an append is tried again before its client is answered."""
APPEND_ROOM = 16 << 10
"""Bytes of an append that lengths of records may take."""
REFUSED_PAUSE = 0.06
"""Seconds before an append that the store refused is made again."""


class JobStore:
    """Batch jobs in the store.

    Args:
        store: The store.
        parts: The partitions of a topic.
        max_record_bytes: The longest record.
        max_append_bytes: The most that one append takes.
        name: This process's name.
        clock: The time in seconds; it must go on while suspended.
        wall_clock: Seconds since the epoch.
        on_change: Called with a job after a record changed it.
        is_assigned: Tells whether this process is to follow a partition.
        may_load: Tells whether partitions may be loaded now.
    """

    def __init__(
        self,
        store: StoreClient,
        *,
        parts: int,
        max_record_bytes: int,
        max_append_bytes: int,
        name: ProcessName,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        on_change: Callable[[Job], None],
        is_assigned: Callable[[int], bool],
        may_load: Callable[[], bool],
    ) -> None:
        self.is_assigned = is_assigned
        self.may_load = may_load
        self.store = store
        self.max_record_bytes = max_record_bytes
        self.max_append_bytes = max_append_bytes
        self.name = name
        self.clock = clock
        self.wall_clock = wall_clock
        self.table = JobTable(on_change)
        self._following: dict[int, asyncio.Task[None]] = {}
        self._wanted_at: dict[int, float] = {}
        self.consumers = [
            self._make_tail(part) for part in range(min(MAX_JOB_PARTS, parts))
        ]

    def is_loaded(self) -> bool:
        """Whether all partitions that are followed were read once."""
        return self.may_load() and all(
            consumer.is_loaded
            for consumer in self.consumers
            if self.is_assigned(consumer.part)
        )

    def find_partition(self, account: AccountId) -> int:
        """Finds the partition that holds an account's jobs."""
        return compute_rendezvous_score("jobs", account) % len(self.consumers)

    def is_consumed(self, part: int) -> bool:
        """Whether a partition is followed here and was read once."""
        return part in self._following and self.consumers[part].is_loaded

    def request_partition(self, part: int) -> None:
        """Asks for a partition to be followed for a while."""
        self._wanted_at[part] = self.clock()

    def get_staleness(self) -> float:
        """Seconds since the oldest of the followed partitions was read."""
        ages = [self.consumers[part].get_staleness() for part in self._following]
        return max(ages, default=0.0)

    async def run(self) -> None:
        """Follows the partitions that it is to follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    if self.may_load():
                        self._adjust(group)
                    await asyncio.sleep(FOLLOW_PERIOD)
            finally:
                for task in self._following.values():
                    task.cancel()
                self._following.clear()

    def _adjust(self, group: asyncio.TaskGroup) -> None:
        now = self.clock()
        owned = {
            job.part
            for job in self.table.jobs.values()
            if job.claim is not None
            and job.claim.owner == self.name
            and not job.is_finished()
        }
        for consumer in self.consumers:
            if self.is_assigned(consumer.part) or consumer.part in owned:
                self._wanted_at[consumer.part] = now
            is_wanted = now - self._wanted_at.get(consumer.part, -LINGER) < LINGER
            task = self._following.get(consumer.part)
            if is_wanted and task is None:
                log_event("jobs.follow", part=consumer.part)
                task = group.create_task(consumer.run())
                self._following[consumer.part] = task
            elif not is_wanted and task is not None:
                log_event("jobs.unfollow", part=consumer.part)
                self._following.pop(consumer.part).cancel()
                self.table.drop_partition(consumer.part)
                self.consumers[consumer.part] = self._make_tail(consumer.part)

    async def accept(self, specification: JobSpecification, owner: ProcessName) -> None:
        """Stores a job with its first owner.

        Repeats, here and at other processes, store nothing more.

        Raises:
            BuckthornstileError: It is not known to be stored; the verdict is
                NOT_RUN only if it will never be.
        """
        claim = OwnerClaim(owner, FIRST_EPOCH)
        records = encode_specification(specification, self.max_record_bytes)
        records.append(encode_claim(specification.id, claim))
        size = sum(len(one.key) + len(one.value) for one in records)
        if size > self.max_append_bytes - APPEND_ROOM:
            raise BuckthornstileError(
                ErrorCode.BODY_TOO_LARGE,
                f"job {specification.id!r} takes {size} bytes in the store",
            )
        producer = Producer(specification.id, FIRST_EPOCH, 0)
        try:
            part = self.find_partition(specification.account)
            await self._append(part, records, producer, ACCEPT_TIME)
        except AppendConflictError as error:
            log_event("job.known", job=specification.id, reason=error.message)

    async def end(self, job: Job) -> None:
        """Stores that a job's client ended it.

        Raises:
            BuckthornstileError: It is not known to be stored.
        """
        await self._append(job.part, [encode_end(job.id)], None, ACCEPT_TIME)

    async def claim(self, job: Job) -> None:
        """Tries to become the owner of a job; the log tells who did.

        Raises:
            BuckthornstileError: The claim is not known to be stored.
        """
        epoch = job.claim.epoch + 1 if job.claim else FIRST_EPOCH
        record = encode_claim(job.id, OwnerClaim(self.name, epoch))
        await self.append_once(job, [record], Producer(job.id, epoch, 0))

    async def append_once(
        self, job: Job, records: Sequence[JobRecord], producer: Producer | None
    ) -> None:
        """Makes one append.

        Raises:
            AppendConflictError: Another process owns the job.
            PlatformUnavailableError: The outcome is not known, or it was refused.
        """
        consumer = self.consumers[job.part]
        encoded = [encode_keyed_record(one.key, one.value) for one in records]
        await self.store.append(
            JOB_TOPIC, consumer.part, encoded, producer=producer, timeout=APPEND_TIMEOUT
        )

    async def drop(self, job: Job) -> None:
        """Drops all keys of a job that nobody may ask for any more."""
        records = [JobRecord(key, b"") for key in sorted(job.keys)]
        await self.append_once(job, records, None)

    async def _append(
        self,
        part: int,
        records: Sequence[JobRecord],
        producer: Producer | None,
        time: float,
    ) -> None:
        encoded = [encode_keyed_record(one.key, one.value) for one in records]
        give_up_at = self.clock() + time
        may_have_taken_effect = False
        while True:
            try:
                await self.store.append(
                    JOB_TOPIC,
                    part,
                    encoded,
                    producer=producer,
                    timeout=APPEND_TIMEOUT,
                )
                return
            except PlatformUnavailableError as error:
                may_have_taken_effect |= error.may_have_taken_effect
                if self.clock() + REFUSED_PAUSE >= give_up_at:
                    verdict = Verdict.NOT_RUN
                    if may_have_taken_effect:
                        verdict = Verdict.MAY_HAVE_RUN
                    raise BuckthornstileError(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        f"the store did not take it: {error.message}",
                        verdict=verdict,
                        retry_after=REFUSED_PAUSE,
                    ) from error
            await asyncio.sleep(REFUSED_PAUSE)

    def _make_tail(self, part: int) -> PartitionConsumer:
        def apply(record: KeyedRecord) -> None:
            try:
                self.table.apply(
                    part,
                    record.offset,
                    record.key,
                    record.value,
                    self.clock(),
                    wall_time=self.wall_clock(),
                )
            except (ValueError, KeyError, TypeError) as error:
                log_event("job.record_unreadable", key=record.key, reason=error)

        def apply_newest(records: list[KeyedRecord]) -> None:
            for record in sorted(records, key=lambda one: one.offset):
                apply(record)

        return PartitionConsumer(
            self.store,
            JOB_TOPIC,
            part,
            clock=self.clock,
            max_wait=JOB_WAIT,
            poll_interval=JOB_PAUSE,
            on_record=apply,
            on_snapshot=apply_newest,
            ordered=True,
        )
