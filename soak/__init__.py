"""A randomized soak test of real processes under faults."""

from soak._key_changes import run_key_changes
from soak._plan import FaultPlan, FaultStep, make_plan
from soak._runner import SoakResult, run_plan, run_seed_plan
from soak._steps import ENGINE_FLAGS, SERVICE_WORKER_FLAGS

__all__ = [
    "SERVICE_WORKER_FLAGS",
    "ENGINE_FLAGS",
    "SoakResult",
    "FaultPlan",
    "FaultStep",
    "make_plan",
    "run_key_changes",
    "run_seed_plan",
    "run_plan",
]
