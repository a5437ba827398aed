"""What happens to a site: load, faults and swaps, at virtual times."""

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.policy.cluster import Cluster

WARM_UP_SECONDS = 20.0
END_SECONDS = 140.0
DRAIN_SECONDS = 40.0
DOMAIN_LEAVES_AT = 50.0
DOMAIN_RETURNS_AT = 80.0
OUTAGE = (50.0, 100.0)
FLOOD = (40.0, 100.0)
FLOOD_SHARES = 10.0
PEAK = (40.0, 70.0, 90.0, 110.0)
PEAK_FACTOR = 2.5
_NOTICE_SECONDS = 3.0


def _do_nothing(cluster: Cluster) -> None:
    return


@dataclass(frozen=True)
class Scenario:
    """One scenario.

    Args:
        name: Its name in tables.
        install: Schedules its faults.
        publish_seconds: Time between published weights.
        scaling: Whether upstreams are started and stopped.
    """

    name: str
    install: Callable[[Cluster], None] = _do_nothing
    publish_seconds: float = 60.0
    scaling: bool = False

    def compute_factor(
        self, cluster: Cluster, account: str, load: float, now: float
    ) -> float:
        """Computes the multiple of an account's usual load at a time."""
        floods = self.name == "flood" and account == cluster.site.flooding
        if floods and FLOOD[0] <= now < FLOOD[1]:
            accounts = {source.account for source in cluster.site.sources}
            accounts |= {trainer.account for trainer in cluster.site.trainers}
            return FLOOD_SHARES / len(accounts) / load
        if self.name == "peak":
            return compute_peak(now)
        return 1.0


def compute_peak(now: float) -> float:
    """Computes the load peak's factor: up, level, down."""
    up, top, down, end = PEAK
    if now < up or now >= end:
        return 1.0
    if now < top:
        return 1.0 + (PEAK_FACTOR - 1.0) * (now - up) / (top - up)
    if now < down:
        return PEAK_FACTOR
    return PEAK_FACTOR - (PEAK_FACTOR - 1.0) * (now - down) / (end - down)


def _list_engines(cluster: Cluster) -> list:
    return cluster.list_agents(cluster.site.services[0].name)


def _slow_one(cluster: Cluster) -> None:
    upstream = _list_engines(cluster)[0].upstream
    cluster.clock.call_in(50.0, upstream.set_slowness, 0.3)
    cluster.clock.call_in(110.0, upstream.set_slowness, 1.0)


def _turn_cold(cluster: Cluster) -> None:
    engines = _list_engines(cluster)
    for number, at in enumerate((50.0, 75.0, 100.0)):
        upstream = engines[number % len(engines)].upstream
        cluster.clock.call_in(at, upstream.turn_cold)


def _take_domain(cluster: Cluster) -> None:
    domain = cluster.site.failure_domains[0]
    agents = [
        agent
        for agent in cluster.agents.values()
        if agent.upstream.failure_domain == domain
    ]

    def notice() -> None:
        for agent in agents:
            agent.leaving = True

    def leave() -> None:
        for agent in agents:
            cluster.stop_upstream(agent)

    def come_back() -> None:
        for agent in agents:
            cluster.revive_upstream(agent)

    cluster.clock.call_in(DOMAIN_LEAVES_AT - _NOTICE_SECONDS, notice)
    cluster.clock.call_in(DOMAIN_LEAVES_AT, leave)
    cluster.clock.call_in(DOMAIN_RETURNS_AT, come_back)


def _cut_log(cluster: Cluster) -> None:
    def set_log(up: bool) -> None:
        cluster.log_up = up

    cluster.clock.call_in(OUTAGE[0], set_log, False)
    cluster.clock.call_in(OUTAGE[1], set_log, True)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady"),
        Scenario("flood"),
        Scenario("stragglers", _slow_one),
        Scenario("swaps", publish_seconds=15.0),
        Scenario("cold", _turn_cold),
        Scenario("domain", _take_domain),
        Scenario("log_outage", _cut_log, publish_seconds=30.0),
        Scenario("peak", scaling=True),
    )
}
