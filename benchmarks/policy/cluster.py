"""Entries and agents around the real core, and the calls between them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf
from random import Random
from typing import Any

from benchmarks.policy.clock import Clock
from benchmarks.policy.policies import Policy, make_limit, make_queue
from benchmarks.policy.sites import Service, Site
from benchmarks.policy.upstreams import FakeUpstream, Job
from buckthornstile.base import RequestClass, Verdict
from buckthornstile.limits import RampRestart, RetryBudget
from buckthornstile.queueing import QueueItem
from buckthornstile.routing import (
    OutlierEjection,
    RouteRequest,
    UpstreamView,
    choose_upstream,
)
from buckthornstile.wire import Heartbeat

HEARTBEAT_SECONDS = 1.0
HEARTBEAT_TIMEOUT = 3.0
_HOP_SECONDS = 0.0005


@dataclass(eq=False)
class Call:
    """One call or sample on its way, and what became of it."""

    account: str
    service: str
    request_class: RequestClass
    tokens: float
    expected: float
    on_end: Callable[["Call"], Any]
    prompt: float = 0.0
    prefix: str = ""
    deadline: float = inf
    needed_at: float = 0.0
    minimum_version: int = -1
    born_at: float = 0.0
    first_at: float | None = None
    ended_at: float | None = None
    verdict: Verdict = Verdict.NOT_RUN
    version: int = 0
    upstream: str = ""
    attempts: int = 0
    cancelled: bool = False
    job: Job | None = None
    request_id: str = ""


class Agent:
    """The agent beside one upstream: queue, limit, heartbeats."""

    def __init__(self, cluster: "Cluster", upstream: FakeUpstream) -> None:
        self.cluster = cluster
        self.upstream = upstream
        self.leaving = False
        self.open: dict[str, tuple[Call, Entry]] = {}
        self.begin()

    def begin(self) -> None:
        """Starts with an empty queue and a new ramp."""
        now, policy = self.cluster.clock.now, self.cluster.policy
        self.queue = make_queue(policy)
        self.limit = make_limit(policy, self.upstream.spec.slots, now)
        self.sequence = 0

    def submit(self, call: Call, entry: "Entry") -> None:
        """Queues a call, or refuses it as not run."""
        now = self.cluster.clock.now
        if not self.upstream.alive:
            self.cluster.clock.call_in(HEARTBEAT_TIMEOUT, entry.on_lost, call)
            return
        if self.leaving and self.cluster.policy.choice == "core":
            entry.on_refused(call, self)
            return
        item = QueueItem(
            call.request_id,
            call.account,
            call.request_class,
            cost=call.expected,
            slack=max(0.0, call.needed_at - now),
            deadline=call.deadline,
        )
        result = self.queue.push(item, now)
        if not result.accepted:
            entry.on_refused(call, self)
            return
        self.open[call.request_id] = (call, entry)
        for shed in result.shed:
            other, its_entry = self.open.pop(shed.request_id)
            its_entry.on_refused(other, self)
        self.pump()

    def pump(self) -> None:
        """Starts queued calls as far as the limit allows."""
        now = self.cluster.clock.now
        while self.upstream.alive and self.limit.may_start(len(self.upstream.running)):
            item = self.queue.pop(now)
            if item is None:
                break
            call, entry = self.open[item.request_id]
            self._start(call, entry)
        for expired in self.queue.take_expired():
            call, entry = self.open.pop(expired.request_id)
            entry.on_end(call, self, Verdict.NOT_RUN)

    def cancel(self, call: Call) -> None:
        """Drops a call that nobody wants any more."""
        if self.open.pop(call.request_id, None) is None:
            return
        if self.queue.remove(call.request_id) is None and call.job is not None:
            self.upstream.cancel(call.job)
            self.limit.on_finish(True, self.cluster.clock.now)
            self.queue.charge(call.request_id, call.expected / 2)
        self.pump()

    def lose_all(self) -> None:
        """Dies with its upstream; entries find out by missing heartbeats."""
        lost = list(self.open.values())
        self.open.clear()
        for call, entry in lost:
            self.cluster.clock.call_in(HEARTBEAT_TIMEOUT, entry.on_lost, call)

    def make_heartbeat(self) -> Heartbeat:
        """Makes the report that entries get."""
        self.sequence += 1
        return Heartbeat(
            self.sequence,
            0.0,
            0,
            state="draining" if self.leaving else "serving",
            version=self.upstream.version,
            limit=self.limit.limit,
            running=len(self.upstream.running),
            queued=len(self.queue),
            queued_tokens=int(self.queue.queued_cost),
            tokens_per_second=self.upstream.spec.total_speed,
        )

    def _start(self, call: Call, entry: "Entry") -> None:
        job = Job(
            call.tokens,
            call.prompt,
            call.prefix,
            on_first=lambda: self._on_first(call),
            on_end=lambda ok: self._on_end(call, entry),
        )
        call.job = job
        self.limit.on_start()
        self.upstream.start(job)
        call.version = job.version

    def _on_first(self, call: Call) -> None:
        now = self.cluster.clock.now
        call.first_at = now
        assert call.job is not None
        self.limit.on_first_token(now - call.job.started_at, now)
        self.pump()

    def _on_end(self, call: Call, entry: "Entry") -> None:
        self.open.pop(call.request_id, None)
        self.limit.on_finish(True, self.cluster.clock.now)
        self.queue.charge(call.request_id, call.tokens)
        entry.on_end(call, self, Verdict.RAN)
        self.pump()


class Entry:
    """An entry: its views, choices and retries."""

    def __init__(self, cluster: "Cluster", name: str, failure_domain: str) -> None:
        self.cluster = cluster
        self.name = name
        self.failure_domain = failure_domain
        self.rng = Random(f"{cluster.seed} {name}")
        self.views: dict[str, UpstreamView] = {}
        self.ejection = OutlierEjection()
        self.budget = RetryBudget()
        self._turns: dict[str, int] = {}

    def on_heartbeat(self, agent: Agent, heartbeat: Heartbeat) -> None:
        """Takes in an agent's report."""
        up = agent.upstream
        view = self.views.get(up.name)
        if view is None:
            view = UpstreamView(up.name, up.service, up.failure_domain)
            self.views[up.name] = view
        view.on_heartbeat(heartbeat, self.cluster.clock.now)

    def send(self, call: Call) -> None:
        """Sends a call to the upstream of choice."""
        clock = self.cluster.clock
        if call.cancelled:
            return
        if clock.now >= call.deadline:
            self._finish(call, Verdict.NOT_RUN)
            return
        name = self._choose(call)
        if name is None:
            clock.call_in(0.5, self.send, call)
            return
        call.attempts += 1
        if call.attempts == 1:
            arrived = self.cluster.arrived
            arrived[call.service] = arrived.get(call.service, 0.0) + call.expected
        call.upstream = name
        call.request_id = f"{self.name}/{next(self.cluster.numbers)}"
        self.views[name].on_send(call.expected)
        agent = self.cluster.agents[name]
        clock.call_in(_HOP_SECONDS, agent.submit, call, self)

    def on_refused(self, call: Call, agent: Agent) -> None:
        """Tries a refused call again after a while: it has not run."""
        self.views[agent.upstream.name].on_finish()
        self.cluster.refused += 1
        wait = 0.5 + self.rng.random() * min(4.0, 0.5 * call.attempts)
        self.cluster.clock.call_in(wait, self.send, call)

    def on_lost(self, call: Call) -> None:
        """Sends a call again whose upstream died."""
        self._note_result(call.upstream, ok=False)
        self.views[call.upstream].on_finish()
        call.first_at = None
        if call.request_class is RequestClass.TRAINER or self.budget.spend():
            self.send(call)
        else:
            self._finish(call, Verdict.MAY_HAVE_RUN)

    def on_end(self, call: Call, agent: Agent, verdict: Verdict) -> None:
        """Hands a call's end on."""
        self.views[agent.upstream.name].on_finish()
        if verdict is Verdict.RAN:
            self.budget.on_success()
            self._note_result(agent.upstream.name, ok=True)
        self._finish(call, verdict)

    def cancel(self, call: Call) -> None:
        """Gives up a call."""
        call.cancelled = True
        agent = self.cluster.agents.get(call.upstream)
        if agent is not None and call.request_id in agent.open:
            self.views[call.upstream].on_finish()
            agent.cancel(call)

    def has_idle_capacity(self, service: str) -> bool:
        """Tells whether less than 70% of what the service bears is in use."""
        now = self.cluster.clock.now
        views = [
            view
            for view in self.views.values()
            if view.service == service and view.is_alive(now, timeout=HEARTBEAT_TIMEOUT)
        ]
        busy = sum(view.compute_busy(now) for view in views)
        return busy < 0.7 * sum(view.limit for view in views)

    def _finish(self, call: Call, verdict: Verdict) -> None:
        call.ended_at = self.cluster.clock.now
        call.verdict = verdict
        if not call.cancelled:
            call.on_end(call)

    def _note_result(self, upstream: str, *, ok: bool) -> None:
        service = self.views[upstream].service
        peers = [v.upstream for v in self.views.values() if v.service == service]
        self.ejection.on_result(upstream, ok, self.cluster.clock.now, peers=peers)

    def _choose(self, call: Call) -> str | None:
        now, policy = self.cluster.clock.now, self.cluster.policy
        if policy.choice != "core":
            return self._choose_simply(call)
        choice = choose_upstream(
            self.views.values(),
            RouteRequest(
                call.service,
                cost=call.expected,
                prefix=call.prefix if policy.affinity else "",
                minimum_version=call.minimum_version,
            ),
            now=now,
            rng=self.rng,
            failure_domain=self.failure_domain,
            is_ejected=lambda name: self.ejection.is_ejected(name, now),
            load_factor=policy.load_factor,
            heartbeat_timeout=HEARTBEAT_TIMEOUT,
        )
        return choice.upstream

    def _choose_simply(self, call: Call) -> str | None:
        """Round robin or least connections over what is alive."""
        now = self.cluster.clock.now
        views = [
            view
            for view in self.views.values()
            if view.service == call.service
            and view.is_alive(now, timeout=HEARTBEAT_TIMEOUT)
        ]
        if not views:
            return None
        if self.cluster.policy.choice == "least_connections":
            least = min(view.in_flight for view in views)
            ties = [view for view in views if view.in_flight == least]
            return self.rng.choice(ties).upstream
        turn = self._turns[call.service] = self._turns.get(call.service, -1) + 1
        return views[turn % len(views)].upstream


