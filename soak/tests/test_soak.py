"""A short run of the soak, and every seed that ever failed."""

import pytest

from soak import make_plan, play

SHORT_SEED = 20261204
REGRESSIONS: dict[int, str] = {}
"""Seeds that failed once, each with its cause."""


@pytest.mark.parametrize("seed", [SHORT_SEED, *REGRESSIONS])
def test_seed_holds(seed):
    outcome = play(make_plan(seed))
    assert not outcome.problems, (outcome.steps, outcome.problems)
    assert outcome.calls["200"] > 100
