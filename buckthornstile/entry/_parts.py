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
class Basis:
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
class UpstreamSide:
    """What knows upstreams and sends them requests."""

    fleet: Fleet
    watch: Watch
    sender: CallSender
    relay: StreamRelay


def make_upstream_side(
    basis: Basis,
    *,
    list_possible: Callable[[], list[ProcessName]],
    on_change: Callable[[], None],
    count_run: Callable[[AccountId, float], None],
) -> UpstreamSide:
    """Makes what knows upstreams and sends them requests.

    Args:
        basis: What all parts share.
        list_possible: Gives the entries that may be sending now.
        on_change: Called after the topology changed.
        count_run: Called when an upstream has run an account's request.
    """
    settings, view, pool = basis.settings, basis.view, basis.pool
    fleet = Fleet(
        view,
        basis.clock,
        count_entries=lambda: list(list_possible()),
        name=basis.name,
        overage=settings.cold_overage,
        slack=settings.cold_slack,
        default_cold_rate=settings.cold_rate,
    )
    watch = Watch(
        basis.store,
        view,
        clock=basis.clock,
        on_change=on_change,
        heartbeat=settings.heartbeat,
    )
    source = random.Random(basis.name)
    sender = CallSender(fleet, pool, random_source=source, count_run=count_run)
    return UpstreamSide(fleet, watch, sender, StreamRelay(sender, fleet, pool))


def make_job_store(
    basis: Basis,
    *,
    followers: Followers,
    on_change: Callable[[Job], None],
    may_load: Callable[[], bool],
) -> JobStore:
    """Makes what keeps batch jobs in the store.

    Args:
        basis: What all parts share.
        followers: Which entries follow which partitions.
        on_change: Called with a job after a record changed it.
        may_load: Tells whether partitions may be loaded now.
    """
    settings = basis.settings
    return JobStore(
        basis.store,
        parts=settings.store_parts,
        max_record_bytes=settings.max_record_bytes,
        max_append_bytes=settings.max_append_bytes,
        name=basis.name,
        clock=basis.clock,
        wall_clock=basis.wall_clock,
        on_change=on_change,
        follows=followers.follows,
        may_load=may_load,
    )


def make_control(basis: Basis, *, fleet: Fleet, announcer: Announcer) -> Control:
    """Makes what performs the duties while the entry holds the lease.

    Args:
        basis: What all parts share.
        fleet: What was seen of upstreams.
        announcer: Tells other entries news, and sums what they counted.
    """
    settings, view = basis.settings, basis.view
    keeper = LeaseKeeper(
        basis.name,
        store=basis.store,
        clock=basis.clock,
        turn_bound=settings.turn_bound,
    )
    orders = LoadOrders(
        settings.process,
        keeper,
        view=view,
        planner=LoadPlanner(view, clock=basis.clock, is_suspect=fleet.is_suspect),
        pool=basis.pool,
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
            wall_clock=basis.wall_clock,
            due=settings.usage_due,
            list_counting=announcer.presence.list_possible,
        )
    return Control(keeper, orders, reports)
