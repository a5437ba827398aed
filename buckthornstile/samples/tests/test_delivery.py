"""Any interleaving of faults keeps the promises on samples; naive forms do not."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.samples import (
    FinishedSamples,
    LabelTracker,
    Lot,
    Receipt,
    ReceivedSet,
)
from buckthornstile.samples.tests.world import LOT, PromiseBroken, World
from buckthornstile.wire import FinishedSample, Slot, TokenRange

ENTRIES = st.integers(0, 1)
AGENTS = st.integers(0, 2)
NUMBERS = st.integers(0, 5)


class SamplesMachine(RuleBasedStateMachine):
    options: dict = {}

    @initialize()
    def start(self):
        self.world = World(**self.options)
        self.world.attach(self.world.entries[0])

    @rule(entry=ENTRIES, delayed=st.booleans())
    def attach(self, entry, delayed):
        self.world.attach(self.world.entries[entry], delayed=delayed)

    @rule()
    def deliver_a_late_attach(self):
        if self.world.attaches:
            self.world.take_attach(*self.world.attaches.pop(0))

    @rule(entry=ENTRIES, capacity=st.integers(0, 6), choose=AGENTS)
    def decide(self, entry, capacity, choose):
        self.world.now += 0.5
        entry = self.world.entries[entry]
        self.world.decide(entry, capacity=capacity, choose=choose)

    @rule(agent=AGENTS, number=NUMBERS)
    def make_a_token(self, agent, number):
        agent = self.world.agents[agent]
        if agent.runs:
            agent.make_token(list(agent.runs.values())[number % len(agent.runs)])

    @rule(agent=AGENTS, number=NUMBERS, lost=st.booleans())
    def finish_a_run(self, agent, number, lost):
        self.world.now += 0.1
        self.world.finish(self.world.agents[agent], number, lost=lost)

    @rule(entry=ENTRIES, choose=AGENTS)
    def work_a_while(self, entry, choose):
        entry = self.world.entries[entry]
        self.world.decide(entry, capacity=6, choose=choose)
        for _ in range(3):
            self.world.finish(self.world.agents[choose])
        self.world.decide(entry, capacity=0)

    @rule(entry=ENTRIES, choose=AGENTS)
    def start_streams(self, entry, choose):
        self.world.decide(self.world.entries[entry], capacity=6, choose=choose)
        agent = self.world.agents[choose]
        for run in agent.runs.values():
            agent.make_token(run)

    @rule(number=NUMBERS)
    def read_a_line(self, number):
        self.world.read(number)

    @rule(lost=st.booleans())
    def acknowledge(self, lost):
        self.world.acknowledge(lost=lost)

    @rule(lost=st.booleans())
    def the_trainer_advances(self, lost):
        if self.world.version < 12:
            self.world.advance(lost=lost)

    @rule(agent=AGENTS)
    def swap_weights(self, agent):
        agent = self.world.agents[agent]
        if agent.version == self.world.version < 12:
            self.world.advance()
        agent.version = max(agent.version, self.world.version)

    @rule(agent=AGENTS, back=st.integers(0, 2))
    def an_engine_restarts_with_old_weights(self, agent, back):
        agent = self.world.agents[agent]
        self.world.restart(agent, max(3, agent.version - back))

    @rule(entry=ENTRIES)
    def kill_an_entry(self, entry):
        self.world.entries[entry].kill()

    @rule(entry=ENTRIES)
    def the_trainer_restarts(self, entry):
        self.world.restart_trainer()
        self.world.attach(self.world.entries[entry])

    def teardown(self):
        if hasattr(self, "world"):
            self.world.run_calmly()


def run_machine(options, *, examples, phases=tuple(Phase)):
    machine = type("Machine", (SamplesMachine,), {"options": options})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_promises_hold_under_any_interleaving():
    run_machine({}, examples=300)


class LabelByStateBefore(LabelTracker):
    """Labels every token by the version reported before the call."""

    def finish(self, after):
        return (TokenRange(0, self.token_count - 1, self.before.version),)


class ReceivedWithoutDuplicates(ReceivedSet):
    """Takes whatever comes as new."""

    def receive(self, line):
        receipt = super().receive(line)
        return Receipt.NEW if receipt is Receipt.DUPLICATE else receipt


class BoundAtStartOnly(Lot):
    """Knows the bound only at dispatch."""

    def on_finished(self, sample, now):
        version, self.trainer_version = self.trainer_version, 0
        taken = super().on_finished(sample, now)
        self.trainer_version = version
        return taken

    def _deliver(self):
        version, self.trainer_version = self.trainer_version, 0
        actions = super()._deliver()
        self.trainer_version = version
        return actions


class ReceivedWithoutBound(ReceivedSet):
    """Does not check a sample's age again."""

    def on_trainer_version(self, version):
        pass


