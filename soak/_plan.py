"""What one seed plays: a small deployment and faults in series and overlapping."""

import random
from dataclasses import dataclass

STEPS = 9
FIRST_STEP = 1.0  # seconds after the load has begun
DURATION = 14.0  # seconds of load with faults
KINDS = {
    # What is hit, and the longest time for which it lasts, in seconds.
    "kill": ("entry", 2.0),
    "pause": ("entry", 6.0),
    "stop": ("entry", 1.0),
    "worker_kill": ("worker", 2.0),
    "worker_pause": ("worker", 4.0),
    "worker_stop": ("worker", 1.0),
    "worker_fault": ("worker", 2.0),
    "store_fault": ("store", 4.0),
    "store_pause": ("store", 3.0),
    "compact": ("store", 0.0),
    "link_cut": ("link", 5.0),
    "link_reset": ("link", 0.0),
    "link_delay": ("link", 4.0),
    "link_silence": ("link", 4.0),
    "drain": ("domain", 7.0),
    "withdraw": ("key", 0.0),
    "version": ("trainer", 0.0),
}
STORE_FAULTS = ("busy", "many", "slow", "silent", "lose_answer", "late", "reset")
WORKER_FAULTS = (
    "full",
    "error",
    "reset",
    "silent",
    "truncate",
    "crossed",
    "unsigned",
    "cut",
    "stall",
    "mute_order",
    "late_order",
)


@dataclass(frozen=True, slots=True)
class FaultStep:
    """One fault or planned change.

    Args:
        at: Seconds after the load has begun.
        kind: What happens.
        target: The number of the process that it hits, among those of its kind.
        seconds: For how long.
        variant: Which of several forms.
    """

    at: float
    kind: str
    target: int
    seconds: float
    variant: str = ""


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """What one seed plays."""

    seed: int
    entries: int
    engines: int
    desks: int
    steps: tuple[FaultStep, ...]


def make_plan(seed: int) -> FaultPlan:
    """Makes the plan of a seed.

    Example:
        >>> make_plan(7) == make_plan(7)
        True
    """
    source = random.Random(seed)
    moments = sorted(source.uniform(FIRST_STEP, DURATION) for _ in range(STEPS))
    if source.random() < 0.5:
        # Half of the plans strike in bursts, so that faults overlap.
        moments = sorted(round(moment / 4) * 4 + source.random() for moment in moments)
    return FaultPlan(
        seed,
        entries=source.randint(2, 4),
        engines=source.randint(2, 3),
        desks=source.randint(2, 3),
        steps=tuple(_make_step(source, moment) for moment in moments),
    )


def _make_step(source: random.Random, at: float) -> FaultStep:
    kind = source.choice(list(KINDS))
    _, longest = KINDS[kind]
    variants = {
        "store_fault": STORE_FAULTS,
        "worker_fault": WORKER_FAULTS,
        "link_silence": ("to_target", "from_target"),
    }.get(kind, ("",))
    return FaultStep(
        round(at, 3),
        kind,
        source.randrange(12),
        round(source.uniform(longest / 4, longest), 3),
        source.choice(variants),
    )
