"""A randomized soak of real processes under faults, with an outside checker."""

from soak._plan import Plan, Step, make_plan
from soak._play import DESK_FLAGS, ENGINE_FLAGS, Outcome, SoakRun, play

__all__ = [
    "DESK_FLAGS",
    "ENGINE_FLAGS",
    "Outcome",
    "Plan",
    "SoakRun",
    "Step",
    "make_plan",
    "play",
]