@dataclass
class Cluster:
    """One site under one policy and seed."""

    site: Site
    policy: Policy
    seed: int
    clock: Clock = field(default_factory=Clock)
    agents: dict[str, Agent] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    published: int = 0
    log_up: bool = True
    refused: int = 0
    arrived: dict[str, float] = field(default_factory=dict)
    numbers: Any = field(default_factory=count)

    def build(self) -> None:
        """Makes the entries and the warm upstreams that serve from the start."""
        domains = self.site.failure_domains
        for number in range(self.site.entries):
            domain = domains[number % len(domains)]
            self.entries.append(Entry(self, f"e{number}", domain))
        for service in self.site.services:
            for domain, workers in service.workers:
                for _ in range(workers):
                    self.add_upstream(service, domain)

    def add_upstream(self, service: Service, domain: str) -> Agent:
        """Adds a warm upstream and its agent."""
        name = f"{service.name}-{len(self.agents)}"
        upstream = FakeUpstream(self.clock, name, service.name, domain, service.spec)
        upstream.version = self.published
        upstream.born_at = self.clock.now
        agent = self.agents[name] = Agent(self, upstream)
        self.clock.call_every(HEARTBEAT_SECONDS, lambda: self._send_heartbeat(agent))
        return agent

    def list_agents(self, service: str) -> list[Agent]:
        """Lists the agents of a service whose upstream lives."""
        return [
            agent
            for agent in self.agents.values()
            if agent.upstream.service == service and agent.upstream.alive
        ]

    def stop_upstream(self, agent: Agent) -> None:
        """Ends an upstream and its agent at once."""
        agent.upstream.stop()
        agent.lose_all()

    def revive_upstream(self, agent: Agent) -> None:
        """Starts an upstream again, cold, with a new agent."""
        agent.upstream.version = self.published
        agent.upstream.revive()
        agent.leaving = False
        agent.begin()
        agent.limit.restart(RampRestart.ENGINE_INCARNATION, self.clock.now)

    def publish(self) -> None:
        """Publishes weights and swaps engine after engine, while the log is up."""
        self.published += 1
        self._swap_next(self.published)

    def _swap_next(self, version: int) -> None:
        if not self.log_up:
            self.clock.call_in(1.0, self._swap_next, version)
            return
        old = [
            agent.upstream
            for agent in self.agents.values()
            if agent.upstream.alive
            and agent.upstream.spec.swap_seconds > 0.0
            and agent.upstream.version < version
        ]
        if old and version == self.published:
            old[0].swap(version)
            self.clock.call_in(old[0].spec.swap_seconds, self._swap_next, version)

    def _send_heartbeat(self, agent: Agent) -> None:
        if not agent.upstream.alive:
            return
        heartbeat = agent.make_heartbeat()
        for entry in self.entries:
            self.clock.call_in(_HOP_SECONDS, entry.on_heartbeat, agent, heartbeat)
        agent.pump()
