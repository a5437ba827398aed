"""Which engine loads which version, and when."""

from buckthornstile.duties import ModelLoadPlanner, PlannedModelLoad
from buckthornstile.topology import (
    PlatformConfiguration,
    Service,
    TopologyView,
    Upstream,
)


class World:
    """A view, a clock and engines that carry loads out."""

    def __init__(self, *, engines: int, models: int) -> None:
        self.now = 0.0
        self.view = TopologyView()
        self.models = tuple(f"m{number}" for number in range(models))
        service = Service("engines", models=self.models)
        self.view.apply_configuration(
            PlatformConfiguration(1, services={"engines": service})
        )
        self.versions = {
            f"e{number}": dict.fromkeys(self.models, 1) for number in range(engines)
        }
        self.suspects: set[str] = set()
        self.planner = ModelLoadPlanner(
            self.view,
            clock=lambda: self.now,
            is_ejected=lambda upstream: upstream.id in self.suspects,
        )
        self.loads: list[tuple[float, PlannedModelLoad]] = []
        self.orders = dict.fromkeys(self.versions, 0)
        self.busy: dict[str, tuple[float, PlannedModelLoad]] = {}
        for number, name in enumerate(self.versions):
            self.view.apply_upstream(
                Upstream(name, "engines", "127.0.0.1", 9000 + number, "a", 8), 0.0
            )

    def name(self, model: str, version: int) -> None:
        self.view.apply_target_version(model, version)

    def step(self, seconds: float = 0.1) -> list[PlannedModelLoad]:
        """Plans once; engines carry out what they are told in one second."""
        self.now += seconds
        for engine, (until, load) in list(self.busy.items()):
            if until <= self.now:
                self.versions[engine][load.model] = load.version
                del self.busy[engine]
        planned = self.planner.plan()
        for name in self.planner.list_upstreams_to_poll():
            self.planner.record_report(
                name, self.versions[name], self.orders[name], name in self.busy
            )
        for load in planned:
            assert load.upstream not in self.busy
            assert (
                self.planner.get_order_count(load.upstream)
                == (self.orders[load.upstream])
            )
            self.orders[load.upstream] += 1
            self.busy[load.upstream] = (self.now + 1.0, load)
            self.loads.append((self.now, load))
            self.planner.record_accepted(load)
        return planned

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.step()

    def count_able(self, model: str, named: int) -> int:
        return sum(versions[model] >= named - 1 for versions in self.versions.values())


def test_no_order_before_the_count_of_earlier_ones_is_known() -> None:
    world = World(engines=1, models=1)
    world.name("m0", 3)
    assert world.step() == []
    assert world.step() == [PlannedModelLoad("e0", "m0", 3)]


def test_some_engine_can_always_serve_the_named_version() -> None:
    world = World(engines=4, models=3)
    for version in range(2, 12):
        for model in world.models:
            world.name(model, version)
        for _ in range(40):
            world.step()
            for model in world.models:
                assert world.count_able(model, version) >= 1 or world.now < 4
        for model in world.models:
            assert world.count_able(model, version) >= 2


def test_loads_stay_near_the_even_share() -> None:
    world = World(engines=4, models=3)
    for version in range(2, 22):
        world.name("m0", version)
        world.run(4.0)
    assert len(world.loads) <= 20 * 2


def test_one_model_keeps_all_engines_near_the_newest() -> None:
    world = World(engines=5, models=1)
    for version in range(2, 8):
        world.name("m0", version)
        world.run(4.0)
        assert world.count_able("m0", version) == 5


def test_few_engines_load_at_once() -> None:
    world = World(engines=10, models=1)
    world.name("m0", 4)
    for _ in range(60):
        world.step()
        assert len(world.busy) <= 4
    assert world.count_able("m0", 4) == 10


def test_failed_engine_gets_no_order_and_others_take_its_place() -> None:
    world = World(engines=4, models=3)
    world.suspects = {"e1"}
    world.name("m0", 3)
    world.run(6.0)
    assert all(load.upstream != "e1" for _, load in world.loads)
    assert world.count_able("m0", 3) >= 2


def test_unanswered_order_is_asked_for_before_the_next() -> None:
    world = World(engines=1, models=1)
    world.name("m0", 3)
    world.step()
    planned = world.planner.plan()
    world.planner.record_unknown_outcome("e0")
    assert planned
    assert world.planner.plan() == []
    world.now += 0.5
    assert world.planner.list_upstreams_to_poll() == ["e0"]
    world.planner.record_report("e0", {"m0": 3}, 1, False)
    assert world.planner.plan() == []


def test_new_incarnation_starts_anew() -> None:
    world = World(engines=1, models=1)
    world.name("m0", 3)
    world.run(3.0)
    assert world.planner.get_order_count("e0") == 1
    fresh = Upstream("e0", "engines", "127.0.0.1", 9000, "a", 8, started_at_ms=5)
    world.view.apply_upstream(fresh, world.now)
    assert world.planner.get_order_count("e0") is None


def test_dark_engines_do_not_hold_up_the_others() -> None:
    world = World(engines=4, models=1)
    world.name("m0", 3)
    world.planner.plan()
    for name in ("e0", "e1"):
        world.planner.record_unknown_outcome(name)
    world.suspects = {"e0", "e1"}
    world.run(5.0)
    assert world.versions["e2"]["m0"] == world.versions["e3"]["m0"] == 3
