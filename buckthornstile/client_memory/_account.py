"""Account of the bytes held for clients, and the order in which they are given up."""

import math
from collections.abc import Callable
from enum import Enum

from buckthornstile.client_memory._progress import ProgressRate

SMALL_BYTES = 64 << 10
"""Size up to which a request may use the reserve."""
RESERVE_DIVISOR = 8
"""Part of the bound that only small requests may use."""
MAX_HOLD_SECONDS = 20.0
"""A holding makes too little progress if, at its present rate, its bytes would take
longer than this. Only such holdings are evicted while others can still release bytes;
64 KB in this time are also the slowest rate at which a response must be taken."""


class HoldingKind(Enum):
    """What the bytes of a holding are.

    A ``REQUEST`` is whole; it waits for an upstream or runs there, so that it cannot
    be evicted with a truthful response.
    """

    HEAD = "head"
    BODY = "body"
    REQUEST = "request"
    RESPONSE = "response"


class EvictionReason(Enum):
    """Why a connection was closed or its request was refused."""

    MEMORY = "memory"
    SLOW_BODY = "slow_body"
    INCOMPLETE_HEAD = "incomplete_head"
    CONNECTIONS = "connections"
    DESCRIPTORS = "descriptors"


OnEvicted = Callable[[EvictionReason], None]
"""Discards the bytes of a holding and refuses its request or closes its connection."""


class Holding:
    """The bytes held for one request, from its first byte to the end of its response.

    Args:
        kind: What the bytes are.
        now: Time of the start, in seconds.
        evict: Called after the holding was evicted.

    Attributes:
        byte_count: Number of bytes that are charged.
        is_paused: Whether the body is not read for lack of room.
        grace_start: Start of the time over which the body's rate is checked.
        grace_bytes: Bytes of the body that were received since then.
        measure: Returns the size of a holding that changes by itself, or None.
    """

    def __init__(self, kind: HoldingKind, now: float, evict: OnEvicted) -> None:
        self.kind = kind
        self.started_at = now
        self.evict = evict
        self.byte_count = 0
        self.is_paused = False
        self.rate = ProgressRate(now)
        self.grace_start = now
        self.grace_bytes = 0
        self.measure: Callable[[], int] | None = None


class ClientMemory:
    """Sum of the bytes held for clients, with a bound.

    A part of the bound is reserved for small requests. A single large body may exceed
    the bound if no other large one is held, so that any legal body can be received.

    Args:
        max_bytes: The bound.

    Example:
        >>> memory = ClientMemory(max_bytes=8_000_000)
        >>> holding = memory.open(HoldingKind.BODY, 0.0, print)
        >>> memory.fits(holding, 4_000_000)
        True
        >>> memory.charge(holding, 4_000_000, 0.0)
        >>> memory.total_bytes
        4000000
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_large_bytes = max_bytes - max_bytes // RESERVE_DIVISOR
        self.total_bytes = 0
        self.holdings: dict[Holding, None] = {}
        self._large_count = 0

    def open(self, kind: HoldingKind, now: float, evict: OnEvicted) -> Holding:
        """Returns a new holding without bytes."""
        holding = Holding(kind, now, evict)
        self.holdings[holding] = None
        return holding

    def is_small(self, holding: Holding, byte_count: int) -> bool:
        """Whether a holding that grows by some bytes may use the reserve."""
        return holding.byte_count + byte_count <= SMALL_BYTES

    def fits(self, holding: Holding, byte_count: int) -> bool:
        """Whether a holding may grow by some bytes."""
        if self.is_small(holding, byte_count):
            return self.total_bytes + byte_count <= self.max_bytes
        others = self._large_count - (holding.byte_count > SMALL_BYTES)
        return others == 0 or self.total_bytes + byte_count <= self.max_large_bytes

    def exceeds_bound(self) -> bool:
        """Whether more is held than the bound allows beside a single large body."""
        if self.total_bytes <= self.max_bytes:
            return False
        if self._large_count > 1:
            return True
        largest = max(holding.byte_count for holding in self.holdings)
        return self.total_bytes - largest > self.max_bytes

    def charge(self, holding: Holding, byte_count: int, now: float) -> None:
        """Adds bytes that were received to a holding."""
        holding.rate.record(byte_count, now)
        holding.grace_bytes += byte_count
        self.resize(holding, holding.byte_count + byte_count)

    def resize(self, holding: Holding, byte_count: int) -> None:
        """Sets the size of a holding; one that was released stays empty."""
        if holding not in self.holdings:
            return
        self._large_count += (byte_count > SMALL_BYTES) - (
            holding.byte_count > SMALL_BYTES
        )
        self.total_bytes += byte_count - holding.byte_count
        holding.byte_count = byte_count

    def change_kind(
        self, holding: Holding, kind: HoldingKind, byte_count: int, now: float
    ) -> None:
        """Turns a holding into one of another kind and size, such as a response."""
        holding.kind = kind
        holding.rate.restart(now)
        self.resize(holding, byte_count)

    def release(self, holding: Holding) -> None:
        """Removes a holding and its bytes."""
        self.resize(holding, 0)
        self.holdings.pop(holding, None)

    def find_slow(self, now: float) -> Holding | None:
        """Returns the holding with the least progress for its bytes, if it is slow."""
        slow = [
            holding
            for holding in self.holdings
            if holding.byte_count
            and not holding.is_paused
            and holding.kind is not HoldingKind.REQUEST
            and holding.rate.get(now) * MAX_HOLD_SECONDS < holding.byte_count
        ]
        return min(
            slow,
            key=lambda holding: (
                holding.rate.get(now) / holding.byte_count,
                -holding.byte_count,
            ),
            default=None,
        )

    def find_slowest(self, now: float) -> Holding | None:
        """Returns the body with the lowest measured rate, however small.

        Of equal ones, the oldest is returned. Responses are not considered: their
        requests have run, and clients that do not take them are found by their rate.
        """
        rates = [
            (holding.rate.get(now), holding.started_at, holding)
            for holding in self.holdings
            if holding.kind is HoldingKind.BODY and not holding.is_paused
        ]
        measured = [entry for entry in rates if entry[0] != math.inf]
        return min(measured, key=lambda entry: entry[:2], default=(0, 0, None))[2]

    def find_newest(self) -> Holding | None:
        """Returns the newest holding that may be evicted, unread bodies first."""
        return max(
            (
                holding
                for holding in self.holdings
                if holding.byte_count and holding.kind is not HoldingKind.REQUEST
            ),
            key=lambda holding: (
                holding.kind is not HoldingKind.RESPONSE,
                holding.started_at,
            ),
            default=None,
        )

    def can_release(self) -> bool:
        """Whether a holding may release its bytes without an eviction."""
        return any(
            holding.byte_count and not holding.is_paused for holding in self.holdings
        )


def is_body_too_slow(
    holding: Holding, now: float, *, min_rate: float, grace: float
) -> bool:
    """Whether a body received too few bytes over the last full ``grace`` seconds.

    Starts the next time of measurement if one has ended. A time in which reading was
    paused does not count.

    Args:
        holding: The body.
        now: Time in seconds.
        min_rate: Minimum rate in bytes per second; 0 requires one byte.
        grace: Seconds over which the rate is measured.
    """
    if holding.kind is not HoldingKind.BODY or holding.is_paused:
        holding.grace_start, holding.grace_bytes = now, 0
        return False
    if now - holding.grace_start < grace:
        return False
    is_slow = holding.grace_bytes < max(1.0, min_rate * grace)
    holding.grace_start, holding.grace_bytes = now, 0
    return is_slow