class LotWithoutFencing(Lot):
    """Takes an older attach as if it were the newest."""

    def on_attach(self, attach, received, trainer_version, now):
        self.attach = -1
        return super().on_attach(attach, received, trainer_version, now)


class LotThatKeepsAcknowledgements(Lot):
    """Does not believe a trainer that has lost its samples."""

    def on_attach(self, *arguments):
        self._slots.reopen_all_but = lambda received: None
        return super().on_attach(*arguments)


class LotWithLateAcknowledgements(Lot):
    """Takes acknowledgements of an earlier attach."""

    def on_acknowledge(self, slots, *, attach=None):
        super().on_acknowledge(slots)


NAIVE = {
    "labels by the state before": {"make_tracker": LabelByStateBefore},
    "no removal of duplicates": {"make_received": ReceivedWithoutDuplicates},
    "bound at start only": {
        "make_lot": BoundAtStartOnly,
        "make_received": ReceivedWithoutBound,
    },
}


@pytest.mark.parametrize("name", NAIVE)
def test_naive_forms_break_a_promise(name):
    with pytest.raises(PromiseBroken):
        run_machine(NAIVE[name], examples=300, phases=(Phase.generate,))


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize(
    "make_lot", [Lot, LotThatKeepsAcknowledgements, LotWithLateAcknowledgements]
)
def test_a_restarted_trainer_gets_the_whole_lot(make_lot, late):
    world = World(make_lot=make_lot)
    entry = world.entries[0]
    world.attach(entry)
    world.run_calmly()
    naive = LotWithLateAcknowledgements if late else LotThatKeepsAcknowledgements
    if late:
        lost = [(slot, world.stream[1]) for slot, _ in world.taken]
    world.restart_trainer()
    world.attach(entry)
    if late:
        world.acknowledgements = lost
        while world.acknowledgements:
            world.acknowledge()
    if make_lot is naive:
        with pytest.raises(PromiseBroken, match="stalls"):
            world.run_calmly()
    elif make_lot is Lot:
        world.run_calmly()
        assert len(world.taken) == 6


@pytest.mark.parametrize("make_lot", [Lot, LotWithoutFencing])
def test_a_late_attach_does_not_take_the_stream_back(make_lot):
    world = World(make_lot=make_lot)
    entry = world.entries[0]
    world.attach(entry, delayed=True)
    world.attach(entry)
    world.take_attach(*world.attaches.pop())
    world.decide(entry, capacity=6)
    for agent in world.agents:
        while agent.runs:
            world.finish(agent)
    world.decide(entry)
    to_newest = [attach == world.stream[1] for _, attach, _ in world.wire]
    assert (to_newest == [True] * 6) is (make_lot is Lot)


class AgentsWithoutFencing(FinishedSamples):
    """Takes work of any attach."""

    def check_attach(self, lot, attach):
        pass


@pytest.mark.parametrize("make_finished", [FinishedSamples, AgentsWithoutFencing])
def test_agents_take_no_work_of_an_entry_that_the_trainer_has_left(make_finished):
    world = World()
    for agent in world.agents:
        agent.finished = make_finished()
    world.attach(world.entries[0])
    world.attach(world.entries[1])
    world.decide(world.entries[0], capacity=6)
    started = sum(len(agent.runs) for agent in world.agents)
    assert started == (0 if make_finished is FinishedSamples else 6)


def test_a_rerun_replaces_a_held_sample_that_has_become_too_old():
    world = World()
    entry = world.entries[0]
    world.attach(entry)
    world.decide(entry, capacity=6, choose=0)
    agent = world.agents[0]
    while agent.runs:
        world.finish(agent)
    assert len(agent.finished) == 6
    world.advance()
    world.advance()
    agent.version = world.version
    world.decide(entry, capacity=6, choose=0)
    while agent.runs:
        world.finish(agent)
    assert agent.finished.counters.replaced == 6
    world.run_calmly()


def test_the_store_of_finished_samples_is_bounded_and_counts_what_it_drops():
    store = FinishedSamples(maximum_bytes=100, maximum_age=10.0)
    for index in range(5):
        sample = FinishedSample("e/1", LOT, 0, index, bytes(40), b"")
        store.add(sample, now=float(index))
    assert (len(store), store.held_bytes, store.counters.evicted) == (2, 80, 3)
    assert store.expire(13.0) == 1
    assert store.acknowledge(LOT, [Slot(0, 4), Slot(0, 3)]) == 1
    assert (len(store), store.held_bytes) == (0, 0)
