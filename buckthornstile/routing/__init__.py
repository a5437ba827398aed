"""Placement of work and shares of limits, computed alike in every process."""

from buckthornstile.routing._rate_slots import (
    Share,
    compute_share,
    list_slots,
)
from buckthornstile.routing._rendezvous import compute_rendezvous_score

__all__ = [
    "Share",
    "compute_rendezvous_score",
    "compute_share",
    "list_slots",
]
