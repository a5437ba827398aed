"""Runs the state machines of the tests for a longer time, with new seeds.

``make fuzz`` runs each state machine for a given time. If an invariant fails, it
prints the seed and the command that repeats the run.
"""

import argparse
import importlib
import secrets
import sys
import time
import traceback
from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck, Verbosity, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

STATE_MACHINES = {
    "lease": "buckthornstile.duties.tests.test_lease_machine:LeaseMachine",
    "configuration": "buckthornstile.configuration.tests.test_interleavings:Deployment",
    "ownership": "buckthornstile.jobs.tests.test_ownership_machine:OwnershipMachine",
    "orders": "buckthornstile.duties.tests.test_orders_machine:OrdersMachine",
    "usage": "buckthornstile.duties.tests.test_usage_machine:UsageMachine",
    "queue": "buckthornstile.queueing.tests.test_properties:QueueMachine",
}


@dataclass(frozen=True, slots=True)
class FuzzOptions:
    """Limits of a fuzzing run.

    Args:
        seconds: Time for each state machine in seconds.
        examples: Number of runs of a state machine with one seed.
        steps: Maximum number of steps in each run.
    """

    seconds: float
    examples: int
    steps: int


def load_state_machine(name: str) -> type[RuleBasedStateMachine]:
    """Imports a state machine by its name in STATE_MACHINES."""
    module, _, member = STATE_MACHINES[name].partition(":")
    return getattr(importlib.import_module(module), member)


def run_with_seed(name: str, seed: int, options: FuzzOptions) -> bool:
    """Runs a state machine with one seed, and prints the failure if there is one.

    Args:
        name: Name of the state machine.
        seed: Seed of its random choices.
        options: Limits of the run.

    Returns:
        Whether every invariant held.
    """
    machine = hypothesis.seed(seed)(load_state_machine(name))
    hypothesis_settings = settings(
        max_examples=options.examples,
        stateful_step_count=options.steps,
        deadline=None,
        database=None,
        print_blob=False,
        verbosity=Verbosity.normal,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(machine, settings=hypothesis_settings)
    except Exception:
        traceback.print_exc()
        print(
            f"{name}: FAILED with seed {seed}; repeat with\n"
            f"  python -m benchmarks.fuzz --only {name} --seed {seed} --seconds 0 "
            f"--examples {options.examples} --steps {options.steps}"
        )
        return False
    return True


def fuzz_state_machine(name: str, first_seed: int, options: FuzzOptions) -> bool:
    """Runs a state machine with consecutive seeds for the time in the options.

    Returns:
        Whether every invariant held.
    """
    started = time.monotonic()
    seed = first_seed
    while run_with_seed(name, seed, options):
        seed += 1
        if time.monotonic() - started >= options.seconds:
            runs = (seed - first_seed) * options.examples
            print(f"{name}: {runs} runs from seed {first_seed} passed")
            return True
    return False


def main() -> None:
    """Runs the state machines; the exit status is 1 if an invariant failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="time for each state machine"
    )
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--steps", type=int, default=60)
    parser.add_argument("--seed", type=int, default=None, help="the first seed")
    parser.add_argument("--only", choices=sorted(STATE_MACHINES), default=None)
    arguments = parser.parse_args()
    options = FuzzOptions(arguments.seconds, arguments.examples, arguments.steps)
    seed = secrets.randbits(31) if arguments.seed is None else arguments.seed
    names = [arguments.only] if arguments.only else list(STATE_MACHINES)
    passed = [fuzz_state_machine(name, seed, options) for name in names]
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
