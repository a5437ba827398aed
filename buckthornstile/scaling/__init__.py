"""When and where to start and stop upstreams."""

from buckthornstile.scaling._forecast import DemandForecast
from buckthornstile.scaling._plan import (
    DomainSupply,
    ScaleAction,
    ScaleMemory,
    ScalePlan,
    ScalePolicy,
    ScaleWish,
    ServiceLoad,
    compute_need,
    plan_scale,
)

__all__ = [
    "DemandForecast",
    "DomainSupply",
    "ScaleAction",
    "ScaleMemory",
    "ScalePlan",
    "ScalePolicy",
    "ScaleWish",
    "ServiceLoad",
    "compute_need",
    "plan_scale",
]
