"""The choice between upstreams, and the shared bound of a cold one."""

import pytest

from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.messages import UpstreamLoad
from buckthornstile.topology import (
    PlatformConfiguration,
    Service,
    TopologyView,
    Upstream,
)

RATE, OVERAGE, SLACK = 22.0, 1.5, 5.0


class InProcessDeployment:
    """Several entries' fleets before the same upstreams."""

    def __init__(self, *, entries: int = 1, upstreams: int = 3, cold: float = 0.0):
        self.now = 100.0
        self.view = TopologyView()
        service = Service("desk", cold_rate=RATE, cold_start=3.0)
        self.view.apply_configuration(
            PlatformConfiguration(1, services={"desk": service})
        )
        for number in range(upstreams):
            upstream = Upstream(
                f"w{number}", "desk", "127.0.0.1", number, "a", 4, cold_remaining=cold
            )
            self.view.apply_upstream(upstream, self.now)
        names = [f"e{number}" for number in range(entries)]
        self.fleets = [
            LoadBalancer(
                self.view,
                lambda: self.now,
                list_entries=lambda: names,
                name=name,
                cold_rate_factor=OVERAGE,
                cold_rate_slack=SLACK,
            )
            for name in names
        ]

    @property
    def balancer(self) -> LoadBalancer:
        return self.fleets[0]

    def get(self, name: str) -> Upstream:
        return self.view.upstreams[name]


@pytest.mark.parametrize("entries", [1, 3, 9, 40, 320])
def test_cold_upstream_gets_no_more_than_its_bound(entries: int) -> None:
    deployment = InProcessDeployment(entries=entries, upstreams=1, cold=60.0)
    starts: list[float] = []
    for _ in range(60):
        deployment.now += 0.05
        for balancer in deployment.fleets:
            upstream = balancer.pick("desk")
            while upstream is not None:
                balancer.acquire_permit(upstream).release()
                starts.append(deployment.now)
                upstream = balancer.pick("desk")
    assert starts
    for first in starts:
        within = [at for at in starts if first <= at < first + 1.0]
        assert len(within) <= RATE * OVERAGE + SLACK


def test_warm_upstream_has_no_such_bound() -> None:
    deployment = InProcessDeployment(upstreams=1)
    for _ in range(200):
        upstream = deployment.balancer.pick("desk")
        assert upstream is not None
        deployment.balancer.acquire_permit(upstream).release()


def test_least_loaded_is_chosen() -> None:
    deployment = InProcessDeployment()
    for name in ("w0", "w1"):
        deployment.balancer.acquire_permit(deployment.get(name))
    assert deployment.balancer.pick("desk").id == "w2"
    deployment.balancer.record_load(deployment.get("w2"), UpstreamLoad(4, 3, 4))
    assert deployment.balancer.pick("desk").id != "w2"
    deployment.now += 1.0
    assert deployment.balancer.pick("desk").id == "w2"


def test_slow_upstream_gets_less() -> None:
    deployment = InProcessDeployment()
    for name, pace in (("w0", 0.3), ("w1", 0.03), ("w2", 0.03)):
        deployment.balancer.record_latency(deployment.get(name), pace)
    chosen = []
    for _ in range(6):
        upstream = deployment.balancer.pick("desk")
        deployment.balancer.acquire_permit(upstream)
        chosen.append(upstream.id)
    assert chosen.count("w0") <= 1
    assert deployment.balancer.is_slow(deployment.get("w0"), 0.3)
    assert not deployment.balancer.is_slow(deployment.get("w1"), 0.03)


def test_failed_upstream_is_left_for_a_while_but_not_for_ever() -> None:
    deployment = InProcessDeployment(upstreams=2)
    deployment.balancer.record_failure(deployment.get("w0"))
    assert {deployment.balancer.pick("desk").id for _ in range(5)} == {"w1"}
    for _ in range(20):
        deployment.balancer.record_failure(deployment.get("w0"))
    deployment.now += 3.1
    deployment.balancer.acquire_permit(deployment.get("w1"))
    assert deployment.balancer.pick("desk").id == "w0"


def test_failed_upstreams_are_better_than_none() -> None:
    deployment = InProcessDeployment(upstreams=1)
    deployment.balancer.record_failure(deployment.get("w0"))
    assert deployment.balancer.pick("desk").id == "w0"


def test_preferred_upstream_is_kept_while_it_is_hardly_more_loaded() -> None:
    deployment = InProcessDeployment()
    for _ in range(3):
        upstream = deployment.balancer.pick("desk", preferred="w2")
        assert upstream.id == "w2"
        deployment.balancer.acquire_permit(upstream)
    assert deployment.balancer.pick("desk", preferred="w2").id != "w2"
    for name in ("w0", "w1"):
        deployment.balancer.acquire_permit(deployment.get(name))
    assert deployment.balancer.pick("desk", preferred="w2").id == "w2"
    deployment.balancer.record_failure(deployment.get("w2"))
    assert deployment.balancer.pick("desk", preferred="w2").id != "w2"


def test_place_is_released_once() -> None:
    deployment = InProcessDeployment(upstreams=1)
    place = deployment.balancer.acquire_permit(deployment.get("w0"))
    place.release()
    place.release()
    assert deployment.balancer.get_stats(deployment.get("w0")).open_request_count == 0
