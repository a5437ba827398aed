"""Plans of the soak test: a small deployment, and faults that may overlap."""

import random
from dataclasses import dataclass, replace

STEP_COUNT = 9
FIRST_STEP_DELAY = 1.0  # seconds after the load has started
LOAD_DURATION = 14.0  # seconds of load with faults
FAULT_KINDS = {
    # The kind of target, and the longest duration in seconds.
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
STATEMENT_KINDS = {
    # The duration in seconds.
    "leave": 6.0,
    "limit": 11.0,
    "deadly": 11.0,
}
"""Steps in which upstreams state something, or requests crash them."""
HOLDER_PAUSE_SECONDS = 4.0
"""Long enough for another entry to take the lease."""
MAX_STATEMENT_DELAY = 2.0
"""Latest start of such a step: the entries must act on a limit 4 s after it was first
stated, and requests are then counted over 4 s."""
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
    """A fault or a planned change.

    Args:
        at: Seconds after the load has started.
        kind: The kind of fault or change, a key of ``FAULT_KINDS`` or of
            ``STATEMENT_KINDS``, or ``holder_pause``.
        target: Index of the target among those of its kind, modulo their number.
        seconds: Duration in seconds.
        variant: The form of the fault, if its kind has several.
    """

    at: float
    kind: str
    target: int
    seconds: float
    variant: str = ""


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The deployment and the steps of one seed.

    Args:
        seed: The seed that the plan is drawn from.
        entries: Number of entries.
        engines: Number of model engines.
        desks: Number of workers of the plain service.
        steps: Faults and changes, in the order of their times.
        is_mixed: Whether engines that start again run another software version.
    """

    seed: int
    entries: int
    engines: int
    desks: int
    steps: tuple[FaultStep, ...]
    is_mixed: bool = False


def make_plan(seed: int, *, has_statements: bool = True) -> FaultPlan:
    """Draws the plan of a seed.

    Args:
        seed: The seed.
        has_statements: Whether a step of ``STATEMENT_KINDS`` is added. Half of these
            plans are calm: they disturb no entry and no store, which would excuse that
            an entry does not know what others were told.

    Example:
        >>> make_plan(7) == make_plan(7)
        True
    """
    generator = random.Random(seed)
    times = sorted(
        generator.uniform(FIRST_STEP_DELAY, LOAD_DURATION) for _ in range(STEP_COUNT)
    )
    if generator.random() < 0.5:
        # Half of the plans have their steps in bursts, so that faults overlap.
        times = sorted(round(time / 4) * 4 + generator.random() for time in times)
    plan = FaultPlan(
        seed,
        entries=generator.randint(2, 4),
        engines=generator.randint(2, 3),
        desks=generator.randint(2, 3),
        steps=tuple(_make_step(generator, time) for time in times),
    )
    return _add_statement(plan) if has_statements else plan


def _add_statement(plan: FaultPlan) -> FaultPlan:
    # The draws of the other steps must not change with the kinds added here.
    generator = random.Random(f"statements {plan.seed}")
    kind = generator.choice(list(STATEMENT_KINDS))
    step = FaultStep(
        round(generator.uniform(0.0, MAX_STATEMENT_DELAY), 3),
        kind,
        generator.randrange(12),
        STATEMENT_KINDS[kind],
    )
    others = plan.steps
    if generator.random() < 0.5:
        others = tuple(step for step in others if not is_disturbance(step.kind))
    steps = sorted((step, *others), key=lambda step: step.at)
    is_mixed = random.Random(f"software {plan.seed}").random() < 0.5
    plan = replace(plan, steps=tuple(steps), is_mixed=is_mixed)
    return _add_holder_pause(plan) if len(others) == STEP_COUNT else plan


def _add_holder_pause(plan: FaultPlan) -> FaultPlan:
    """Adds a pause of the lease holder that waits for a lost answer to an append."""
    at = random.Random(f"holder {plan.seed}").uniform(FIRST_STEP_DELAY, LOAD_DURATION)
    loss = FaultStep(round(at, 3), "store_fault", 1, 1.0, "lose_answer")
    pause = FaultStep(round(at + 0.5, 3), "holder_pause", 0, HOLDER_PAUSE_SECONDS)
    steps = sorted((loss, pause, *plan.steps), key=lambda step: step.at)
    return replace(plan, steps=tuple(steps))


def is_disturbance(kind: str) -> bool:
    """Whether steps of a kind stop entries, or keep them from the store."""
    target, _ = FAULT_KINDS.get("pause" if kind == "holder_pause" else kind, ("", 0.0))
    return target in ("entry", "store", "link") and kind != "compact"


def _make_step(generator: random.Random, at: float) -> FaultStep:
    kind = generator.choice(list(FAULT_KINDS))
    _, maximum = FAULT_KINDS[kind]
    variants = {
        "store_fault": STORE_FAULTS,
        "worker_fault": WORKER_FAULTS,
        "link_silence": ("to_target", "from_target"),
    }.get(kind, ("",))
    return FaultStep(
        round(at, 3),
        kind,
        generator.randrange(12),
        round(generator.uniform(maximum / 4, maximum), 3),
        generator.choice(variants),
    )
