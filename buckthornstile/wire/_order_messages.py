"""Messages of the lease holder's orders and of the weights."""

from dataclasses import dataclass

from buckthornstile.base import (
    UNKNOWN_VERSION,
    ErrorCode,
    OrderId,
    Term,
    WeightVersion,
)


@dataclass(frozen=True, slots=True)
class Order:
    """An order of the lease holder to an agent.

    Args:
        order_id: The order's idempotency key.
        term: The holder's term; an older one than the agent knows is refused.
        action: ``fetch_version`` or ``load_version``.
        version: The weights to load.
        timeout: Seconds within which the agent may still begin.
        source: The IP number of the agent to fetch the weights from, or empty
            for the weight store.
        source_port: That agent's port.
    """

    order_id: OrderId
    term: Term
    action: str
    version: WeightVersion = UNKNOWN_VERSION
    timeout: float = 1.0
    source: str = ""
    source_port: int = 0


@dataclass(frozen=True, slots=True)
class OrderResult:
    """What became of an order."""

    order_id: OrderId
    term: Term
    accepted: bool
    code: ErrorCode | None = None
    message: str = ""


@dataclass(frozen=True, slots=True)
class WeightRequest:
    """Asks another agent for one chunk of weights.

    Index 0 is the manifest's: its data are the digests, one a line, behind the
    bytes of a chunk. Chunk ``n`` has index ``n + 1``.
    """

    version: WeightVersion
    index: int


@dataclass(frozen=True, slots=True)
class WeightChunk:
    """One chunk of weights, or a code if the agent does not have it."""

    version: WeightVersion
    index: int
    chunk_count: int = 0
    data: bytes = b""
    code: ErrorCode | None = None
