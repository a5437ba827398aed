"""Account of the bytes and connections that a process holds for its clients."""

from buckthornstile.client_memory._account import (
    ClientMemory,
    EvictionReason,
    Holding,
    HoldingKind,
    OnEvicted,
    is_body_too_slow,
)
from buckthornstile.client_memory._connections import ConnectionTable
from buckthornstile.client_memory._progress import ProgressRate

__all__ = [
    "ClientMemory",
    "ConnectionTable",
    "EvictionReason",
    "Holding",
    "HoldingKind",
    "OnEvicted",
    "ProgressRate",
    "is_body_too_slow",
]
