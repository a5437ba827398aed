"""Placing work on names that every process ranks alike."""

from buckthornstile.routing._rendezvous import compute_rendezvous_score

__all__ = ["compute_rendezvous_score"]
