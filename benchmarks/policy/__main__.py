"""Runs the policy experiments: ``python -m benchmarks.policy``."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import fire

from benchmarks.policy.policies import POLICIES, PRODUCT
from benchmarks.policy.report import (
    format_table,
    format_targets,
    write_files,
)
from benchmarks.policy.run import Experiment, run_experiment
from benchmarks.policy.scenarios import SCENARIOS
from benchmarks.policy.sites import SITES
from buckthornstile.base import check_range

MAX_PROCESSES = 4


def _split(names: str | tuple[str, ...], known: list[str]) -> list[str]:
    chosen = names.split(",") if isinstance(names, str) else list(names)
    unknown = [name for name in chosen if name and name not in known]
    if unknown:
        raise ValueError(f"{unknown[0]!r} is unknown; known are {', '.join(known)}")
    return [name for name in chosen if name] or known


def main(
    *,
    seeds: int = 10,
    scenario: str | tuple[str, ...] = "",
    site: str | tuple[str, ...] = "",
    policy: str | tuple[str, ...] = "",
    processes: int = MAX_PROCESSES,
    output: str = "results",
) -> None:
    """Runs each policy in each scenario with each seed.

    Args:
        seeds: Number of seeds, from 1.
        scenario: Scenarios, separated by commas; all if empty.
        site: Sites, separated by commas; all if empty.
        policy: Policies, separated by commas; all if empty.
        processes: Processes that share the runs, at most 4.
        output: The folder for the JSON file and the plots.
    """
    check_range("seeds", seeds, minimum=1, maximum=1000)
    check_range("processes", processes, minimum=1, maximum=MAX_PROCESSES)
    policies = {known.name: known for known in POLICIES}
    experiments: list[Experiment] = [
        Experiment(site_name, scenario_name, policies[policy_name], seed)
        for site_name in _split(site, list(SITES))
        for scenario_name in _split(scenario, list(SCENARIOS))
        for policy_name in _split(policy, list(policies))
        for seed in range(1, seeds + 1)
    ]
    # Unlike a pool, an executor ends with an error if its processes can't start.
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as executor:
        results = list(executor.map(run_experiment, experiments, chunksize=2))
    print(format_table(results))
    if not policy:
        print(format_targets(results, PRODUCT.name))
    write_files(results, Path(output))


if __name__ == "__main__":
    fire.Fire(main)
