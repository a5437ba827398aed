"""Placing work on names that every process ranks alike."""

from buckthornstile.routing._rendezvous import compute_score

__all__ = ["compute_score"]
