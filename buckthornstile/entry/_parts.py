"""Makes the parts of an entry from its settings."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import AccountId, ProcessName
from buckthornstile.duties import LoadPlanner
from buckthornstile.entry._announcer import Announcer
from buckthornstile.exchanges import ConnectionPool
from buckthornstile.gateway import (
    CallSender,
    Control,
    Fleet,
    Followers,
    JobStore,
    LeaseKeeper,
    LoadOrders,
    StreamRelay,
    UsageReports,
    Watch,
)
from buckthornstile.jobs import Job
from buckthornstile.platform import DutyClient, StoreClient
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import TopologyView


@dataclass(frozen=True, slots=True)
class UpstreamSide:
    """What knows upstreams and sends them requests."""

    fleet: Fleet
    watch: Watch
    sender: CallSender
    relay: StreamRelay


def make_upstream_side(
    settings: EntrySettings,
    name: ProcessName,
    *,
    store: StoreClient,
    pool: ConnectionPool,
    view: TopologyView,
    clock: Callable[[], float],
    list_possible: Callable[[], list[ProcessName]],
    on_change: Callable[[], None],
    count_run: Callable[[AccountId, float], None],
) -> UpstreamSide:
    """Makes what knows upstreams and sends them requests.

    Args:
        settings: The entry's settings.
        name: The process's name.
        store: The store.
        pool: Connections to upstreams.
        view: The topology in force.
        clock: The time in seconds; it must go on while suspended.
        list_possible: Gives the entries that may be sending now.
        on_change: Called after the topology changed.
        count_run: Called when an upstream has run an account's request.
    """
    fleet = Fleet(
        view,
        clock,
        count_entries=lambda: list(list_possible()),
        name=name,
        overage=settings.cold_overage,
        slack=settings.cold_slack,
        default_cold_rate=settings.cold_rate,
    )
    watch = Watch(
        store,
        view,
        clock=clock,
        on_change=on_change,
        heartbeat=settings.heartbeat,
    )
    sender = CallSender(
        fleet, pool, random_source=random.Random(name), count_run=count_run
    )
    return UpstreamSide(fleet, watch, sender, StreamRelay(sender, fleet, pool))


def make_job_store(
    settings: EntrySettings,
    name: ProcessName,
    *,
    store: StoreClient,
    followers: Followers,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    on_change: Callable[[Job], None],
    may_load: Callable[[], bool],
) -> JobStore:
    """Makes what keeps batch jobs in the store.

    Args:
        settings: The entry's settings.
        name: The process's name.
        store: The store.
        followers: Which entries follow which partitions.
        clock: The time in seconds; it must go on while suspended.
        wall_clock: Seconds since the epoch.
        on_change: Called with a job after a record changed it.
        may_load: Tells whether partitions may be loaded now.
    """
    return JobStore(
        store,
        parts=settings.store_parts,
        max_record_bytes=settings.max_record_bytes,
        max_append_bytes=settings.max_append_bytes,
        name=name,
        clock=clock,
        wall_clock=wall_clock,
        on_change=on_change,
        follows=followers.follows,
        may_load=may_load,
    )


def make_control(
    settings: EntrySettings,
    name: ProcessName,
    *,
    store: StoreClient,
    pool: ConnectionPool,
    view: TopologyView,
    fleet: Fleet,
    announcer: Announcer,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
) -> Control:
    """Makes what performs the duties while the entry holds the lease.

    Args:
        settings: The entry's settings.
        name: The process's name.
        store: The store.
        pool: Connections to upstreams.
        view: The topology in force.
        fleet: What was seen of upstreams.
        announcer: Tells other entries news, and sums what they counted.
        clock: The time in seconds; it must go on while suspended.
        wall_clock: Seconds since the epoch.
    """
    keeper = LeaseKeeper(name, store=store, clock=clock, turn_bound=settings.turn_bound)
    orders = LoadOrders(
        settings.process,
        keeper,
        view=view,
        planner=LoadPlanner(view, clock=clock, is_suspect=fleet.is_suspect),
        pool=pool,
        on_news=announcer.hurry,
        note_failure=fleet.note_failure,
    )
    reports = None
    if settings.duty_address:
        reports = UsageReports(
            settings.process,
            keeper,
            totals=announcer.totals,
            client=DutyClient(settings.duty_address),
            wall_clock=wall_clock,
            due=settings.usage_due,
            list_counting=announcer.presence.list_possible,
        )
    return Control(keeper, orders, reports)
