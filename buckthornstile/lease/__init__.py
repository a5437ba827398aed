"""The control lease: a fold of the log and the logic of a candidate or holder."""

from buckthornstile.lease._candidates import choose_candidates
from buckthornstile.lease._fold import LeaseFold, LeaseRecord, LeaseState
from buckthornstile.lease._keeper import (
    AppendClaim,
    AppendRelease,
    AppendRenewal,
    LeaseAction,
    LeaseKeeper,
)

__all__ = [
    "AppendClaim",
    "AppendRelease",
    "AppendRenewal",
    "LeaseAction",
    "LeaseFold",
    "LeaseKeeper",
    "LeaseRecord",
    "LeaseState",
    "choose_candidates",
]
