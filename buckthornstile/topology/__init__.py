"""The routes, accounts, services and upstreams that are in effect."""

from buckthornstile.topology._types import (
    ClientLimits,
    ModelName,
    PlatformAccount,
    PlatformConfiguration,
    Route,
    RouteKind,
    Service,
    Upstream,
)
from buckthornstile.topology._view import API_HOST, EXPIRY_GRACE, TopologyView

__all__ = [
    "EXPIRY_GRACE",
    "API_HOST",
    "PlatformAccount",
    "ClientLimits",
    "PlatformConfiguration",
    "ModelName",
    "Route",
    "RouteKind",
    "Service",
    "TopologyView",
    "Upstream",
]
