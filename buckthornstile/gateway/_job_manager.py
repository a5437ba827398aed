"""Decides which jobs this process runs; takes over jobs of failed processes."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import (
    BuckthornstileError,
    KeyId,
    ProcessName,
    ServiceName,
)
from buckthornstile.configuration import KeyState
from buckthornstile.gateway._job_context import JobDependencies
from buckthornstile.gateway._job_runner import JobRunner
from buckthornstile.gateway._partition_assignment import PartitionAssignment
from buckthornstile.gateway._presence import PresenceTable
from buckthornstile.jobs import Job, JobId, JobSpecification
from buckthornstile.logs import log_event
from buckthornstile.routing import compute_rendezvous_score

CHECK_INTERVAL = 0.15
"""Seconds between two checks for jobs without a live owner."""
NEW_OWNER_GRACE = 0.7
"""Seconds after a claim within which the owner's first presence record must arrive."""
CLAIM_RETRY_DELAY = 1.0
"""Seconds before a claim whose outcome is unknown is retried."""
DELETE_INTERVAL = 5.0
"""Seconds between two checks for expired jobs to delete."""
CHECKPOINT_TIMEOUT = 0.5
"""Maximum seconds for storing the progress of all jobs before other processes take
them over."""


class JobManager:
    """Starts and stops the runners of the jobs that this process owns.

    Args:
        name: Name of this process.
        dependencies: Dependencies that all runners share.
        presence: The live processes.
        assignment: The partitions that each process consumes.
        clock: Returns the time in seconds; must also advance during suspend.
        result_lifetime: Seconds for which the results of a job stay readable.
        get_key_state: Returns whether jobs of a key may run.
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
        get_key_state: Callable[[KeyId], KeyState],
    ) -> None:
        self.assignment = assignment
        self.get_key_state = get_key_state
        self.name = name
        self.dependencies = dependencies
        self.presence = presence
        self.clock = clock
        self.result_lifetime = result_lifetime
        self.is_leaving = False
        self._runners: dict[JobId, JobRunner] = {}
        self._claimed_at: dict[JobId, float] = {}
        self._deleted_at = 0.0

    def on_job_changed(self, job: Job) -> None:
        """Starts or stops the runner of a job after a record changed the job."""
        runner = self._runners.get(job.id)
        claim = job.claim
        is_owner = claim is not None and claim.owner == self.name
        if is_owner and claim and runner and runner.epoch != claim.epoch:
            # Its appends are refused, and it sends nothing for the job any more.
            log_event("job.replace", job=job.id, epoch=claim.epoch)
            self._runners.pop(job.id).stop()
            runner = None
        if is_owner and not job.is_finished():
            if runner is None and self._get_key_state(job) is KeyState.VALID:
                self._runners[job.id] = JobRunner(
                    job, self.dependencies, self._on_runner_ended
                )
        elif runner is not None and (not is_owner or job.is_finished()):
            log_event(
                "job.stop",
                job=job.id,
                epoch=runner.epoch,
                ended=job.ended,
                owned=is_owner,
                delay=self._get_end_delay(job),
                age=self.dependencies.store.get_record_age(job),
                max_send_age=runner.context.max_send_age,
            )
            self._runners.pop(job.id).stop()

    def _get_end_delay(self, job: Job) -> float | None:
        """Returns the seconds from the request to end a job until now, if known."""
        if job.ended_at is None:
            return None
        return self.dependencies.store.wall_clock() - job.ended_at

    def choose_first_owner(self, specification: JobSpecification) -> ProcessName:
        """Returns the process that should run a job that this process accepts."""
        part = self.dependencies.store.find_partition(specification.account)
        candidates = [
            name
            for name in self.assignment.list_assigned(part)
            if name != self.name or not self.is_leaving
        ]
        chosen = choose_owner(specification, candidates)
        if chosen is None:
            self.dependencies.store.request_partition(part)
        return chosen or self.name

    def count_running(self) -> int:
        """Returns the number of jobs that this process runs."""
        return len(self._runners)

    def count_held(self) -> int:
        """Returns the number of jobs for which nothing may be sent at present."""
        return sum(runner.is_held for runner in self._runners.values())

    def count_waiting(self, service: ServiceName) -> int:
        """Returns the number of items that wait to be sent to a service."""
        return sum(runner.count_waiting(service) for runner in self._runners.values())

    def stop_all(self) -> None:
        """Stops all runners and claims no further jobs."""
        self.is_leaving = True
        for runner in list(self._runners.values()):
            runner.stop()
        self._runners.clear()

    async def checkpoint_all(self) -> None:
        """Stores the progress of all jobs for the processes that take them over."""
        runners = list(self._runners.values())
        checkpoints = [runner.checkpoint(1) for runner in runners]
        try:
            async with asyncio.timeout(CHECKPOINT_TIMEOUT):
                outcomes = await asyncio.gather(*checkpoints, return_exceptions=True)
        except TimeoutError:
            log_event("job.hand_over_incomplete", jobs=len(runners))
            return
        for outcome in outcomes:
            if isinstance(outcome, BaseException):
                log_event("job.hand_over_failed", reason=repr(outcome))

    async def run(self) -> None:
        """Claims, stops and deletes jobs periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if self.is_leaving:
                continue
            await self._stop_withdrawn_jobs()
            await self._claim_orphans()
            await self._delete_expired()

    def _on_runner_ended(self, runner: JobRunner) -> None:
        if self._runners.get(runner.job.id) is runner:
            del self._runners[runner.job.id]

    def _get_key_state(self, job: Job) -> KeyState:
        key = job.specification.key
        return self.get_key_state(key) if key else KeyState.VALID

    async def _stop_withdrawn_jobs(self) -> None:
        """Stops the jobs whose key may not be valid; ends those of withdrawn keys.

        A job of a key that cannot be verified is claimed again once it can be.
        """
        for runner in list(self._runners.values()):
            job = runner.job
            # The runner may have ended or been replaced during the calls for others.
            is_current = self._runners.get(job.id) is runner
            state = self._get_key_state(job)
            if not is_current or state is KeyState.VALID:
                continue
            log_event(
                "job.key_lost",
                job=job.id,
                key=job.specification.key,
                state=state.value,
            )
            self._runners.pop(job.id).stop()
            if state is not KeyState.WITHDRAWN:
                continue
            try:
                await self.dependencies.store.end(job)
            except BuckthornstileError as error:
                log_event("job.end_failed", job=job.id, reason=error.message)

    async def _claim_orphans(self) -> None:
        for job in list(self.dependencies.store.table.jobs.values()):
            # Each claim is awaited, and owners may appear meanwhile.
            live, now = self.presence.list_live(), self.clock()
            if self.is_leaving or self.name not in live:
                return
            if not self._is_orphan(job, live) or not self._should_own(job):
                continue
            if (
                now - self._claimed_at.get(job.id, -CLAIM_RETRY_DELAY)
                < CLAIM_RETRY_DELAY
            ):
                continue
            self._claimed_at[job.id] = now
            previous = job.claim.owner if job.claim else ""
            log_event("job.claim", job=job.id, previous=previous)
            try:
                await self.dependencies.store.claim(job)
            except BuckthornstileError as error:
                log_event("job.claim_failed", job=job.id, reason=error.message)

    def _should_own(self, job: Job) -> bool:
        """Whether this process is the one that should run a job."""
        candidates = self.assignment.list_assigned(job.part)
        return choose_owner(job.specification, candidates) == self.name

    def _is_orphan(self, job: Job, live: list[ProcessName]) -> bool:
        age = self.clock() - job.started_at
        is_done = job.is_finished() or age > job.get_lifetime(self.result_lifetime)
        if is_done or self._get_key_state(job) is not KeyState.VALID:
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

    async def _delete_expired(self) -> None:
        now = self.clock()
        if now - self._deleted_at < DELETE_INTERVAL:
            return
        self._deleted_at = now
        for job in self.dependencies.store.table.list_expired(
            now, self.result_lifetime
        ):
            if not self._should_own(job):
                continue
            try:
                await self.dependencies.store.delete(job)
            except BuckthornstileError as error:
                log_event("job.drop_failed", job=job.id, reason=error.message)
            else:
                log_event("job.dropped", job=job.id)


def choose_owner(
    specification: JobSpecification, candidates: list[ProcessName]
) -> ProcessName | None:
    """Returns the process that should run a job, or None if there are no candidates.

    Successive jobs of the same account, route and model get the same owner, which
    knows what it sent to the engines and has open connections to them.

    Args:
        specification: The specification of the job.
        candidates: The processes to choose from.
    """
    series = "\0".join(
        (specification.account, specification.path_prefix, specification.model or "")
    )
    return max(
        candidates,
        key=lambda name: (compute_rendezvous_score(series, name), name),
        default=None,
    )
