"""A short soak run, and a run of every seed that has failed before."""

import pytest

from soak import make_plan, run_key_changes, run_seed_plan

SHORT_SEED = 20261204
REGRESSION_SEEDS: dict[int, str] = {
    957090290: "the stand-in worker ended its open streams as complete when it exited",
    957090299: "the check demanded an error code of an upstream's own failure",
    971672249: "two changes were written with one revision, without a condition",
    971672264: "a window was sealed again after the store had dropped its seal",
}
"""Seeds that have failed before, each with its cause."""


STATEMENT_SEEDS = (1, 10, SHORT_SEED)
"""Seeds whose plans have an upstream that states a limit, one that states that it
leaves, and a request that crashes upstreams."""
SHORT_PLANS = [make_plan(seed) for seed in STATEMENT_SEEDS] + [
    # These seeds failed before plans had such steps.
    make_plan(seed, has_statements=False)
    for seed in (SHORT_SEED, *REGRESSION_SEEDS)
]


@pytest.mark.parametrize("plan", SHORT_PLANS, ids=lambda plan: plan.seed)
def test_soak_run_finds_no_problems(plan):
    result = run_seed_plan(plan)
    assert not result.problems, (result.steps, result.problems)
    assert result.calls["200"] > 100


def test_keys_that_change_accounts_are_accepted_as_the_newest_version_says():
    """With the former exchange between entries, this seed had 28 problems."""
    result = run_key_changes(4)
    assert not result.problems, (result.steps, result.problems)
    assert result.calls["200"] > 100
