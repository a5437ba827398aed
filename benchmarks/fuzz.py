"""Runs the state machines of the tests for long, with fresh seeds.

``make fuzz`` runs each machine for a while and prints the seed of a failure with
the command that repeats it. The machines and their invariants are the tests'.
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

MACHINES = {
    "lease": "buckthornstile.duties.tests.test_lease_machine:LeaseMachine",
    "configuration": "buckthornstile.configuration.tests.test_interleavings:Deployment",
    "ownership": "buckthornstile.jobs.tests.test_ownership_machine:OwnershipMachine",
    "orders": "buckthornstile.duties.tests.test_orders_machine:OrdersMachine",
    "usage": "buckthornstile.duties.tests.test_usage_machine:UsageMachine",
    "queue": "buckthornstile.queueing.tests.test_properties:QueueMachine",
}


@dataclass(frozen=True, slots=True)
class FuzzOptions:
    """How long and how deep to look.

    Args:
        seconds: Time for each machine.
        examples: Runs of a machine under one seed.
        steps: Steps of each run.
    """

    seconds: float
    examples: int
    steps: int


def load_machine(name: str) -> type[RuleBasedStateMachine]:
    """Loads a machine by its short name."""
    module, _, member = MACHINES[name].partition(":")
    return getattr(importlib.import_module(module), member)


def run_seed(name: str, seed: int, options: FuzzOptions) -> bool:
    """Runs one machine under one seed, and prints a failure.

    Args:
        name: The machine.
        seed: The seed of its random choices.
        options: How deep to look.

    Returns:
        Whether every invariant held.
    """
    machine = hypothesis.seed(seed)(load_machine(name))
    limits = settings(
        max_examples=options.examples,
        stateful_step_count=options.steps,
        deadline=None,
        database=None,
        print_blob=False,
        verbosity=Verbosity.normal,
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(machine, settings=limits)
    except Exception:
        traceback.print_exc()
        print(
            f"{name}: FAILED under seed {seed}; repeat it with\n"
            f"  python -m benchmarks.fuzz --only {name} --seed {seed} --seconds 0 "
            f"--examples {options.examples} --steps {options.steps}"
        )
        return False
    return True


def fuzz_machine(name: str, first_seed: int, options: FuzzOptions) -> bool:
    """Runs one machine under one seed after the other until its time is up."""
    started = time.monotonic()
    seed = first_seed
    while run_seed(name, seed, options):
        seed += 1
        if time.monotonic() - started >= options.seconds:
            runs = (seed - first_seed) * options.examples
            print(f"{name}: {runs} runs from seed {first_seed} held")
            return True
    return False


def main() -> None:
    """Reads the options, and fails if any machine failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="for each machine")
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--steps", type=int, default=60)
    parser.add_argument("--seed", type=int, default=None, help="the first seed")
    parser.add_argument("--only", choices=sorted(MACHINES), default=None)
    arguments = parser.parse_args()
    options = FuzzOptions(arguments.seconds, arguments.examples, arguments.steps)
    seed = secrets.randbits(31) if arguments.seed is None else arguments.seed
    names = [arguments.only] if arguments.only else list(MACHINES)
    held = [fuzz_machine(name, seed, options) for name in names]
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
