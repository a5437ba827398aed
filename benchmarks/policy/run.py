"""One run: a site, a policy, a scenario and a seed."""

from dataclasses import dataclass, field

from benchmarks.policy.cluster import Cluster
from benchmarks.policy.measures import Figures, measure, measure_return
from benchmarks.policy.policies import Policy
from benchmarks.policy.report import Result
from benchmarks.policy.scaler import INTERVAL_SECONDS, Scaler, compute_least
from benchmarks.policy.scenarios import (
    DRAIN_SECONDS,
    END_SECONDS,
    SCENARIOS,
    Scenario,
)
from benchmarks.policy.sites import SITES, Source
from benchmarks.policy.traffic import Caller, TrainerLoop


@dataclass
class Run:
    """A cluster with its traffic and what was sampled each second."""

    cluster: Cluster
    scenario: Scenario
    callers: list[Caller] = field(default_factory=list)
    trainers: list[TrainerLoop] = field(default_factory=list)
    total_rates: list[float] = field(default_factory=list)
    domain_rates: list[float] = field(default_factory=list)

    def execute(self) -> Figures:
        """Runs to the end and measures."""
        cluster, clock = self.cluster, self.cluster.clock
        cluster.build()
        self.scenario.install(cluster)
        for source in cluster.site.sources:
            self.callers.append(self._make_caller(source))
        for trainer in cluster.site.trainers:
            self.trainers.append(TrainerLoop(cluster, trainer, END_SECONDS))
        self._schedule_publishing()
        self._before = (0.0, 0.0)
        clock.call_every(1.0, self._sample)
        scaler = Scaler(cluster)
        scaler.begin(scaling=self.scenario.scaling)
        # The first heartbeats must be in before the first call.
        for active in (*self.callers, *self.trainers):
            clock.call_in(1.0, active.begin)
        clock.run(END_SECONDS)
        seconds = sum(scaler.seconds.values())
        clock.run(END_SECONDS + DRAIN_SECONDS)
        figures = measure(self, flood=self.scenario.name == "flood")
        if self.scenario.scaling:
            figures.cost_ratio = seconds / self._compute_least(spare=True)
            figures.cost_ratio_bare = seconds / self._compute_least(spare=False)
        if self.scenario.name == "domain":
            measure_return(self.total_rates[1:], self.domain_rates[1:], figures)
        return figures

    def _make_caller(self, source: Source) -> Caller:
        return Caller(
            self.cluster,
            source,
            lambda now: self.scenario.compute_factor(
                self.cluster, source.account, source.load, now
            ),
            END_SECONDS,
        )

    def _schedule_publishing(self) -> None:
        period = self.scenario.publish_seconds
        at = period
        while at < END_SECONDS:
            self.cluster.clock.call_in(at, self.cluster.publish)
            at += period

    def _compute_least(self, *, spare: bool) -> float:
        least = 0.0
        for step in range(int(END_SECONDS / INTERVAL_SECONDS) + 1):
            now = step * INTERVAL_SECONDS
            count = compute_least(self.cluster, self.trainers, now, spare_domain=spare)
            least += count * INTERVAL_SECONDS
        return least

    def _sample(self) -> None:
        upstreams = [agent.upstream for agent in self.cluster.agents.values()]
        first_domain = self.cluster.site.failure_domains[0]
        total = sum(up.tokens_served for up in upstreams)
        domain = sum(
            up.tokens_served for up in upstreams if up.failure_domain == first_domain
        )
        self.total_rates.append(total - self._before[0])
        self.domain_rates.append(domain - self._before[1])
        self._before = (total, domain)


@dataclass(frozen=True)
class Experiment:
    """Which run to make."""

    site: str
    scenario: str
    policy: Policy
    seed: int


def run_experiment(experiment: Experiment) -> Result:
    """Runs one experiment.

    Args:
        experiment: Which run to make.

    Returns:
        Its figures.
    """
    site = SITES[experiment.site]
    cluster = Cluster(site, experiment.policy, experiment.seed)
    figures = Run(cluster, SCENARIOS[experiment.scenario]).execute()
    name = experiment.policy.name
    return Result(experiment.site, experiment.scenario, name, experiment.seed, figures)
