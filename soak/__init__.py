"""A randomized soak of real processes under faults, with an outside checker."""

from soak._plan import Plan, Step, make_plan
from soak._play import Outcome, play

__all__ = ["Outcome", "Plan", "Step", "make_plan", "play"]
