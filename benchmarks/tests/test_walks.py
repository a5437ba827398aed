"""Tests of the random walks over state machines."""

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

from benchmarks.fuzz import STATE_MACHINES, load_state_machine
from benchmarks.walks import (
    WalkBatch,
    inspect_machine,
    make_batches,
    make_sampler,
    run_random_walk,
)


class CounterMachine(RuleBasedStateMachine):
    """Changes a count, which an invariant limits."""

    limit = 10**9

    @initialize()
    def start(self) -> None:
        self.count = 0

    @rule(step=st.integers(1, 3), is_added=st.booleans())
    def add(self, step: int, is_added: bool) -> None:
        self.count += step * is_added

    @rule(letter=st.sampled_from(["a", "b"]), fraction=st.floats(0.0, 0.5))
    def check_arguments(self, letter: str, fraction: float) -> None:
        assert letter in "ab"
        assert 0.0 <= fraction <= 0.5

    @precondition(lambda self: self.count > 0)
    @rule(data=st.data())
    def subtract(self, data: st.DataObject) -> None:
        assert self.count > 0
        self.count -= data.draw(st.integers(0, 1))

    @invariant()
    def check_limit(self) -> None:
        assert self.count <= self.limit


class FaultyMachine(CounterMachine):
    limit = 20


def test_walk_without_failure_has_no_problem() -> None:
    assert run_random_walk(CounterMachine, WalkBatch("counter", 3, 500)).problem == ""


def test_walk_reports_a_failed_invariant_and_is_repeatable() -> None:
    batch = WalkBatch("counter", 3, 500)
    result = run_random_walk(FaultyMachine, batch)
    assert "check_limit" in result.problem
    assert result == run_random_walk(FaultyMachine, batch)


def test_unsupported_strategy_is_rejected() -> None:
    with pytest.raises(ValueError, match="is not supported by random walks"):
        make_sampler(st.text())


def test_sampled_integers_cover_their_bounds() -> None:
    source = random.Random(1)
    drawn = {make_sampler(st.integers(2, 4))(source) for _ in range(100)}
    assert drawn == {2, 3, 4}


def test_batches_alternate_between_machines_with_consecutive_seeds() -> None:
    batches = make_batches(["a", "b"], 7, 50_000)
    assert [(batch.machine, batch.seed, batch.steps) for batch in batches] == [
        ("a", 7, 20_000),
        ("b", 8, 20_000),
        ("a", 9, 10_000),
    ]


@pytest.mark.parametrize("name", sorted(STATE_MACHINES))
def test_every_state_machine_supports_random_walks(name: str) -> None:
    machine = load_state_machine(name)
    assert inspect_machine(machine).rules
    assert inspect_machine(machine).invariants
    assert run_random_walk(machine, WalkBatch(name, 1, 120)).problem == ""
