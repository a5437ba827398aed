"""A randomized soak of real processes under faults, with an outside checker."""

from soak._plan import Plan, Step, make_plan
from soak._play import Outcome, play, run_plan
from soak._steps import DESK_FLAGS, ENGINE_FLAGS

__all__ = [
    "DESK_FLAGS",
    "ENGINE_FLAGS",
    "Outcome",
    "Plan",
    "Step",
    "make_plan",
    "play",
    "run_plan",
]
