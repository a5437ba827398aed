"""Following the partitions of the store."""

from buckthornstile.tails._tail import Tail

__all__ = ["Tail"]
