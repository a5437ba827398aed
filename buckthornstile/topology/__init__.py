"""Routes, accounts, services and upstreams that are in force."""

from buckthornstile.topology._types import (
    Account,
    ClientLimits,
    Configuration,
    ModelName,
    Route,
    RouteKind,
    Service,
    Upstream,
)
from buckthornstile.topology._view import LAPSE_GRACE, OWN_HOST, TopologyView

__all__ = [
    "LAPSE_GRACE",
    "OWN_HOST",
    "Account",
    "ClientLimits",
    "Configuration",
    "ModelName",
    "Route",
    "RouteKind",
    "Service",
    "TopologyView",
    "Upstream",
]
