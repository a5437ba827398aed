"""What the runners of jobs share, and the job that an item belongs to."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.gateway._call_sender import CallSender
from buckthornstile.gateway._engine_shares import EngineShares
from buckthornstile.gateway._item_runner import ItemRunner
from buckthornstile.gateway._job_freshness import JobFreshness
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._step_scheduler import StepScheduler
from buckthornstile.jobs import Job
from buckthornstile.topology import Route, TopologyView

ABANDON_MARGIN = 0.5
"""Seconds after a job's time limit or retention at which its items are abandoned."""


@dataclass(frozen=True, slots=True)
class JobDependencies:
    """Dependencies that the runners of all jobs share."""

    view: TopologyView
    balancer: LoadBalancer
    item_runner: ItemRunner
    sender: CallSender
    store: JobStore
    metrics: GatewayMetrics
    clock: Callable[[], float]
    shares: EngineShares
    scheduler: StepScheduler
    freshness: JobFreshness


@dataclass(slots=True)
class JobContext:
    """A job and the last known configuration of its route.

    The route may be removed from the configuration while the job runs. ``epoch`` is
    that of the claim under which the job runs. ``max_send_age`` is the greatest age of
    the job's records at which a request for it was sent, in seconds.
    """

    job: Job
    dependencies: JobDependencies
    epoch: int
    last_route: Route | None = None
    max_send_age: float = 0.0

    def find_refusal_reason(self) -> str:
        """Returns why no request may be sent for the job now, or ""."""
        return self.dependencies.freshness.find_refusal_reason(self.job, self.epoch)

    def prepare_send(self) -> None:
        """Checks that a request may be sent for the job, and notes its records' age.

        Raises:
            BuckthornstileError: ``JOB_UNVERIFIED``.
        """
        self.dependencies.freshness.check(self.job, self.epoch)
        age = self.dependencies.store.get_record_age(self.job)
        self.max_send_age = max(self.max_send_age, age)

    def find_route(self) -> Route | None:
        """Returns the job's route in the configuration in effect, or None."""
        specification = self.job.specification
        route = self.dependencies.view.find_route(
            specification.host, specification.path_prefix
        )
        if route is not None:
            self.last_route = route
        return route

    def get_priority(self) -> int:
        """Returns the priority of the job's items; a lower number is more urgent.

        The account's priority takes precedence over the route's.
        """
        view = self.dependencies.view
        priority = view.get_account_priority(self.job.specification.account)
        if priority is not None:
            return priority
        return self.last_route.priority if self.last_route is not None else 0

    def is_expired(self) -> bool:
        """Whether the job has ended, or its time limit or retention has passed."""
        if self.job.ended:
            return True
        retention = self.job.specification.time_limit
        if not retention and self.last_route is not None:
            retention = self.last_route.retention
        if not retention:
            return False
        age = self.dependencies.clock() - self.job.started_at
        return age > retention + ABANDON_MARGIN
