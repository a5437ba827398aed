"""This process's share of the engines, and the choice of an engine within it."""

import functools
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from buckthornstile.base import ProcessName, ServiceName, UpstreamId
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.logs import log_event
from buckthornstile.metrics import CounterName, Counters
from buckthornstile.placement import RequestProfile
from buckthornstile.shares import (
    Assignment,
    Engine,
    EngineDemand,
    EngineSection,
    EngineState,
    Flow,
    ShareMode,
    ShareRecord,
    ShareTable,
    SlotUse,
)
from buckthornstile.topology import Upstream

LOG_INTERVAL = 1.0
"""Minimum seconds between two log lines about a service's assignment."""
WITHDRAWAL_TIME = 2.0
"""Seconds for which records without demand are published after the last demand, so that
the others don't reserve slots for it."""
SUSPENSION_TIME = 5.0
"""Seconds for which the present rule is used after shares could not be computed."""
MIN_EARLY_RECORD_INTERVAL = 0.45
"""Minimum seconds between two records that are published early."""
RUNS_COUNTER = CounterName("engine_runs")
REFUSALS_COUNTER = CounterName("engine_runs_refused")


@dataclass(frozen=True, slots=True)
class _Summary:
    """What is logged when it changes."""

    is_in_effect: bool = False
    owners: tuple[ProcessName, ...] = ()
    own_slots: int = 0
    own_engines: int = 0


