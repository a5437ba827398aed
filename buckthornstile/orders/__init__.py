"""Orders to the platform and to agents: intents, outcomes and what is open."""

from buckthornstile.orders._actions import (
    AppendOrderRecord,
    OrderAction,
    OrderAnswer,
    OrderWish,
    ReadOrders,
    SendAgentOrder,
    SendUpstreamOrder,
)
from buckthornstile.orders._fold import (
    OpenOrder,
    OrderFold,
    OrderRecord,
    OrderScope,
    OrderState,
    make_order_id,
    make_scope,
)
from buckthornstile.orders._planner import OrderPlanner

__all__ = [
    "AppendOrderRecord",
    "OpenOrder",
    "OrderAction",
    "OrderAnswer",
    "OrderFold",
    "OrderPlanner",
    "OrderRecord",
    "OrderScope",
    "OrderState",
    "OrderWish",
    "ReadOrders",
    "SendAgentOrder",
    "SendUpstreamOrder",
    "make_order_id",
    "make_scope",
]
