"""Whether this process knows its jobs well enough to send requests for them."""

from dataclasses import dataclass

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.jobs import Job
from buckthornstile.topology import TopologyView


@dataclass(frozen=True, slots=True)
class JobFreshness:
    """Checks before requests for jobs are sent.

    An end that the store acknowledged before the latest complete read was sent is known
    here, so that the age of the records bounds the time for which an end is unknown.

    Args:
        store: The jobs, the age of their records, and its limit.
        view: The configuration in effect.
    """

    store: JobStore
    view: TopologyView

    def find_refusal_reason(self, job: Job, epoch: int) -> str:
        """Returns why no request may be sent for a job, or "" if one may be sent.

        Args:
            job: The job.
            epoch: Epoch of the claim under which it runs.
        """
        accepted_version = job.specification.configuration_version
        version = self.view.get_configuration_version(job.specification.host)
        if version < accepted_version:
            return f"configuration {accepted_version} has not been read yet"
        if not self.store.max_record_age:
            return ""
        if job.ended:
            return "the job has ended"
        is_known = self.store.table.find(job.id) is job
        if not is_known or job.claim is None or job.claim.epoch != epoch:
            return "the job belongs to another runner"
        if not self.store.was_read_to_end(job):
            return "the records of the job have not been read to their end"
        age = self.store.get_record_age(job)
        if age > self.store.max_record_age:
            return f"the records of the job are {age:.1f} s old"
        return ""

    def check(self, job: Job, epoch: int) -> None:
        """Checks that a request may be sent for a job.

        Args:
            job: The job.
            epoch: Epoch of the claim under which it runs.

        Raises:
            BuckthornstileError: ``JOB_UNVERIFIED``.
        """
        reason = self.find_refusal_reason(job, epoch)
        if reason:
            raise BuckthornstileError(
                ErrorCode.JOB_UNVERIFIED, f"job {job.id!r}: {reason}"
            )
