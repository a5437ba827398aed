"""The entry's choice of an upstream, and what it knows of upstreams."""

from buckthornstile.routing._choice import (
    ChoiceReason,
    RouteChoice,
    RouteRequest,
    choose_upstream,
    predict_wait,
)
from buckthornstile.routing._ejection import EjectionChange, OutlierEjection
from buckthornstile.routing._liveness import LivenessTable
from buckthornstile.routing._prefixes import PrefixIndex
from buckthornstile.routing._rendezvous import choose_home, compute_score
from buckthornstile.routing._subset import Candidate, choose_subset
from buckthornstile.routing._views import UpstreamState, UpstreamView

__all__ = [
    "Candidate",
    "ChoiceReason",
    "EjectionChange",
    "LivenessTable",
    "OutlierEjection",
    "PrefixIndex",
    "RouteChoice",
    "RouteRequest",
    "UpstreamState",
    "UpstreamView",
    "choose_home",
    "choose_subset",
    "choose_upstream",
    "compute_score",
    "predict_wait",
]
