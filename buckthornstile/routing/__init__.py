"""Placement of work and shares of limits, computed alike in every process."""

from buckthornstile.routing._rate_slots import (
    SLOT_PERIOD,
    Share,
    compute_share,
    list_slots,
)
from buckthornstile.routing._rendezvous import compute_rendezvous_score

__all__ = [
    "SLOT_PERIOD",
    "Share",
    "compute_rendezvous_score",
    "compute_share",
    "list_slots",
]
