"""Makes the parts of an entry from its settings."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import AccountId, ProcessName
from buckthornstile.duties import ModelLoadPlanner
from buckthornstile.entry._presence_publisher import PresencePublisher
from buckthornstile.gateway import (
    CallSender,
    JobStore,
    LeaseHolderTasks,
    LeaseManager,
    LoadBalancer,
    ModelLoadDispatcher,
    PartitionAssignment,
    StreamProxy,
    TopologyWatcher,
    UsageReporter,
)
from buckthornstile.http_client import ConnectionPool
from buckthornstile.jobs import Job
from buckthornstile.platform import DutyClient, StoreClient
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import TopologyView


@dataclass(frozen=True, slots=True)
class SharedResources:
    """What all parts of an entry share.

    ``clock`` gives the time in seconds and goes on while suspended; ``wall_clock``
    gives seconds since the epoch.
    """

    settings: EntrySettings
    name: ProcessName
    store: StoreClient
    pool: ConnectionPool
    view: TopologyView
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


@dataclass(frozen=True, slots=True)
class UpstreamComponents:
    """What knows upstreams and sends them requests."""

    balancer: LoadBalancer
    topology_watcher: TopologyWatcher
    sender: CallSender
    stream_proxy: StreamProxy


def make_upstream_components(
    resources: SharedResources,
    *,
    list_possibly_live: Callable[[], list[ProcessName]],
    on_change: Callable[[], None],
    on_executed: Callable[[AccountId, float], None],
) -> UpstreamComponents:
    """Makes what knows upstreams and sends them requests.

    Args:
        resources: What all parts share.
        list_possibly_live: Gives the entries that may be sending now.
        on_change: Called after the topology changed.
        on_executed: Called when an upstream has run an account's request.
    """
    settings, view, pool = resources.settings, resources.view, resources.pool
    balancer = LoadBalancer(
        view,
        resources.clock,
        list_entries=lambda: list(list_possibly_live()),
        name=resources.name,
        cold_rate_factor=settings.cold_overage,
        cold_rate_slack=settings.cold_slack,
        default_cold_rate=settings.cold_rate,
    )
    watch = TopologyWatcher(
        resources.store,
        view,
        clock=resources.clock,
        on_change=on_change,
        heartbeat_interval=settings.heartbeat,
    )
    source = random.Random(resources.name)
    sender = CallSender(balancer, pool, random_source=source, on_executed=on_executed)
    return UpstreamComponents(
        balancer, watch, sender, StreamProxy(sender, balancer, pool)
    )


def make_job_store(
    resources: SharedResources,
    *,
    assignment: PartitionAssignment,
    on_change: Callable[[Job], None],
    may_load: Callable[[], bool],
) -> JobStore:
    """Makes what keeps batch jobs in the store.

    Args:
        resources: What all parts share.
        assignment: Which entries follow which partitions.
        on_change: Called with a job after a record changed it.
        may_load: Tells whether partitions may be loaded now.
    """
    settings = resources.settings
    return JobStore(
        resources.store,
        parts=settings.store_parts,
        max_record_bytes=settings.max_record_bytes,
        max_append_bytes=settings.max_append_bytes,
        name=resources.name,
        clock=resources.clock,
        wall_clock=resources.wall_clock,
        on_change=on_change,
        is_assigned=assignment.is_assigned,
        may_load=may_load,
    )


def make_control(
    resources: SharedResources,
    *,
    balancer: LoadBalancer,
    presence_publisher: PresencePublisher,
) -> LeaseHolderTasks:
    """Makes what performs the duties while the entry holds the lease.

    Args:
        resources: What all parts share.
        balancer: What was seen of upstreams.
        presence_publisher: Tells other entries news, and sums what they counted.
    """
    settings, view = resources.settings, resources.view
    lease_manager = LeaseManager(
        resources.name,
        store=resources.store,
        clock=resources.clock,
        turn_bound=settings.turn_bound,
    )
    orders = ModelLoadDispatcher(
        settings.process,
        lease_manager,
        view=view,
        planner=ModelLoadPlanner(
            view, clock=resources.clock, is_ejected=balancer.is_ejected
        ),
        pool=resources.pool,
        on_version_loaded=presence_publisher.request_publish,
        record_failure=balancer.record_failure,
    )
    reports = None
    if settings.duty_address:
        reports = UsageReporter(
            settings.process,
            lease_manager,
            totals=presence_publisher.totals,
            client=DutyClient(settings.duty_address),
            wall_clock=resources.wall_clock,
            due=settings.usage_due,
            list_pending_processes=presence_publisher.presence.list_possibly_live,
        )
    return LeaseHolderTasks(lease_manager, orders, reports)
