"""The choice between upstreams, and the shared bound of a cold one."""

import pytest

from buckthornstile.calls import UpstreamLoad
from buckthornstile.gateway._fleet import Fleet
from buckthornstile.topology import Configuration, Service, TopologyView, Upstream

RATE, OVERAGE, SLACK = 22.0, 1.5, 5.0


class World:
    """Several entries' fleets before the same upstreams."""

    def __init__(self, *, entries: int = 1, upstreams: int = 3, cold: float = 0.0):
        self.now = 100.0
        self.view = TopologyView()
        service = Service("desk", cold_rate=RATE, cold_start=3.0)
        self.view.apply_configuration(Configuration(1, services={"desk": service}))
        for number in range(upstreams):
            upstream = Upstream(
                f"w{number}", "desk", "127.0.0.1", number, "a", 4, cold_remaining=cold
            )
            self.view.apply_upstream(upstream, self.now)
        names = [f"e{number}" for number in range(entries)]
        self.fleets = [
            Fleet(
                self.view,
                lambda: self.now,
                count_entries=lambda: names,
                name=name,
                overage=OVERAGE,
                slack=SLACK,
            )
            for name in names
        ]

    @property
    def fleet(self) -> Fleet:
        return self.fleets[0]

    def get(self, name: str) -> Upstream:
        return self.view.upstreams[name]


@pytest.mark.parametrize("entries", [1, 3, 9, 40, 320])
def test_cold_upstream_gets_no_more_than_its_bound(entries: int) -> None:
    world = World(entries=entries, upstreams=1, cold=60.0)
    starts: list[float] = []
    for _ in range(60):
        world.now += 0.05
        for fleet in world.fleets:
            upstream = fleet.choose("desk")
            while upstream is not None:
                fleet.take_place(upstream).release()
                starts.append(world.now)
                upstream = fleet.choose("desk")
    assert starts
    for first in starts:
        within = [at for at in starts if first <= at < first + 1.0]
        assert len(within) <= RATE * OVERAGE + SLACK


def test_warm_upstream_has_no_such_bound() -> None:
    world = World(upstreams=1)
    for _ in range(200):
        upstream = world.fleet.choose("desk")
        assert upstream is not None
        world.fleet.take_place(upstream).release()


def test_least_loaded_is_chosen() -> None:
    world = World()
    for name in ("w0", "w1"):
        world.fleet.take_place(world.get(name))
    assert world.fleet.choose("desk").id == "w2"
    world.fleet.note_load(world.get("w2"), UpstreamLoad(4, 3, 4))
    assert world.fleet.choose("desk").id != "w2"
    world.now += 1.0
    assert world.fleet.choose("desk").id == "w2"


def test_slow_upstream_gets_less() -> None:
    world = World()
    for name, pace in (("w0", 0.3), ("w1", 0.03), ("w2", 0.03)):
        world.fleet.note_pace(world.get(name), pace)
    chosen = []
    for _ in range(6):
        upstream = world.fleet.choose("desk")
        world.fleet.take_place(upstream)
        chosen.append(upstream.id)
    assert chosen.count("w0") <= 1
    assert world.fleet.is_slow(world.get("w0"), 0.3)
    assert not world.fleet.is_slow(world.get("w1"), 0.03)


def test_failed_upstream_is_left_for_a_while_but_not_for_ever() -> None:
    world = World(upstreams=2)
    world.fleet.note_failure(world.get("w0"))
    assert {world.fleet.choose("desk").id for _ in range(5)} == {"w1"}
    for _ in range(20):
        world.fleet.note_failure(world.get("w0"))
    world.now += 3.1
    world.fleet.take_place(world.get("w1"))
    assert world.fleet.choose("desk").id == "w0"


def test_failed_upstreams_are_better_than_none() -> None:
    world = World(upstreams=1)
    world.fleet.note_failure(world.get("w0"))
    assert world.fleet.choose("desk").id == "w0"


def test_preferred_upstream_is_kept_while_it_is_hardly_more_loaded() -> None:
    world = World()
    for _ in range(3):
        upstream = world.fleet.choose("desk", preferred="w2")
        assert upstream.id == "w2"
        world.fleet.take_place(upstream)
    assert world.fleet.choose("desk", preferred="w2").id != "w2"
    for name in ("w0", "w1"):
        world.fleet.take_place(world.get(name))
    assert world.fleet.choose("desk", preferred="w2").id == "w2"
    world.fleet.note_failure(world.get("w2"))
    assert world.fleet.choose("desk", preferred="w2").id != "w2"


def test_place_is_released_once() -> None:
    world = World(upstreams=1)
    place = world.fleet.take_place(world.get("w0"))
    place.release()
    place.release()
    assert world.fleet.get(world.get("w0")).open == 0
