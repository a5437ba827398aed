"""What the lease holder starts and stops, from the load that agents report."""

import asyncio
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from buckthornstile.base import FailureDomain, ServiceName, UpstreamId
from buckthornstile.entry._links import AgentLink
from buckthornstile.orders import OrderWish
from buckthornstile.scaling import (
    DomainSupply,
    ScaleAction,
    ScaleMemory,
    ScalePolicy,
    ScaleWish,
    ServiceLoad,
    plan_scale,
)

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry

BACKLOG_SECONDS = 10.0
"""Queued work counts as demand that should be served within this time."""
GROWTH_SHARE = 0.2
START_PATIENCE = 5.0
"""Multiple of the start time after which an order is thought to bring nothing."""


@dataclass(frozen=True, slots=True)
class _Start:
    """A start that was ordered and has not served yet."""

    at: float
    service: ServiceName
    failure_domain: FailureDomain


class ScaleDuty:
    """Plans starts and stops while this entry holds the lease.

    It is off unless ``scale_maximum`` is set: ordering upstreams costs money.

    Args:
        entry: The entry.
    """

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self._memory = ScaleMemory()
        self._held_since: float | None = None
        self._demand: dict[ServiceName, float] = {}
        self._growth: dict[ServiceName, float] = {}
        self._starts: list[_Start] = []
        self._running: dict[tuple[ServiceName, FailureDomain], int] = {}

    async def run(self) -> None:
        """Plans again and again."""
        interval = self.entry.settings.scale_interval
        while True:
            await asyncio.sleep(interval)
            if not self.entry.settings.scale_maximum:
                continue
            now = self.entry.read_clock()
            if self.entry.control.may_act(now, order_seconds=0) is None:
                self._held_since = None
                continue
            if self._held_since is None:
                self._held_since = now
            # A new holder cannot see what the last one ordered until it serves.
            if now - self._held_since >= self.entry.settings.scale_start_seconds:
                self.plan(now)

    def plan(self, now: float) -> None:
        """Plans once, and asks control for the orders."""
        settings = self.entry.settings
        policy = ScalePolicy(start_seconds=settings.scale_start_seconds)
        patience = settings.scale_start_seconds * START_PATIENCE
        self._starts = [s for s in self._starts if now - s.at < patience]
        loads = [
            self._make_load(service, links, now)
            for service, links in self._group_links(now).items()
        ]
        plan = plan_scale(loads, now=now, policy=policy, memory=self._memory)
        self._memory = plan.memory
        wishes = [self._make_wish(wish) for wish in plan.wishes]
        for wish in plan.wishes:
            if wish.action is ScaleAction.START:
                start = _Start(now, wish.service, wish.failure_domain)
                self._starts += [start] * wish.count
            self.entry.changes.note(
                "scale.wished",
                f"{wish.action.value} {wish.count} of {wish.service}",
                wish.failure_domain,
            )
        self.entry.control.request_orders(wishes)

    def _group_links(self, now: float) -> dict[ServiceName, list[AgentLink]]:
        groups: dict[ServiceName, list[AgentLink]] = {}
        for link in self.entry.fleet.links.values():
            if (
                link.view.is_alive(now, timeout=self.entry.heartbeat_timeout)
                and not link.view.leaving
            ):
                groups.setdefault(link.view.service, []).append(link)
        return groups

    def _make_load(
        self, service: ServiceName, links: list[AgentLink], now: float
    ) -> ServiceLoad:
        speeds = [link.view.tokens_per_second for link in links]
        capacity = median(speed for speed in speeds if speed > 0) if any(speeds) else 0
        demand = sum(_get_demand(link, capacity, now) for link in links)
        earlier = self._demand.get(service, demand)
        slope = (demand - earlier) / self.entry.settings.scale_interval
        growth = self._growth.get(service, 0.0)
        self._growth[service] = growth + GROWTH_SHARE * (slope - growth)
        self._demand[service] = demand
        return ServiceLoad(
            service,
            demand=demand,
            capacity=capacity or 1.0,
            growth=self._growth[service],
            domains=self._list_supply(service, links),
            maximum=self.entry.settings.scale_maximum,
        )

    def _list_supply(
        self, service: ServiceName, links: list[AgentLink]
    ) -> tuple[DomainSupply, ...]:
        # A domain without one of the service's upstreams may still get one.
        running = dict.fromkeys(self.entry.fleet.failure_domains, 0)
        for link in links:
            domain = link.view.failure_domain
            running[domain] = running.get(domain, 0) + 1
        drains = self.entry.configuration.current.drains
        for domain, count in running.items():
            self._settle_starts(service, domain, count)
        return tuple(
            DomainSupply(
                domain,
                running=count,
                starting=self._count_starts(service, domain),
                available=domain not in drains,
            )
            for domain, count in sorted(running.items())
        )

    def _count_starts(self, service: ServiceName, domain: FailureDomain) -> int:
        wanted = (service, domain)
        return sum((s.service, s.failure_domain) == wanted for s in self._starts)

    def _settle_starts(
        self, service: ServiceName, domain: FailureDomain, running: int
    ) -> None:
        """Forgets the oldest starts as their upstreams begin to serve."""
        come = running - self._running.get((service, domain), running)
        self._running[service, domain] = running
        for start in list(self._starts):
            wanted = (start.service, start.failure_domain) == (service, domain)
            if wanted and come > 0:
                self._starts.remove(start)
                come -= 1

    def _make_wish(self, wish: ScaleWish) -> OrderWish:
        upstream = UpstreamId("")
        if wish.action is ScaleAction.STOP:
            upstream = self._choose_idlest(wish)
        return OrderWish(
            "start" if wish.action is ScaleAction.START else "stop",
            failure_domain=wish.failure_domain,
            service=wish.service,
            upstream=upstream,
            count=wish.count,
        )

    def _choose_idlest(self, wish: ScaleWish) -> UpstreamId:
        now = self.entry.read_clock()
        views = [
            link.view
            for link in self.entry.fleet.links.values()
            if (link.view.service, link.view.failure_domain)
            == (wish.service, wish.failure_domain)
        ]
        return min(
            views, key=lambda view: (view.compute_busy(now), view.upstream)
        ).upstream


def _get_demand(link: AgentLink, capacity: float, now: float) -> float:
    view = link.view
    share = min(view.compute_busy(now) / max(view.limit, 1.0), 1.0)
    return share * capacity + view.queued_tokens / BACKLOG_SECONDS
