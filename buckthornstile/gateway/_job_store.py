"""Stores batch jobs and consumes the job records of all processes.

All jobs of a client account are in one partition, so that a process that runs a later
job also has the results and progress of the account's earlier jobs.
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

END_BOUND_FRACTION = 0.6
"""Fraction of ``job_end_bound`` that the age of a job's records may reach before no
request is sent for the job. The rest is for requests that are on their way: a run that
gets no event in ``FIRST_EVENT_TIMEOUT`` is reset."""
READS_PER_RECORD_AGE = 4
"""Minimum number of held reads that fit into the maximum age of a job's records. They
are up to two such reads old without any failure."""
MAX_JOB_PARTITIONS = 4
"""Maximum number of partitions in use: an entry has one open read for each."""
READ_MAX_WAIT = 0.4
"""Seconds for which the store may hold a read (long poll)."""
READ_INTERVAL = 0.03
"""Seconds between two reads, so that one read fetches several results."""
FIRST_EPOCH = 1
"""Epoch of the claim that is stored with a new job."""
ASSIGNMENT_CHECK_INTERVAL = 0.2
"""Seconds between two checks of which partitions to consume."""
UNASSIGN_DELAY = 8.0
"""Seconds for which a partition is still consumed after it was last needed."""
APPEND_TIMEOUT = 0.8
"""Seconds for one append; ten times the usual response time of a slow store."""
APPEND_RETRY_TIME = 2.5
"""Seconds during which an append is retried before the client gets an error."""
APPEND_OVERHEAD_BYTES = 16 << 10
"""Bytes of an append that are reserved for the lengths of its records."""
APPEND_RETRY_DELAY = 0.06
"""Seconds before a failed append is retried, by this process or the client."""


class JobStore:
    """Batch jobs in the store.

    Args:
        store: Client of the store.
        parts: Number of partitions of a topic.
        max_record_bytes: Maximum size of a record.
        max_append_bytes: Maximum size of an append.
        name: Name of this process.
        clock: Returns the time in seconds; must also advance during suspend.
        wall_clock: Returns the seconds since the Unix epoch.
        on_change: Called with a job after a record changed it.
        is_assigned: Whether a partition is assigned to this process.
        may_load: Whether this process may consume partitions now.
        max_record_age: Age in seconds from which a job's records are too old to send
            requests for the job, or 0 for no limit.
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
        max_record_age: float = 0.0,
    ) -> None:
        self.is_assigned = is_assigned
        self.may_load = may_load
        self.max_record_age = max_record_age
        self.store = store
        self.max_record_bytes = max_record_bytes
        self.max_append_bytes = max_append_bytes
        self.name = name
        self.clock = clock
        self.wall_clock = wall_clock
        self.table = JobTable(on_change)
        self._consumer_tasks: dict[int, asyncio.Task[None]] = {}
        self._requested_at: dict[int, float] = {}
        self.consumers = [
            self._create_consumer(part)
            for part in range(min(MAX_JOB_PARTITIONS, parts))
        ]

    def is_loaded(self) -> bool:
        """Whether all assigned partitions were read to their end once."""
        return self.may_load() and all(
            consumer.is_loaded
            for consumer in self.consumers
            if self.is_assigned(consumer.part)
        )

    def find_partition(self, account: AccountId) -> int:
        """Returns the partition that holds the jobs of an account."""
        return compute_rendezvous_score("jobs", account) % len(self.consumers)

    def is_consumed(self, part: int) -> bool:
        """Whether this process consumes a partition and has read it to its end once."""
        return part in self._consumer_tasks and self.consumers[part].is_loaded

    def request_partition(self, part: int) -> None:
        """Keeps a partition consumed for the next ``UNASSIGN_DELAY`` seconds."""
        self._requested_at[part] = self.clock()

    def get_staleness(self) -> float:
        """Returns the staleness of the stalest partition consumed, in seconds."""
        staleness = [
            self.consumers[part].get_staleness() for part in self._consumer_tasks
        ]
        return max(staleness, default=0.0)

    def was_read_to_end(self, job: Job) -> bool:
        """Whether the records of a job were complete at some time."""
        return self.consumers[job.part].synced_at >= 0.0

    def get_record_age(self, job: Job) -> float:
        """Returns the seconds since the known records of a job were complete."""
        return self.consumers[job.part].get_staleness()

    async def run(self) -> None:
        """Consumes the assigned and requested partitions until cancelled."""
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    if self.may_load():
                        self._update_consumers(group)
                    await asyncio.sleep(ASSIGNMENT_CHECK_INTERVAL)
            finally:
                for task in self._consumer_tasks.values():
                    task.cancel()
                self._consumer_tasks.clear()

    def _update_consumers(self, group: asyncio.TaskGroup) -> None:
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
                self._requested_at[consumer.part] = now
            is_needed = (
                now - self._requested_at.get(consumer.part, -UNASSIGN_DELAY)
                < UNASSIGN_DELAY
            )
            task = self._consumer_tasks.get(consumer.part)
            if is_needed and task is None:
                log_event("jobs.follow", part=consumer.part)
                task = group.create_task(consumer.run())
                self._consumer_tasks[consumer.part] = task
            elif not is_needed and task is not None:
                log_event("jobs.unfollow", part=consumer.part)
                self._consumer_tasks.pop(consumer.part).cancel()
                self.table.drop_partition(consumer.part)
                self.consumers[consumer.part] = self._create_consumer(consumer.part)

    async def accept(
        self,
        specification: JobSpecification,
        owner: ProcessName,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Stores a job with its first owner.

        Idempotent: a further call, in this or another process, stores nothing.

        Args:
            specification: The specification of the job.
            owner: The process that runs it first.
            before_send: Called just before each append; raises if the job must no
                longer be accepted.

        Raises:
            BuckthornstileError: The job is too large, or the append failed or its
                outcome is unknown, or the error of ``before_send``. The verdict is
                NOT_RUN only if the job is not stored and never will be.
        """
        claim = OwnerClaim(owner, FIRST_EPOCH)
        records = encode_specification(specification, self.max_record_bytes)
        records.append(encode_claim(specification.id, claim))
        size = sum(len(record.key) + len(record.value) for record in records)
        if size > self.max_append_bytes - APPEND_OVERHEAD_BYTES:
            raise BuckthornstileError(
                ErrorCode.BODY_TOO_LARGE,
                f"job {specification.id!r} needs {size} bytes in the store",
            )
        producer = Producer(specification.id, FIRST_EPOCH, 0)
        try:
            part = self.find_partition(specification.account)
            await self._append(
                part, records, producer, APPEND_RETRY_TIME, before_send=before_send
            )
        except AppendConflictError as error:
            # The job is stored already.
            log_event("job.known", job=specification.id, reason=error.message)

    async def end(
        self, job: Job, *, before_send: Callable[[], object] | None = None
    ) -> None:
        """Stores that the client ended a job.

        Args:
            job: The job.
            before_send: Called just before each append; raises if the job must no
                longer be ended.

        Raises:
            BuckthornstileError: The append failed or its outcome is unknown, or the
                error of ``before_send``.
        """
        ended_at = self.wall_clock()
        record = encode_end(job.id, ended_at)
        await self._append(
            job.part, [record], None, APPEND_RETRY_TIME, before_send=before_send
        )
        self.table.end(job, ended_at)

    async def claim(self, job: Job) -> None:
        """Tries to become the owner of a job.

        The records that are consumed later show which process succeeded.

        Raises:
            BuckthornstileError: The append failed or its outcome is unknown.
        """
        epoch = job.claim.epoch + 1 if job.claim else FIRST_EPOCH
        record = encode_claim(job.id, OwnerClaim(self.name, epoch))
        await self.append_once(job, [record], Producer(job.id, epoch, 0))

    async def append_once(
        self, job: Job, records: Sequence[JobRecord], producer: Producer | None
    ) -> None:
        """Appends records to the partition of a job, without a retry.

        Raises:
            AppendConflictError: Another process owns the job.
            PlatformUnavailableError: The append failed or its outcome is unknown.
        """
        consumer = self.consumers[job.part]
        encoded = [encode_keyed_record(record.key, record.value) for record in records]
        await self.store.append(
            JOB_TOPIC, consumer.part, encoded, producer=producer, timeout=APPEND_TIMEOUT
        )

    async def delete(self, job: Job) -> None:
        """Deletes all keys of a job whose results are no longer readable."""
        records = [JobRecord(key, b"") for key in sorted(job.keys)]
        await self.append_once(job, records, None)

    async def _append(
        self,
        part: int,
        records: Sequence[JobRecord],
        producer: Producer | None,
        retry_time: float,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        encoded = [encode_keyed_record(record.key, record.value) for record in records]
        retry_until = self.clock() + retry_time
        may_have_taken_effect = False
        while True:
            try:
                await self.store.append(
                    JOB_TOPIC,
                    part,
                    encoded,
                    producer=producer,
                    timeout=APPEND_TIMEOUT,
                    before_send=before_send,
                )
                return
            except PlatformUnavailableError as error:
                may_have_taken_effect |= error.may_have_taken_effect
                if self.clock() + APPEND_RETRY_DELAY >= retry_until:
                    verdict = Verdict.NOT_RUN
                    if may_have_taken_effect:
                        verdict = Verdict.MAY_HAVE_RUN
                    raise BuckthornstileError(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        f"the append to the store failed: {error.message}",
                        verdict=verdict,
                        retry_after=APPEND_RETRY_DELAY,
                    ) from error
            except AppendConflictError:
                raise
            except BuckthornstileError as error:
                if may_have_taken_effect:
                    error.verdict = Verdict.MAY_HAVE_RUN
                raise
            await asyncio.sleep(APPEND_RETRY_DELAY)

    def _get_read_wait(self) -> float:
        if not self.max_record_age:
            return READ_MAX_WAIT
        return min(READ_MAX_WAIT, self.max_record_age / READS_PER_RECORD_AGE)

    def _create_consumer(self, part: int) -> PartitionConsumer:
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
            except Exception as error:
                # In a snapshot, it would keep all jobs from being loaded.
                log_event("job.record_unreadable", key=record.key, reason=repr(error))

        def apply_snapshot(records: list[KeyedRecord]) -> None:
            for record in sorted(records, key=lambda record: record.offset):
                apply(record)

        return PartitionConsumer(
            self.store,
            JOB_TOPIC,
            part,
            clock=self.clock,
            max_wait=self._get_read_wait(),
            poll_interval=READ_INTERVAL,
            on_record=apply,
            on_snapshot=apply_snapshot,
            ordered=True,
        )
