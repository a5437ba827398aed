"""Builds the components of an entry from its settings."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import AccountId, ProcessName, ServiceName
from buckthornstile.duties import ModelLoadPlanner
from buckthornstile.entry._presence_publisher import PresencePublisher
from buckthornstile.gateway import (
    END_BOUND_FRACTION,
    AdmissionGate,
    AdmissionMode,
    CallSender,
    CrashDetector,
    CrashLog,
    IncarnationChecker,
    JobStore,
    LeaseHolderTasks,
    LeaseManager,
    LoadBalancer,
    ModelLoadDispatcher,
    PartitionAssignment,
    Quarantine,
    RateLimits,
    StreamProxy,
    StreamResources,
    StreamVersionLog,
    TopologyWatcher,
    UsageReporter,
    WorkPlacement,
    predict_start,
)
from buckthornstile.http_client import ConnectionPool
from buckthornstile.jobs import Job
from buckthornstile.metrics import Counters
from buckthornstile.platform import DutyClient, StoreClient
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import TopologyView


@dataclass(frozen=True, slots=True)
class SharedResources:
    """Resources that all components of an entry share.

    ``clock`` returns the time in seconds and also advances while the machine is
    suspended; ``wall_clock`` returns seconds since the epoch.
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
    """Components that track upstreams and send requests to them."""

    balancer: LoadBalancer
    topology_watcher: TopologyWatcher
    sender: CallSender
    stream_proxy: StreamProxy
    stream_versions: StreamVersionLog
    crash_log: CrashLog
    admission_gate: AdmissionGate


def make_upstream_components(
    resources: SharedResources,
    *,
    list_possibly_live: Callable[[], list[ProcessName]],
    list_live: Callable[[], list[ProcessName]],
    counters: Counters,
    on_change: Callable[[], None],
    on_executed: Callable[[AccountId, float], None],
    count_waiting: Callable[[ServiceName], int],
    is_holder: Callable[[], bool],
) -> UpstreamComponents:
    """Builds the components that track upstreams and send requests to them.

    Args:
        resources: The shared resources of the entry.
        list_possibly_live: Returns the entries that may be sending requests now.
        list_live: Returns the entries that are live and not leaving.
        counters: Counters of the admission.
        on_change: Called after each change of the topology.
        on_executed: Called when an upstream has executed a request, with the account
            and the seconds that the execution took.
        count_waiting: Returns the number of items that wait to be sent to a service.
        is_holder: Whether this process holds the lease.
    """
    settings, view, pool = resources.settings, resources.view, resources.pool
    rate_limits = RateLimits(
        resources.name,
        clock=resources.clock,
        wall_clock=resources.wall_clock,
        list_entries=list_possibly_live,
        count_waiting=count_waiting,
    )
    balancer = LoadBalancer(
        view,
        resources.clock,
        rate_limits=rate_limits,
        list_entries=lambda: list(list_possibly_live()),
        name=resources.name,
        cold_rate_factor=settings.cold_overage,
        cold_rate_slack=settings.cold_slack,
        default_cold_rate=settings.cold_rate,
        has_idle_connection=resources.pool.has_idle,
        placement=WorkPlacement(
            settings.placement, random.Random(f"{resources.name}/placement")
        ),
        max_body_bytes=settings.max_upstream_body_bytes,
    )
    topology_watcher = TopologyWatcher(
        resources.store,
        view,
        clock=resources.clock,
        on_change=on_change,
        heartbeat_interval=settings.heartbeat,
    )
    random_source = random.Random(resources.name)
    crash_log = CrashLog(
        resources.store,
        Quarantine(),
        clock=resources.clock,
        wall_clock=resources.wall_clock,
        is_cleaner=lambda key: (
            resources.name
            == max(
                list_possibly_live(),
                key=lambda name: compute_rendezvous_score(key, name),
                default=resources.name,
            )
        ),
    )
    admission_gate = AdmissionGate(
        resources.name,
        mode=AdmissionMode(settings.admission),
        balancer=balancer,
        predict_start=lambda service, now: predict_start(balancer, service, now),
        list_entries=list_live,
        random_source=random.Random(f"{resources.name} admission"),
        counters=counters,
    )
    sender = CallSender(
        balancer,
        pool,
        crash_detector=CrashDetector(crash_log, pool),
        random_source=random_source,
        on_executed=on_executed,
        admission=admission_gate,
    )
    stream_versions = StreamVersionLog(
        resources.name,
        resources.store,
        view,
        clock=resources.clock,
        get_view_staleness=topology_watcher.upstream_consumer.get_staleness,
        is_holder=is_holder,
        list_entries=list_possibly_live,
        max_record_bytes=settings.max_record_bytes,
        writes_per_second=settings.store_write_rate,
        counters=counters,
    )
    stream_proxy = StreamProxy(
        StreamResources(
            sender, balancer, pool, stream_versions, IncarnationChecker(pool)
        )
    )
    return UpstreamComponents(
        balancer,
        topology_watcher,
        sender,
        stream_proxy,
        stream_versions,
        crash_log,
        admission_gate,
    )


def make_job_store(
    resources: SharedResources,
    *,
    assignment: PartitionAssignment,
    on_change: Callable[[Job], None],
    may_load: Callable[[], bool],
) -> JobStore:
    """Builds the component that keeps batch jobs in the store.

    Args:
        resources: The shared resources of the entry.
        assignment: Assignment of partitions to entries.
        on_change: Called with each job that a record changed.
        may_load: Whether partitions may be loaded now.
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
        max_record_age=END_BOUND_FRACTION * settings.job_end_bound,
    )


def make_lease_holder_tasks(
    resources: SharedResources,
    *,
    balancer: LoadBalancer,
    presence_publisher: PresencePublisher,
) -> LeaseHolderTasks:
    """Builds the tasks that the entry runs while it holds the lease.

    Args:
        resources: The shared resources of the entry.
        balancer: Holds which upstreams are ejected, and records their failures.
        presence_publisher: Publishes loaded versions to the other entries, and sums
            the usage that all entries counted.
    """
    settings, view = resources.settings, resources.view
    lease_manager = LeaseManager(
        resources.name,
        store=resources.store,
        clock=resources.clock,
        turn_bound=settings.turn_bound,
    )
    load_dispatcher = ModelLoadDispatcher(
        settings.process,
        lease_manager,
        view=view,
        planner=ModelLoadPlanner(
            view,
            clock=resources.clock,
            is_ejected=balancer.is_ejected,
            is_limited=balancer.rate_limits.is_limited,
        ),
        clock=resources.clock,
        pool=resources.pool,
        on_version_loaded=presence_publisher.request_publish,
        record_failure=balancer.record_failure,
    )
    usage_reporter = None
    if settings.duty_address:
        usage_reporter = UsageReporter(
            settings.process,
            lease_manager,
            totals=presence_publisher.usage_totals,
            client=DutyClient(settings.duty_address),
            wall_clock=resources.wall_clock,
            due=settings.usage_due,
            list_pending_processes=presence_publisher.presence.list_possibly_live,
        )
    return LeaseHolderTasks(lease_manager, load_dispatcher, usage_reporter)
