"""Placement of work by a ranking that is the same in every process."""

from buckthornstile.routing._rendezvous import compute_rendezvous_score

__all__ = ["compute_rendezvous_score"]
