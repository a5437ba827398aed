"""Runs a plan on real processes."""

import asyncio
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from soak._checks import check_recovery, check_run
from soak._deployment import SoakDeployment
from soak._load import LoadGenerator
from soak._plan import LOAD_DURATION, FaultPlan
from soak._steps import ENGINE_FLAGS, SERVICE_WORKER_FLAGS, StepRunner
from tests.harness import DeploymentHarness

STORE_RETENTION = 20.0  # seconds


@dataclass(slots=True)
class SoakResult:
    """The result of one seed.

    Args:
        seed: The seed.
        problems: The problems that were found.
        calls: Number of calls by error code, or by status if they have none.
        samples: Number of samples that were delivered.
        seconds: Duration of the run in seconds.
        steps: The steps that were run, as text.
    """

    seed: int
    problems: list[str] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    samples: int = 0
    seconds: float = 0.0
    steps: list[str] = field(default_factory=list)


def run_seed_plan(plan: FaultPlan) -> SoakResult:
    """Runs a plan on a new deployment and stops all its processes.

    Args:
        plan: The plan.

    Returns:
        The problems that were found, and the number of calls and samples.
    """
    started_at = time.monotonic()
    result = SoakResult(plan.seed)
    harness = DeploymentHarness(
        engines=plan.engines,
        services=plan.desks,
        entries=0,
        engine_flags=ENGINE_FLAGS,
        service_flags=SERVICE_WORKER_FLAGS,
        entry_settings={"stop_grace": 8},
        store_flags={"retention": STORE_RETENTION},
    )
    with harness:
        result.problems, result.steps = run_plan(harness, plan)
    calls = harness.observations.calls
    result.calls = dict(Counter(call.error_code or str(call.status) for call in calls))
    result.samples = len(harness.observations.samples)
    result.seconds = time.monotonic() - started_at
    return result


def run_plan(
    harness: DeploymentHarness, plan: FaultPlan, *, seconds: float = LOAD_DURATION
) -> tuple[list[str], list[str]]:
    """Runs a plan under load on a deployment that is already started.

    Args:
        harness: The harness, whose store and workers are started.
        plan: The plan.
        seconds: Seconds of load before all faults are cleared.

    Returns:
        The problems that were found, and the steps that were run.
    """
    deployment = SoakDeployment(harness, plan)
    step_runner = StepRunner(deployment, seconds)
    with deployment.exit_stack:
        deployment.start()
        return asyncio.run(_run(deployment, step_runner)), step_runner.step_log


async def _run(deployment: SoakDeployment, step_runner: StepRunner) -> list[str]:
    asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(24))
    stop_event = asyncio.Event()
    load = asyncio.create_task(LoadGenerator(deployment).run(stop_event))
    try:
        await step_runner.run()
        problems = await check_recovery(deployment)
    finally:
        stop_event.set()
        await load
    return problems + await asyncio.to_thread(check_run, deployment)
