"""Distribution of weights to agents, and staggered swaps of upstreams."""

from buckthornstile.weights._cache import WeightCache, hash_chunk
from buckthornstile.weights._plan import (
    DEFAULT_FAN_OUT,
    DistributionEstimate,
    DistributionPlan,
    WeightNode,
    estimate_distribution_seconds,
    get_tree_depth,
    plan_distribution,
)
from buckthornstile.weights._swap import (
    LoadOrder,
    SwapPlanner,
    SwapPolicy,
    UpstreamWeights,
    estimate_swap_seconds,
)

__all__ = [
    "DEFAULT_FAN_OUT",
    "DistributionEstimate",
    "DistributionPlan",
    "LoadOrder",
    "SwapPlanner",
    "SwapPolicy",
    "UpstreamWeights",
    "WeightCache",
    "WeightNode",
    "estimate_distribution_seconds",
    "estimate_swap_seconds",
    "get_tree_depth",
    "hash_chunk",
    "plan_distribution",
]
