"""Attachments of trainers to lots, and the jobs that generate their samples."""

import asyncio
from dataclasses import dataclass, field

from buckthornstile.api._dependencies import ApiDependencies, Authorization
from buckthornstile.api._lot_jobs import (
    is_finished_without,
    make_job,
    make_job_id,
    make_lot_digest,
    make_trainer_key,
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

POLL_INTERVAL = 0.1
"""Seconds between checks for new results or a reason to stop a lot."""
JOB_READ_TIMEOUT = 3.0
"""Seconds to wait until a partition or an accepted job is read from the store."""
MAX_JOBS_PER_VERSION = 8
"""Maximum number of jobs of a lot for one minimum version.

Each job after the first generates the samples that its predecessor abandoned.
"""


@dataclass(slots=True)
class LotAttachment:
    """One attachment of a trainer to a lot.

    Args:
        authorization: Account, key and route of the trainer.
        specification: The specification of the lot.
        lot: The id of the lot.
        number: The number of the attach; the trainer increases it with each attach.
        model: The model that generates the samples.
        deadline: The clock reading at which the lot times out.
        missing: The slots that the trainer has not received yet.
    """

    authorization: Authorization
    specification: LotSpecification
    lot: LotId
    number: int
    model: ModelName
    deadline: float
    missing: set[Slot] = field(default_factory=set)

    def get_minimum_version(self, trainer_version: int) -> int:
        """Returns the oldest weight version that a sample may have.

        Args:
            trainer_version: The newest weight version that the trainer has published.
        """
        version = max(self.specification.version, trainer_version)
        return int(self.specification.get_minimum_version(WeightVersion(version)))


class LotJobs:
    """Finds, creates and ends the jobs of lots.

    Args:
        dependencies: The shared dependencies of the handlers.
    """

    def __init__(self, dependencies: ApiDependencies) -> None:
        self.dependencies = dependencies

    async def load_partition(self, attachment: LotAttachment) -> None:
        """Requests the partition of the account and waits until it has been read.

        Raises:
            BuckthornstileError: ``PLATFORM_UNAVAILABLE``: the partition was not read in
                time.
        """
        jobs = self.dependencies.jobs
        partition = jobs.find_partition(attachment.authorization.account.name)
        deadline = self.dependencies.clock() + JOB_READ_TIMEOUT
        jobs.request_partition(partition)
        while not jobs.is_consumed(partition):
            if self.dependencies.clock() > deadline:
                raise BuckthornstileError(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "the lots of the account could not be read from the store in time",
                    retry_after=POLL_INTERVAL,
                )
            await asyncio.sleep(POLL_INTERVAL / 5)

    async def open_job(self, attachment: LotAttachment) -> Job:
        """Finds or creates the job that generates the missing samples of a lot.

        Raises:
            BuckthornstileError: The job could not be stored or read back, or too many
                jobs of the lot have abandoned samples.
        """
        account = attachment.authorization.account.name
        minimum_version = self.find_minimum_version(attachment)
        job_id, job = self._find_open_job(attachment, minimum_version)
        if job is None:
            specification = make_job(
                attachment.specification,
                job_id,
                lot=attachment.lot,
                account=account,
                key=attachment.authorization.key,
                route=attachment.authorization.route.path_prefix,
                model=attachment.model,
                minimum_version=minimum_version,
                submitted_at=self.dependencies.wall_clock(),
                configuration_version=attachment.authorization.revision,
            )
            owner = self.dependencies.choose_first_owner(specification)
            await self.dependencies.jobs.accept(specification, owner)
            log_event("job.accepted", job=job_id, lot=attachment.lot, owner=owner)
            job = await self._wait_for_job(job_id)
        await self._end_older_jobs(attachment.lot, minimum_version)
        return job

    def _find_open_job(
        self, attachment: LotAttachment, minimum_version: int
    ) -> tuple[JobId, Job | None]:
        """Finds the first job of a lot that can still generate the missing samples.

        Returns:
            The id of the job, and the job or None if it does not exist yet.

        Raises:
            BuckthornstileError: Too many jobs have abandoned samples.
        """
        for number in range(MAX_JOBS_PER_VERSION):
            job_id = make_job_id(attachment.lot, minimum_version, number)
            job = self.dependencies.jobs.table.find(job_id)
            if job is None or not is_finished_without(job, attachment.missing):
                return job_id, job
        raise BuckthornstileError(
            ErrorCode.UPSTREAM_FAILED,
            f"{MAX_JOBS_PER_VERSION} jobs of the lot have abandoned samples",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _wait_for_job(self, job_id: JobId) -> Job:
        deadline = self.dependencies.clock() + JOB_READ_TIMEOUT
        while self.dependencies.clock() < deadline:
            job = self.dependencies.jobs.table.find(job_id)
            if job is not None:
                return job
            await asyncio.sleep(POLL_INTERVAL / 5)
        raise BuckthornstileError(
            ErrorCode.PLATFORM_UNAVAILABLE,
            f"job {job_id!r} was stored, but could not be read back in time",
            verdict=Verdict.MAY_HAVE_RUN,
        )

    async def _end_older_jobs(self, lot: LotId, minimum_version: int) -> None:
        for job in self.find_jobs(lot):
            if (
                job.specification.minimum_version < minimum_version
                and not job.is_finished()
            ):
                await self.dependencies.jobs.end(job)

    def find_jobs(self, lot: LotId) -> list[Job]:
        """Returns the jobs of a lot that are known to this entry."""
        prefix = make_lot_digest(lot) + "."
        jobs = self.dependencies.jobs.table.jobs
        return [job for name, job in jobs.items() if name.startswith(prefix)]

    def find_minimum_version(self, attachment: LotAttachment) -> int:
        """Returns the oldest weight version that a sample may have now."""
        trainer_key = make_trainer_key(
            attachment.authorization.account.name, attachment.specification.trainer
        )
        return attachment.get_minimum_version(
            self.dependencies.configuration_watcher.get_trainer_version(trainer_key)
        )
