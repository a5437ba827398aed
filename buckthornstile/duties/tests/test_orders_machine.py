"""Orders against a model of an engine: lost answers, late orders, two holders."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.duties import ModelLoadPlanner, PlannedModelLoad
from buckthornstile.topology import (
    PlatformConfiguration,
    Service,
    TopologyView,
    Upstream,
)

MODELS = ("m0", "m1")
ENGINES = ("i0", "i1", "i2")
HOLDERS = ("e1", "e2")
LOAD_SECONDS = 1.0

Order = tuple[PlannedModelLoad, int | None]


class Engine:
    """What an engine does with orders, as the platform's protocol says."""

    def __init__(self) -> None:
        self.versions = dict.fromkeys(MODELS, 1)
        self.orders = 0
        self.until = 0.0
        self.load: PlannedModelLoad | None = None
        self.loaded: list[tuple[str, int]] = []

    def finish(self, now: float) -> None:
        if self.load is not None and now >= self.until:
            self.versions[self.load.model] = self.load.version
            self.load = None

    def take(self, order: Order, now: float) -> str:
        """Takes an order; says whether it did."""
        load, expected = order
        self.finish(now)
        if self.load is not None or (expected is not None and expected != self.orders):
            return "refused"
        if self.versions[load.model] == load.version:
            return "holds"
        self.orders += 1
        self.load, self.until = load, now + LOAD_SECONDS
        self.loaded.append((load.model, load.version))
        return "accepted"


class OrdersMachine(RuleBasedStateMachine):
    """Two planners, of which either may believe that it holds the lease."""

    names_count = True

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.engines = {name: Engine() for name in ENGINES}
        self.late: list[Order] = []
        self.named = dict.fromkeys(MODELS, 1)
        self.views: dict[str, TopologyView] = {}
        self.planners: dict[str, ModelLoadPlanner] = {}
        for holder in HOLDERS:
            self.restart(holder)

    @rule(holder=st.sampled_from(HOLDERS))
    def restart(self, holder: str) -> None:
        view = self.views[holder] = TopologyView()
        service = Service("engines", models=MODELS)
        view.apply_configuration(
            PlatformConfiguration(1, services={"engines": service})
        )
        for number, name in enumerate(ENGINES):
            upstream = Upstream(name, "engines", "127.0.0.1", 9000 + number, "a", 8)
            view.apply_upstream(upstream, 0.0)
        for model, version in self.named.items():
            view.apply_target_version(model, version)
        self.planners[holder] = ModelLoadPlanner(
            view, clock=lambda: self.now, is_ejected=lambda upstream: False
        )

    @rule(wait=st.sampled_from([0.1, 0.5, 1.2]))
    def wait(self, wait: float) -> None:
        self.now += wait
        for engine in self.engines.values():
            engine.finish(self.now)

    @rule(model=st.sampled_from(MODELS), seen_by=st.sampled_from(HOLDERS))
    def name_version(self, model: str, seen_by: str) -> None:
        self.named[model] += 1
        self.views[seen_by].apply_target_version(model, self.named[model])

    @rule(holder=st.sampled_from(HOLDERS))
    def read_names(self, holder: str) -> None:
        for model, version in self.named.items():
            self.views[holder].apply_target_version(model, version)

    @rule(
        holder=st.sampled_from(HOLDERS),
        outcome=st.sampled_from(["answered", "answered", "lost", "late"]),
    )
    def order(self, holder: str, outcome: str) -> None:
        """Sends what is due, after what is doubted was asked."""
        planner = self.planners[holder]
        loads = planner.plan()
        for name in planner.list_upstreams_to_poll():
            self.ask(planner, name)
        for load in loads:
            expected = planner.get_order_count(load.upstream)
            if expected is None:
                continue
            planner.record_unknown_outcome(load.upstream)
            order = (load, expected if self.names_count else None)
            if outcome == "late":
                self.late.append(order)
                continue
            answer = self.engines[load.upstream].take(order, self.now)
            if outcome == "lost":
                continue
            if answer == "accepted":
                planner.record_accepted(load)
            elif answer == "holds":
                planner.record_already_loaded(load)

    def ask(self, planner: ModelLoadPlanner, name: str) -> None:
        engine = self.engines[name]
        engine.finish(self.now)
        versions = dict(engine.versions)
        planner.record_report(name, versions, engine.orders, engine.load is not None)

    @rule()
    def carry_out_late(self) -> None:
        if self.late:
            order = self.late.pop(0)
            self.engines[order[0].upstream].take(order, self.now)

    @rule()
    def serve_a_while(self) -> None:
        """One holder goes on undisturbed."""
        self.read_names("e1")
        for _ in range(8):
            self.wait(0.5)
            self.order("e1", "answered")

    @invariant()
    def no_engine_loads_a_version_twice(self) -> None:
        for engine in getattr(self, "engines", {}).values():
            assert len(engine.loaded) == len(set(engine.loaded))

    @invariant()
    def no_engine_goes_back(self) -> None:
        for engine in getattr(self, "engines", {}).values():
            for model in MODELS:
                versions = [version for one, version in engine.loaded if one == model]
                assert versions == sorted(versions)


class CarelessOrdersMachine(OrdersMachine):
    """Orders that do not name the count of earlier ones."""

    names_count = False


def test_orders_machine() -> None:
    run_state_machine_as_test(
        OrdersMachine,
        settings=settings(
            derandomize=True, max_examples=120, stateful_step_count=40, deadline=None
        ),
    )


def test_late_order_without_a_count_takes_an_engine_back() -> None:
    outcomes = []
    for kind in (OrdersMachine, CarelessOrdersMachine):
        machine = kind()
        machine.start()
        machine.name_version("m0", "e1")
        machine.name_version("m0", "e1")
        machine.order("e1", "late")
        machine.wait(0.5)
        machine.order("e1", "late")
        machine.name_version("m0", "e1")
        for _ in range(12):
            machine.wait(0.5)
            machine.order("e1", "answered")
        while machine.late:
            machine.wait(1.2)
            machine.carry_out_late()
        try:
            machine.no_engine_goes_back()
        except AssertionError:
            outcomes.append("went back")
        else:
            outcomes.append("kept")
    assert outcomes == ["kept", "went back"]
