"""Plays a plan on real processes."""

import asyncio
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from soak._checks import check, check_recovery
from soak._deployment import SoakDeployment
from soak._load import Load
from soak._plan import DURATION, FaultPlan
from soak._steps import DESK_FLAGS, ENGINE_FLAGS, StepRunner
from tests.harness import DeploymentHarness

STORE_RETENTION = 20.0  # seconds


@dataclass(slots=True)
class Outcome:
    """What became of one seed."""

    seed: int
    problems: list[str] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    samples: int = 0
    seconds: float = 0.0
    steps: list[str] = field(default_factory=list)


def play(plan: FaultPlan) -> Outcome:
    """Plays a plan; every process has ended when this returns.

    Args:
        plan: The plan.

    Returns:
        What was seen to be wrong, and how much was done.
    """
    started = time.monotonic()
    outcome = Outcome(plan.seed)
    harness = DeploymentHarness(
        engines=plan.engines,
        services=plan.desks,
        entries=0,
        engine_flags=ENGINE_FLAGS,
        service_flags=DESK_FLAGS,
        entry_settings={"stop_grace": 8},
        store_flags={"retention": STORE_RETENTION},
    )
    with harness:
        outcome.problems, outcome.steps = run_plan(harness, plan)
    calls = harness.observations.calls
    outcome.calls = dict(Counter(call.code or str(call.status) for call in calls))
    outcome.samples = len(harness.observations.samples)
    outcome.seconds = time.monotonic() - started
    return outcome


def run_plan(
    harness: DeploymentHarness, plan: FaultPlan, *, seconds: float = DURATION
) -> tuple[list[str], list[str]]:
    """Plays a plan under load on a world that stands.

    Args:
        harness: The store and workers, started.
        plan: What happens.
        seconds: Seconds of load before all is healed.

    Returns:
        What was seen to be wrong, and the steps.
    """
    deployment = SoakDeployment(harness, plan)
    steps = StepRunner(deployment, seconds)
    with deployment.stack:
        deployment.start()
        return asyncio.run(_run(deployment, steps)), steps.steps


async def _run(deployment: SoakDeployment, steps: StepRunner) -> list[str]:
    asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(24))
    stopping = asyncio.Event()
    load = asyncio.create_task(Load(deployment).run(stopping))
    try:
        await steps.run()
        recovery = await check_recovery(deployment)
    finally:
        stopping.set()
        await load
    return recovery + await asyncio.to_thread(check, deployment)
