"""Two candidates whose links to the log come and go; the platform sees all writes."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.control.tests import naive
from buckthornstile.control.tests.simulation import DURATION, Fate, World
from buckthornstile.lease import LeaseFold, choose_candidates

CANDIDATES = st.integers(0, 1)
SECONDS = st.sampled_from([0.5, 5.0, 12.0])
MAX_LATE_SECONDS = 20.0


class LeaseMachine(RuleBasedStateMachine):
    parts = {}

    def __init__(self):
        super().__init__()
        self.world = World(rates=(0.985, 1.015), **self.parts)
        self.world.beats = True

    @initialize()
    def elect(self):
        self.world.wait_for_holder()

    @rule(
        index=CANDIDATES,
        read_delay=st.sampled_from([0.0, 8.0, 40.0]),
        appends=st.booleans(),
        seconds=SECONDS,
    )
    def connect(self, index, read_delay, appends, seconds):
        self.world.processes[index].read_delay = read_delay
        self.world.processes[index].appends_lost = not appends
        self.world.advance(seconds)

    @rule(index=CANDIDATES, is_paused=st.booleans(), seconds=SECONDS)
    def pause(self, index, is_paused, seconds):
        self.world.processes[index].is_paused = is_paused
        self.world.advance(seconds)

    @rule(seconds=SECONDS, delay=st.floats(0.5, MAX_LATE_SECONDS))
    def append_late(self, seconds, delay):
        self.world.advance(seconds, choose_fate=lambda: (Fate.LATE, delay))

    @invariant()
    def check_one_in_charge(self):
        self.world.platform.check_one_in_charge()

    def teardown(self):
        self.world.settle(MAX_LATE_SECONDS + 4 * DURATION)
        self.world.platform.check_one_in_charge()
        assert self.world.get_holder(), "nobody holds the lease after all faults"


MACHINE_SETTINGS = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=12,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


def test_one_in_charge_under_all_faults():
    run_state_machine_as_test(LeaseMachine, settings=MACHINE_SETTINGS)


@pytest.mark.parametrize("keeper", [naive.ReadBackKeeper, naive.UnreadKeeper])
def test_machine_finds_a_naive_keeper(keeper):
    machine = type("NaiveMachine", (LeaseMachine,), {"parts": {"keeper": keeper}})
    without_shrinking = settings(
        MACHINE_SETTINGS, max_examples=400, phases=[Phase.generate]
    )
    with pytest.raises(AssertionError, match="acted in term"):
        run_state_machine_as_test(machine, settings=without_shrinking)


def cut_off_slow_holder(fold):
    """A holder with a slow clock loses the log; a fast clock waits for its end."""
    world = World(rates=(0.985, 1.015), lease_fold=fold)
    world.beats = True
    for process in world.processes:
        process.core.keeper.duration = 60.0
        process.core.keeper.jitter = 0.0
    holder, other = world.processes
    other.is_paused = True
    assert world.wait_for_holder() is holder
    other.is_paused = False
    holder.appends_lost = True
    holder.reads = False
    world.advance(90.0)
    return world


def test_clock_rates_differ():
    world = cut_off_slow_holder(LeaseFold)
    world.platform.check_one_in_charge()
    assert world.get_holder() is world.processes[1]


def test_no_margin_lets_two_act():
    world = cut_off_slow_holder(naive.MarginlessFold)
    with pytest.raises(AssertionError, match="acted in term"):
        world.platform.check_one_in_charge()


def test_one_candidate_changes_when_an_entry_goes():
    entries = [f"e{number}" for number in range(20)]
    before = choose_candidates(entries, 3)
    for gone in entries:
        after = choose_candidates([e for e in entries if e != gone], 3)
        assert len(set(before) - set(after)) == (gone in before)
