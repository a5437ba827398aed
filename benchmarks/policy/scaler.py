"""Starts and stops upstreams in a run: the product's planner, or a reaction."""

from collections import Counter
from dataclasses import dataclass, field
from math import ceil

from benchmarks.policy.cluster import Agent, Cluster
from benchmarks.policy.scenarios import compute_peak
from benchmarks.policy.sites import Service
from benchmarks.policy.traffic import TrainerLoop
from buckthornstile.scaling import (
    DomainSupply,
    ScaleAction,
    ScaleMemory,
    ScalePolicy,
    ServiceLoad,
    plan_scale,
)

INTERVAL_SECONDS = 2.0
_SMOOTHING = 0.25
_BACKLOG_SECONDS = 20.0
_POLICY = ScalePolicy(start_seconds=15.0, ramp_seconds=6.0, stop_after=8.0)


@dataclass
class Scaler:
    """One cluster's upstreams over time, and their cost."""

    cluster: Cluster
    seconds: dict[str, float] = field(default_factory=dict)
    memory: ScaleMemory = field(default_factory=ScaleMemory)
    starting: Counter[tuple[str, str]] = field(default_factory=Counter)

    def begin(self, *, scaling: bool) -> None:
        """Starts to count upstream-seconds, and to scale if asked."""
        self.demand: dict[str, float] = {}
        self.growth: dict[str, float] = {}
        self.scaling = scaling
        self.cluster.clock.call_every(INTERVAL_SECONDS, self._step)

    def _step(self) -> None:
        for service in self.cluster.site.services:
            live = len(self.cluster.list_agents(service.name))
            ordered = sum(
                number
                for (name, _), number in self.starting.items()
                if name == service.name
            )
            cost = (live + ordered) * INTERVAL_SECONDS
            self.seconds[service.name] = self.seconds.get(service.name, 0.0) + cost
            self._observe(service)
        if not self.scaling or not self.cluster.log_up:
            return
        if self.cluster.policy.planned_scale:
            self._plan()
        else:
            for service in self.cluster.site.services:
                self._react(service)

    def _observe(self, service: Service) -> None:
        arrived = self.cluster.arrived.pop(service.name, 0.0) / INTERVAL_SECONDS
        before = self.demand.get(service.name, arrived)
        after = before + _SMOOTHING * (arrived - before)
        self.demand[service.name] = after
        slope = (after - before) / INTERVAL_SECONDS
        known = self.growth.get(service.name, 0.0)
        self.growth[service.name] = known + _SMOOTHING * (slope - known)

    def _plan(self) -> None:
        loads = []
        for service in self.cluster.site.services:
            agents = self.cluster.list_agents(service.name)
            running = Counter(agent.upstream.failure_domain for agent in agents)
            domains = tuple(
                DomainSupply(
                    domain, running[domain], self.starting[service.name, domain]
                )
                for domain, _ in service.workers
            )
            backlog = sum(agent.queue.queued_cost for agent in agents)
            loads.append(
                ServiceLoad(
                    service.name,
                    self.demand[service.name] + backlog / _BACKLOG_SECONDS,
                    service.spec.total_speed,
                    growth=self.growth[service.name],
                    domains=domains,
                )
            )
        plan = plan_scale(
            loads, now=self.cluster.clock.now, policy=_POLICY, memory=self.memory
        )
        self.memory = plan.memory
        for wish in plan.wishes:
            for _ in range(wish.count):
                if wish.action is ScaleAction.START:
                    self._start(self._find_service(wish.service), wish.failure_domain)
                else:
                    self._stop(wish.service, wish.failure_domain)

    def _react(self, service: Service) -> None:
        """One more above 85% of slots in use, one less below 40%."""
        agents = self.cluster.list_agents(service.name)
        slots = sum(agent.limit.limit for agent in agents)
        used = sum(len(agent.upstream.running) + len(agent.queue) for agent in agents)
        ordered = any(name == service.name for name, _ in +self.starting)
        running = Counter(agent.upstream.failure_domain for agent in agents)
        domains = [domain for domain, _ in service.workers]
        if used > 0.85 * slots and not ordered:
            self._start(service, min(domains, key=lambda name: running[name]))
        elif used < 0.4 * slots and len(agents) > len(domains):
            self._stop(service.name, max(domains, key=lambda name: running[name]))

    def _find_service(self, name: str) -> Service:
        return next(s for s in self.cluster.site.services if s.name == name)

    def _start(self, service: Service, domain: str) -> None:
        self.starting[service.name, domain] += 1
        wait = service.spec.start_seconds
        self.cluster.clock.call_in(wait, self._finish_start, service, domain)

    def _finish_start(self, service: Service, domain: str) -> None:
        self.starting[service.name, domain] -= 1
        agent = self.cluster.add_upstream(service, domain)
        agent.upstream.turn_cold()

    def _stop(self, service: str, domain: str) -> None:
        """Drains the youngest upstream there; it ends when its work has."""
        agents = [
            agent
            for agent in self.cluster.list_agents(service)
            if agent.upstream.failure_domain == domain and not agent.leaving
        ]
        if agents:
            agents[-1].leaving = True
            self._end_when_idle(agents[-1])

    def _end_when_idle(self, agent: Agent) -> None:
        if agent.open:
            self.cluster.clock.call_in(0.5, self._end_when_idle, agent)
        else:
            self.cluster.stop_upstream(agent)


def compute_least(
    cluster: Cluster, trainers: list[TrainerLoop], now: float, *, spare_domain: bool
) -> float:
    """Computes the fewest upstreams that serve the known demand at a time.

    Args:
        cluster: The cluster.
        trainers: Its trainers.
        now: The virtual time.
        spare_domain: Whether the loss of one failure domain must be covered.

    Returns:
        Upstreams of all services.
    """
    total = 0
    for service in cluster.site.services:
        spec = service.spec
        capacity = sum(number for _, number in service.workers) * spec.total_speed
        demand = sum(
            source.load
            * capacity
            * (1.0 + source.prompt * spec.prefill_cost / source.tokens)
            for source in cluster.site.sources
            if source.service == service.name
        ) * compute_peak(now)
        for loop in trainers:
            if loop.trainer.service == service.name:
                prompts = loop.trainer.groups * loop.trainer.prompt * spec.prefill_cost
                demand += loop.compute_demand() + prompts / loop.trainer.train_seconds
        need = max(1, ceil(demand / spec.total_speed))
        domains = len(service.workers)
        count = need
        while spare_domain and count - ceil(count / domains) < need:
            count += 1
        total += count
    return float(total)
