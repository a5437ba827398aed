"""Keeps batch jobs in the store and follows what others write of them."""

import asyncio
from collections.abc import Callable, Sequence

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    PlatformUnavailableError,
    ProcessName,
    Verdict,
)
from buckthornstile.jobs import (
    Job,
    JobId,
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
    AppendRefusedError,
    Producer,
    StoreClient,
    StoredRecord,
    encode_keyed_record,
)
from buckthornstile.routing import compute_score
from buckthornstile.tails import Tail

MAX_JOB_PARTS = 4
"""Partitions in use: each entry holds one read open for each."""
JOB_WAIT = 0.4
JOB_PAUSE = 0.03
"""Seconds between two reads, so that results are fetched several at once."""
FIRST_EPOCH = 1
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
    ) -> None:
        self.store = store
        self.max_record_bytes = max_record_bytes
        self.max_append_bytes = max_append_bytes
        self.name = name
        self.clock = clock
        self.wall_clock = wall_clock
        self.table = JobTable(on_change)
        self.tails = [
            self._make_tail(part) for part in range(min(MAX_JOB_PARTS, parts))
        ]

    def is_loaded(self) -> bool:
        """Whether all partitions were read once."""
        return all(tail.is_loaded for tail in self.tails)

    def find_tail(self, job: JobId) -> Tail:
        """Finds the partition that holds a job."""
        return self.tails[compute_score("job", job) % len(self.tails)]

    async def run(self) -> None:
        """Follows all partitions until cancelled."""
        async with asyncio.TaskGroup() as group:
            for tail in self.tails:
                group.create_task(tail.run())

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
            await self._append(specification.id, records, producer, ACCEPT_TIME)
        except AppendRefusedError as error:
            log_event("job.known", job=specification.id, reason=error.message)

    async def end(self, job: JobId) -> None:
        """Stores that a job's client ended it.

        Raises:
            BuckthornstileError: It is not known to be stored.
        """
        await self._append(job, [encode_end(job)], None, ACCEPT_TIME)

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
            AppendRefusedError: Another process owns the job.
            PlatformUnavailableError: The outcome is not known, or it was refused.
        """
        tail = self.tails[job.part]
        encoded = [encode_keyed_record(one.key, one.value) for one in records]
        await self.store.append(
            JOB_TOPIC, tail.part, encoded, producer=producer, timeout=APPEND_TIMEOUT
        )

    async def drop(self, job: Job) -> None:
        """Drops all keys of a job that nobody may ask for any more."""
        records = [JobRecord(key, b"") for key in sorted(job.keys)]
        await self.append_once(job, records, None)

    async def _append(
        self,
        job: JobId,
        records: Sequence[JobRecord],
        producer: Producer | None,
        time: float,
    ) -> None:
        tail = self.find_tail(job)
        encoded = [encode_keyed_record(one.key, one.value) for one in records]
        give_up_at = self.clock() + time
        may_have_taken_effect = False
        while True:
            try:
                await self.store.append(
                    JOB_TOPIC,
                    tail.part,
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

    def _make_tail(self, part: int) -> Tail:
        def apply(record: StoredRecord) -> None:
            try:
                self.table.apply(
                    part,
                    record.offset,
                    record.key,
                    record.value,
                    self.clock(),
                    wall=self.wall_clock(),
                )
            except (ValueError, KeyError, TypeError) as error:
                log_event("job.record_unreadable", key=record.key, reason=error)

        def apply_newest(records: list[StoredRecord]) -> None:
            for record in sorted(records, key=lambda one: one.offset):
                apply(record)

        return Tail(
            self.store,
            JOB_TOPIC,
            part,
            clock=self.clock,
            wait=JOB_WAIT,
            pause=JOB_PAUSE,
            on_record=apply,
            on_newest=apply_newest,
        )
