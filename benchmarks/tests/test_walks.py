"""Random walks over state machines: what they draw, find and repeat."""

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from benchmarks.fuzz import MACHINES, load_machine
from benchmarks.walks import Batch, list_batches, list_rules, make_draw, walk


class CounterMachine(RuleBasedStateMachine):
    """Counts up; its invariant fails above a limit."""

    limit = 10**9

    @initialize()
    def start(self) -> None:
        self.count = 0

    @rule(step=st.integers(1, 3), is_taken=st.booleans())
    def add(self, step: int, is_taken: bool) -> None:
        self.count += step * is_taken

    @rule(word=st.sampled_from(["a", "b"]), share=st.floats(0.0, 0.5))
    def speak(self, word: str, share: float) -> None:
        assert word in "ab"
        assert 0.0 <= share <= 0.5

    @precondition(lambda self: self.count > 0)
    @rule(data=st.data())
    def take_away(self, data: st.DataObject) -> None:
        assert self.count > 0
        self.count -= data.draw(st.integers(0, 1))

    @invariant()
    def stays_small(self) -> None:
        assert self.count <= self.limit


class FaultyMachine(CounterMachine):
    limit = 20


def test_walk_that_holds_has_no_problem() -> None:
    assert walk(CounterMachine, Batch("counter", 3, 500)).problem == ""


def test_walk_finds_a_broken_invariant_and_repeats_it() -> None:
    batch = Batch("counter", 3, 500)
    result = walk(FaultyMachine, batch)
    assert "stays_small" in result.problem
    assert result == walk(FaultyMachine, batch)


def test_draw_of_an_unknown_kind_is_refused() -> None:
    with pytest.raises(ValueError, match="its kind is not known to walks"):
        make_draw(st.text())


def test_draws_stay_within_their_bounds() -> None:
    source = random.Random(1)
    drawn = {make_draw(st.integers(2, 4))(source) for _ in range(100)}
    assert drawn == {2, 3, 4}


def test_steps_are_dealt_out_to_machines_in_turn() -> None:
    batches = list_batches(["a", "b"], 7, 50_000)
    assert [(one.machine, one.seed, one.steps) for one in batches] == [
        ("a", 7, 20_000),
        ("b", 8, 20_000),
        ("a", 9, 10_000),
    ]


@pytest.mark.parametrize("name", sorted(MACHINES))
def test_every_machine_can_be_walked(name: str) -> None:
    machine = load_machine(name)
    assert list_rules(machine).rules
    assert list_rules(machine).invariants
    assert walk(machine, Batch(name, 1, 120)).problem == ""
