"""What the order planner is asked for and what it asks its caller to do."""

from dataclasses import dataclass
from enum import Enum
from typing import Literal

from buckthornstile.base import (
    UNKNOWN_VERSION,
    FailureDomain,
    OrderId,
    ServiceName,
    Term,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.ports import UpstreamOrder
from buckthornstile.records import OrderIntent, OrderOutcome

OrderKind = Literal["start", "stop", "load_version"]


class OrderAnswer(Enum):
    """How an attempt to send an order ended.

    ``NOT_SENT`` is a promise that nothing left this process.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class OrderWish:
    """An order that a planner would like to see carried out.

    Args:
        action: What to order.
        failure_domain: Where upstreams start or stop.
        service: For which service.
        upstream: The one upstream to stop or swap, or empty.
        count: Upstreams to start or stop.
        version: The weight version to load, for a swap.

    Example:
        >>> OrderWish("start", FailureDomain("bench-a"), ServiceName("desk")).count
        1
    """

    action: OrderKind
    failure_domain: FailureDomain = FailureDomain("")
    service: ServiceName = ServiceName("")
    upstream: UpstreamId = UpstreamId("")
    count: int = 1
    version: WeightVersion = UNKNOWN_VERSION


@dataclass(frozen=True, slots=True)
class AppendOrderRecord:
    """Append this intent or outcome to the log."""

    record: OrderIntent | OrderOutcome


@dataclass(frozen=True, slots=True)
class SendUpstreamOrder:
    """Send this order to the platform, within ``timeout`` seconds."""

    order: UpstreamOrder
    timeout: float


@dataclass(frozen=True, slots=True)
class SendAgentOrder:
    """Send this order to the agent beside an upstream, within ``timeout`` seconds."""

    upstream: UpstreamId
    order_id: OrderId
    term: Term
    action: OrderKind
    version: WeightVersion
    timeout: float


@dataclass(frozen=True, slots=True)
class ReadOrders:
    """Read the orders that the platform has carried out."""


OrderAction = AppendOrderRecord | SendUpstreamOrder | SendAgentOrder | ReadOrders
