"""The jobs behind one attach of a trainer to a lot."""

import asyncio
from dataclasses import dataclass, field

from buckthornstile.api._dependencies import ApiDependencies, Authorization
from buckthornstile.api._lot_jobs import (
    has_given_up,
    make_job,
    make_job_id,
    make_lot_name,
    make_trainer_name,
)
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    LotId,
    Verdict,
    WeightVersion,
)
from buckthornstile.jobs import Job, JobId
from buckthornstile.logs import log_event
from buckthornstile.samples import LotSpecification, Slot
from buckthornstile.topology import ModelName

POLL_PERIOD = 0.1
"""Seconds between two looks at what ends or changes a lot."""
JOB_WAIT = 3.0
"""Seconds for an accepted job to be read back from the store."""
MAX_TRIES = 8
"""Jobs of a lot for one oldest version: each further one makes what was given up."""


@dataclass(slots=True)
class LotAttachment:
    """One attach of a trainer to a lot."""

    authorization: Authorization
    specification: LotSpecification
    lot: LotId
    number: int
    model: ModelName
    deadline: float
    missing: set[Slot] = field(default_factory=set)

    def get_minimum(self, trainer_version: int) -> int:
        """The oldest version that a sample may have."""
        version = max(self.specification.version, trainer_version)
        return int(self.specification.get_minimum_version(WeightVersion(version)))


class LotJobs:
    """Finds, makes and ends the jobs of lots.

    Args:
        dependencies: What the handlers share.
    """

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies

    async def follow(self, attach: LotAttachment) -> None:
        """Has the account's partition followed here, and waits until it is read.

        Raises:
            BuckthornstileError: ``PLATFORM_UNAVAILABLE``: the store did not answer.
        """
        jobs = self.dependencies.jobs
        part = jobs.find_partition(attach.authorization.account.name)
        end = self.dependencies.clock() + JOB_WAIT
        jobs.request_partition(part)
        while not jobs.is_consumed(part):
            if self.dependencies.clock() > end:
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the account's lots could not be read from the store",
                    retry_after=POLL_PERIOD,
                )
            await asyncio.sleep(POLL_PERIOD / 5)

    async def open_job(self, attach: LotAttachment) -> Job:
        """Finds or makes the job of the samples that a lot lacks.

        Raises:
            BuckthornstileError: It is not known to be stored.
        """
        account = attach.authorization.account.name
        minimum = self.find_minimum(attach)
        job_id, job = self._find_open_job(attach, minimum)
        if job is None:
            specification = make_job(
                attach.specification,
                job_id,
                lot=attach.lot,
                account=account,
                key=attach.authorization.key,
                route=attach.authorization.route.path_prefix,
                model=attach.model,
                minimum=minimum,
                submitted_at=self.dependencies.wall_clock(),
            )
            owner = self.dependencies.choose_first_owner(specification)
            await self.dependencies.jobs.accept(specification, owner)
            log_event("job.accepted", job=job_id, lot=attach.lot, owner=owner)
            job = await self._wait_for_job(job_id)
        await self._end_older(attach.lot, minimum)
        return job

    def _find_open_job(
        self, attach: LotAttachment, minimum: int
    ) -> tuple[JobId, Job | None]:
        """Finds the newest job of a lot that may still make what is missing.

        Raises:
            BuckthornstileError: Too many jobs have given samples up.
        """
        for number in range(MAX_TRIES):
            job_id = make_job_id(attach.lot, minimum, number)
            job = self.dependencies.jobs.table.find(job_id)
            if job is None or not has_given_up(job, attach.missing):
                return job_id, job
        raise BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            f"samples of the lot were given up {MAX_TRIES} times",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _wait_for_job(self, job_id: JobId) -> Job:
        end = self.dependencies.clock() + JOB_WAIT
        while self.dependencies.clock() < end:
            job = self.dependencies.jobs.table.find(job_id)
            if job is not None:
                return job
            await asyncio.sleep(POLL_PERIOD / 5)
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"job {job_id!r} is stored, but could not be read back",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _end_older(self, lot: LotId, minimum: int) -> None:
        for job in self.find_jobs(lot):
            if job.specification.minimum_version < minimum and not job.is_finished():
                await self.dependencies.jobs.end(job)

    def find_jobs(self, lot: LotId) -> list[Job]:
        """Finds the jobs of a lot that are known here."""
        prefix = make_lot_name(lot) + "."
        jobs = self.dependencies.jobs.table.jobs
        return [job for name, job in jobs.items() if name.startswith(prefix)]

    def find_minimum(self, attach: LotAttachment) -> int:
        """The oldest version that a sample may have now."""
        name = make_trainer_name(
            attach.authorization.account.name, attach.specification.trainer
        )
        return attach.get_minimum(
            self.dependencies.configuration_watcher.get_trainer_version(name)
        )
