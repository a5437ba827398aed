"""Placement of requests by expected work: estimates, backlogs and the choice."""

from buckthornstile.placement._backlog import OpenWork, UpstreamBacklog
from buckthornstile.placement._choice import Candidate, Choice, choose
from buckthornstile.placement._estimator import WorkEstimator
from buckthornstile.placement._migration import is_move_worthwhile
from buckthornstile.placement._speed import UpstreamSpeed
from buckthornstile.placement._types import (
    PROMPT_TOKEN_SECONDS,
    TOKENS_PER_EVENT,
    RequestProfile,
    WorkEstimate,
)

__all__ = [
    "PROMPT_TOKEN_SECONDS",
    "TOKENS_PER_EVENT",
    "Candidate",
    "Choice",
    "OpenWork",
    "RequestProfile",
    "UpstreamBacklog",
    "UpstreamSpeed",
    "WorkEstimate",
    "WorkEstimator",
    "choose",
    "is_move_worthwhile",
]
