"""A randomized soak of real processes under faults, with an outside checker."""

from soak._plan import FaultPlan, FaultStep, make_plan
from soak._runner import Outcome, play, run_plan
from soak._steps import DESK_FLAGS, ENGINE_FLAGS

__all__ = [
    "DESK_FLAGS",
    "ENGINE_FLAGS",
    "Outcome",
    "FaultPlan",
    "FaultStep",
    "make_plan",
    "play",
    "run_plan",
]