class EngineShares:
    """Decides which engines this process may send items to.

    Args:
        name: Name of this process.
        balancer: Knows the upstreams and their loads.
        mode: Whether shares are used.
        clock: Returns the monotonic time in seconds.
        counters: Counts the runs by the kind of slot, and the refused ones.
        request_publish: Requests that a record is published now.
    """

    def __init__(
        self,
        name: ProcessName,
        balancer: LoadBalancer,
        *,
        mode: ShareMode,
        clock: Callable[[], float],
        counters: Counters,
        request_publish: Callable[[], None] = lambda: None,
    ) -> None:
        self.name = name
        self.balancer = balancer
        self.clock = clock
        self.counters = counters
        self.request_publish = request_publish
        self.table = ShareTable(name, mode)
        self._suspended_until = -1e9
        self._demanded_at = -1e9
        self._early_record_at = -1e9
        self._summaries: dict[ServiceName, _Summary] = {}
        self._logged_at: dict[ServiceName, float] = {}

    # Records

    def make_section(self, demands: Sequence[EngineDemand]) -> EngineSection | None:
        """Returns what to publish about this process's demands, or None for nothing.

        Nothing is published while nobody has observed that engines may need shares, so
        that a deployment without such engines has no more records than before.
        """
        now = self.clock()
        if self.table.mode is ShareMode.OFF or now < self._suspended_until:
            return None
        for service in {demand.service for demand in demands}:
            self._observe_slowdowns(service)
        shown = [demand for demand in demands if self._may_share(demand.service, now)]
        if shown:
            self._demanded_at = now
        elif now - self._demanded_at > WITHDRAWAL_TIME:
            return None
        services = {demand.service for demand in shown}
        pressure = {
            service: age
            for service in services
            if (age := self.table.get_own_pressure(service, now)) is not None
        }
        return EngineSection(
            tuple(shown), self._count_open(services), pressure=pressure
        )

    def _may_share(self, service: ServiceName, now: float) -> bool:
        is_on = self.table.mode is ShareMode.ON
        return is_on or self.table.has_pressure(service, now)

    def _observe_slowdowns(self, service: ServiceName) -> None:
        for upstream in self.balancer.view.list_available_upstreams(service):
            stats = self.balancer.get_stats(upstream)
            if stats.load is not None and stats.load.slowdown is not None:
                self.table.record_pressure(service, stats.load_received_at)

    def _count_open(self, services: Collection[ServiceName]) -> dict[UpstreamId, int]:
        return {
            upstream.id: count
            for service in services
            for upstream in self.balancer.view.list_available_upstreams(service)
            if (count := self.balancer.get_stats(upstream).open_request_count)
        }

    def apply_record(self, record: ShareRecord) -> None:
        """Applies the record of an entry, which may be this one."""
        now = self.clock()
        self.table.apply(record, now)
        if record.name != self.name or now < self._suspended_until:
            return
        services = {demand.service for demand in record.engines.demands}
        for service in services | set(self._summaries):
            self._log_change(service, now)

    def announce_demand(self, services: Iterable[ServiceName]) -> None:
        """Requests an early record after items began or ceased to wait.

        Without it, other owners would learn of the change about 0.2 s later.
        """
        now = self.clock()
        if self.table.mode is ShareMode.OFF:
            return
        if now - self._early_record_at < MIN_EARLY_RECORD_INTERVAL:
            return
        if any(self._may_share(service, now) for service in services):
            self._early_record_at = now
            self.request_publish()

    # Decisions

    def is_in_effect(self, service: ServiceName) -> bool:
        """Whether the slots of a service's engines are divided among owners now."""
        now = self.clock()
        return now >= self._suspended_until and self.table.is_in_effect(service, now)

    def suspend(self, error: Exception) -> None:
        """Lets the present rule decide for a while after an unexpected error."""
        self._suspended_until = self.clock() + SUSPENSION_TIME
        log_event("shares.failed", reason=repr(error), seconds=SUSPENSION_TIME)

    def is_wanted_by_others(self, service: ServiceName) -> bool:
        """Whether another owner has waiting items for a service."""
        return self.table.has_other_waiting(service, self.clock())

    def get_flow_slots(self, services: Iterable[ServiceName], flow: Flow) -> int:
        """Returns the number of slots that belong to this owner's items of a flow."""
        key = (self.name, flow)
        return sum(
            self._get_assignment(service).flow_slots.get(key, 0) for service in services
        )

    def has_free_engine(self, service: ServiceName) -> bool:
        """Whether any engine of a service may get a run now."""
        uses = self._decide_all(service)
        return any(use is not SlotUse.NOT_YET for use in uses.values())

    def choose_upstream(
        self,
        service: ServiceName,
        *,
        is_eligible: Callable[[Upstream], bool],
        avoided: Collection[UpstreamId],
        preferred: UpstreamId | None,
        profile: RequestProfile | None = None,
        prefix_holders: Collection[UpstreamId] = (),
        body_bytes: int = 0,
    ) -> Upstream | None:
        """Returns the engine that gets a run now, or None if it must wait.

        Own slots come before borrowed ones, and both before engines that the item
        avoids. An ejected engine is used only if no other is eligible.

        Args:
            service: The service.
            is_eligible: Whether an engine can run the item.
            avoided: Engines that are chosen only if there is no other.
            preferred: Engine that has the prefix of the item's group in its cache.
            profile: What is known of the item, for placement by work.
            prefix_holders: Engines that have processed the prefix of the item's group,
                for placement by work.
            body_bytes: Size of the item's body.
        """
        now = self.clock()
        uses = self._decide_all(service)
        eligible = [
            upstream
            for upstream in self.balancer.view.list_available_upstreams(service)
            if is_eligible(upstream)
        ]
        sound = [
            upstream for upstream in eligible if not self.balancer.is_ejected(upstream)
        ]
        ready = {
            upstream.id
            for upstream in sound or eligible
            if uses[upstream.id] is not SlotUse.NOT_YET
            and self.balancer.get_stats(upstream).refused_until <= now
        }
        own = {name for name in ready if uses[name] is SlotUse.OWN}
        for candidates in (
            own.difference(avoided),
            ready.difference(own, avoided),
            ready,
        ):
            if not candidates:
                continue
            upstream = self.balancer.pick(
                service,
                avoided=avoided,
                is_eligible=functools.partial(_is_among, candidates),
                preferred=preferred,
                profile=profile,
                is_deferrable=True,
                prefix_holders=prefix_holders,
                body_bytes=body_bytes,
            )
            if upstream is not None:
                self._record_sent(upstream, uses[upstream.id])
                return upstream
        return None

    def record_refused(self, upstream: Upstream) -> None:
        """Records that an engine refused a run."""
        self.counters.increment(REFUSALS_COUNTER)
        self.table.record_pressure(upstream.service, self.clock())

    def _record_sent(self, upstream: Upstream, use: SlotUse) -> None:
        self.counters.increment(RUNS_COUNTER, slot=use.value)
        self.table.record_sent(upstream.id)

    def _decide_all(self, service: ServiceName) -> dict[UpstreamId, SlotUse]:
        """Decides for each engine of a service.

        Each engine is checked every time, as ``ShareTable`` measures how long its slots
        stay free.
        """
        now = self.clock()
        assignment = self._get_assignment(service)
        uses = {}
        for upstream in self.balancer.view.list_available_upstreams(service):
            state = self._observe(upstream, now)
            uses[upstream.id] = self.table.decide(service, assignment, state, now)
        return uses

    def _observe(self, upstream: Upstream, now: float) -> EngineState:
        stats = self.balancer.get_stats(upstream)
        others = None
        if stats.load is not None:
            open_count = stats.load.running + stats.load.waiting
            others = max(0, open_count - stats.own_requests_at_load)
        return EngineState(
            upstream.id,
            upstream.slots,
            stats.open_request_count,
            others,
            now - stats.load_received_at,
        )

    def _get_assignment(self, service: ServiceName) -> Assignment:
        return self.table.get_assignment(
            service, lambda: self._list_engines(service), self.clock()
        )

    def _list_engines(self, service: ServiceName) -> list[Engine]:
        view = self.balancer.view
        demands = self.table.list_demands(service, self.clock())
        models = {row.model for rows in demands.values() for row in rows if row.model}
        return [
            Engine(
                upstream.id,
                upstream.slots,
                {model: view.get_version(upstream, model) for model in models},
            )
            for upstream in view.list_available_upstreams(service)
        ]

    # Metrics and log

    def count_own_slots(self) -> int:
        """Returns the number of slots that belong to this process now."""
        now = self.clock()
        return sum(
            summary.own_slots
            for service, summary in self._summaries.items()
            if self.table.is_in_effect(service, now)
        )

    def count_services_in_effect(self) -> int:
        """Returns the number of services whose engines are divided among owners."""
        return sum(map(self.is_in_effect, self._summaries))

    def _log_change(self, service: ServiceName, now: float) -> None:
        summary = _Summary()
        if self.table.is_in_effect(service, now):
            assignment = self._get_assignment(service)
            engines = [
                engine for engine, row in assignment.slots.items() if row.get(self.name)
            ]
            owners = tuple(sorted(self.table.list_demands(service, now)))
            own_slots = assignment.count_slots(self.name)
            summary = _Summary(True, owners, own_slots, len(engines))
        previous = self._summaries.get(service, _Summary())
        is_due = now - self._logged_at.get(service, -LOG_INTERVAL) >= LOG_INTERVAL
        if summary == previous or not is_due:
            return
        self._summaries[service], self._logged_at[service] = summary, now
        log_event(
            "shares.assigned",
            service=service,
            in_effect=summary.is_in_effect,
            owners=",".join(summary.owners),
            own_slots=summary.own_slots,
            own_engines=summary.own_engines,
            previous_slots=previous.own_slots,
        )


def _is_among(names: Collection[UpstreamId], upstream: Upstream) -> bool:
    return upstream.id in names
