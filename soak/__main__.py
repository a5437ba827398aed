"""Runs seeds of the soak test: ``make soak`` or ``python -m soak --seeds 50 --jobs 3``.

With ``--keys``, API keys change accounts in a deployment of many entries.

Seeds start at a random number unless ``--first`` is given. Each seed that fails is
printed with its steps and problems. The exit status is zero only if no seed failed.
"""

import argparse
import json
import multiprocessing
import secrets
import sys
from dataclasses import asdict

from soak import SoakResult, make_plan, run_key_changes, run_seed_plan


def run_seed(seed: int) -> SoakResult:
    """Runs the plan of one seed."""
    return run_seed_plan(make_plan(seed))


def main() -> int:
    """Runs the seeds, several at a time, and prints their results.

    Returns:
        The exit status.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument(
        "--first", type=int, default=None, help="the first seed; random by default"
    )
    parser.add_argument(
        "--jobs", type=int, default=2, help="number of seeds that run at a time"
    )
    parser.add_argument("--keys", action="store_true", help="change API keys")
    arguments = parser.parse_args()
    first = secrets.randbits(30) if arguments.first is None else arguments.first
    seeds = range(first, first + arguments.seeds)
    failed_count = 0
    with multiprocessing.Pool(arguments.jobs) as pool:
        run = run_key_changes if arguments.keys else run_seed
        for result in pool.imap_unordered(run, seeds):
            verdict = "FAILED" if result.problems else "passed"
            calls = sum(result.calls.values())
            print(
                f"seed {result.seed}: {verdict}, {calls} calls, "
                f"{result.samples} samples, {result.seconds:.1f} s",
                flush=True,
            )
            if result.problems:
                failed_count += 1
                print(json.dumps(asdict(result), indent=1), flush=True)
    print(f"{arguments.seeds} seeds from {first}: {failed_count} failed")
    return int(failed_count > 0)


if __name__ == "__main__":
    sys.exit(main())
