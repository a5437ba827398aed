"""Decides which jobs this process runs, and takes over those of the dead."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import (
    BuckthornstileError,
    KeyId,
    ProcessName,
)
from buckthornstile.gateway._item_execution import JobDependencies
from buckthornstile.gateway._job_runner import JobRunner
from buckthornstile.gateway._partition_assignment import PartitionAssignment
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.jobs import Job, JobId, JobSpecification
from buckthornstile.logs import log_event
from buckthornstile.routing import compute_rendezvous_score

CHECK_PERIOD = 0.15
"""Seconds between two looks for jobs without a living owner."""
NEW_OWNER_GRACE = 0.7
"""Seconds for the presence record of an owner that is not known yet to be read."""
CLAIM_PERIOD = 1.0
"""Seconds before a claim whose outcome is not known is made again."""
DROP_PERIOD = 5.0
SAVE_TIME = 0.5
"""Seconds to store the progress of all jobs before others are asked to take over."""


class JobManager:
    """Starts and stops the runners of this process's jobs.

    Args:
        name: This process's name.
        dependencies: What all runners share.
        presence: Which processes live.
        assignment: Which of them follow which partitions.
        clock: The time in seconds; it must go on while suspended.
        result_lifetime: Seconds for which a job's results stay readable.
        is_withdrawn: Tells whether work under a key must stop.
    """

    def __init__(
        self,
        name: ProcessName,
        dependencies: JobDependencies,
        presence: PresenceTable,
        *,
        assignment: PartitionAssignment,
        clock: Callable[[], float],
        result_lifetime: float,
        is_withdrawn: Callable[[KeyId], bool],
    ) -> None:
        self.assignment = assignment
        self.is_withdrawn = is_withdrawn
        self.name = name
        self.dependencies = dependencies
        self.presence = presence
        self.clock = clock
        self.result_lifetime = result_lifetime
        self.is_leaving = False
        self._runners: dict[JobId, JobRunner] = {}
        self._claimed_at: dict[JobId, float] = {}
        self._dropped_at = 0.0

    def on_job_changed(self, job: Job) -> None:
        """Starts or stops a job's runner after a record changed the job."""
        runner = self._runners.get(job.id)
        is_mine = job.claim is not None and job.claim.owner == self.name
        if is_mine and not job.is_finished():
            assert job.claim is not None
            if runner is None and not self._has_lost_key(job):
                self._runners[job.id] = JobRunner(
                    job, self.dependencies, self._note_end
                )
        elif runner is not None and (not is_mine or job.is_finished()):
            log_event("job.stop", job=job.id, ended=job.ended, owned=is_mine)
            self._runners.pop(job.id).stop()

    def choose_first_owner(self, specification: JobSpecification) -> ProcessName:
        """Chooses who runs a job that this process accepts."""
        part = self.dependencies.store.find_partition(specification.account)
        assignment = [
            name
            for name in self.assignment.list_assigned(part)
            if name != self.name or not self.is_leaving
        ]
        chosen = choose_owner(specification, assignment)
        if chosen is None:
            self.dependencies.store.request_partition(part)
        return chosen or self.name

    def count_running(self) -> int:
        """Counts the jobs that this process runs."""
        return len(self._runners)

    def stop_all(self) -> None:
        """Stops all runners and starts no more."""
        self.is_leaving = True
        for runner in list(self._runners.values()):
            runner.stop()
        self._runners.clear()

    async def checkpoint_all(self) -> None:
        """Stores the progress of all jobs for those who take them over."""
        runners = list(self._runners.values())
        saves = [runner.checkpoint(1) for runner in runners]
        try:
            async with asyncio.timeout(SAVE_TIME):
                outcomes = await asyncio.gather(*saves, return_exceptions=True)
        except TimeoutError:
            log_event("job.hand_over_incomplete", jobs=len(runners))
            return
        for outcome in outcomes:
            if isinstance(outcome, BaseException):
                log_event("job.hand_over_failed", reason=repr(outcome))

    async def run(self) -> None:
        """Looks for jobs without a living owner until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD)
            if self.is_leaving:
                continue
            await self._stop_withdrawn()
            await self._claim_orphans()
            await self._drop_expired()

    def _note_end(self, runner: JobRunner) -> None:
        if self._runners.get(runner.job.id) is runner:
            del self._runners[runner.job.id]

    def _has_lost_key(self, job: Job) -> bool:
        key = job.specification.key
        return bool(key) and self.is_withdrawn(key)

    async def _stop_withdrawn(self) -> None:
        """Ends the jobs whose key stopped working."""
        for runner in list(self._runners.values()):
            job = runner.job
            if not self._has_lost_key(job):
                continue
            log_event("job.key_lost", job=job.id, key=job.specification.key)
            self._runners.pop(job.id).stop()
            try:
                await self.dependencies.store.end(job)
            except BuckthornstileError as error:
                log_event("job.end_failed", job=job.id, reason=error.message)

    async def _claim_orphans(self) -> None:
        live = self.presence.list_live()
        if self.name not in live:
            return
        now = self.clock()
        for job in list(self.dependencies.store.table.jobs.values()):
            if not self._is_orphan(job, live) or not self._is_chosen(job):
                continue
            if now - self._claimed_at.get(job.id, -CLAIM_PERIOD) < CLAIM_PERIOD:
                continue
            self._claimed_at[job.id] = now
            previous = job.claim.owner if job.claim else ""
            log_event("job.claim", job=job.id, previous=previous)
            try:
                await self.dependencies.store.claim(job)
            except BuckthornstileError as error:
                log_event("job.claim_failed", job=job.id, reason=error.message)

    def _is_chosen(self, job: Job) -> bool:
        """Whether this process is the one that should run a job."""
        candidates = self.assignment.list_assigned(job.part)
        return choose_owner(job.specification, candidates) == self.name

    def _is_orphan(self, job: Job, live: list[ProcessName]) -> bool:
        age = self.clock() - job.started_at
        is_over = job.is_finished() or age > job.get_lifetime(self.result_lifetime)
        if is_over or self._has_lost_key(job):
            return False
        if job.claim is None:
            return True
        if job.claim.owner == self.name:
            return job.id not in self._runners
        if job.claim.owner in live:
            return False
        claim_age = self.clock() - job.claimed_at
        is_known = self.presence.is_known(job.claim.owner)
        return is_known or claim_age > NEW_OWNER_GRACE

    async def _drop_expired(self) -> None:
        now = self.clock()
        if now - self._dropped_at < DROP_PERIOD:
            return
        self._dropped_at = now
        for job in self.dependencies.store.table.list_expired(
            now, self.result_lifetime
        ):
            if not self._is_chosen(job):
                continue
            try:
                await self.dependencies.store.drop(job)
            except BuckthornstileError as error:
                log_event("job.drop_failed", job=job.id, reason=error.message)
            else:
                log_event("job.dropped", job=job.id)


def choose_owner(
    specification: JobSpecification, live: list[ProcessName]
) -> ProcessName | None:
    """Chooses the one living process that should run a job.

    The jobs of one account, route and model, which follow each other, share an
    owner: it knows what it sent to the engines and keeps its connections to them.

    Args:
        specification: The job.
        live: The processes to choose from.
    """
    series = "\0".join(
        (specification.account, specification.path_prefix, specification.model or "")
    )
    return max(
        live,
        key=lambda name: (compute_rendezvous_score(series, name), name),
        default=None,
    )
