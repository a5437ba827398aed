"""Division of a rate limit into slots, each of which belongs to one process.

Every process computes the same slots, so that the requests of all processes together
stay within the limit without a message for each request.
"""

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

SLOT_PERIOD = 1.0
"""Seconds of a period; the slots of a period are evenly spaced."""
_MAX_SLOTS_PER_PERIOD = 1 << 20
_POINT_COUNT = 1 << 64
_GOLDEN_RATIO_STEP = 0x9E3779B97F4A7C15
"""Step of an additive sequence that is evenly spread at every length."""


@dataclass(frozen=True, slots=True)
class Share:
    """A process's share of a limit: the fractions from ``low`` up to ``high``."""

    low: float = 0.0
    high: float = 0.0


def compute_share(name: str, weights: Mapping[str, float]) -> Share:
    """Computes the share of a process in proportion to the weights.

    Args:
        name: Name of the process.
        weights: Weight of each process, at least 0.

    Returns:
        The share; it is empty if the process has no weight.

    Example:
        >>> compute_share("b", {"a": 1.0, "b": 3.0})
        Share(low=0.25, high=1.0)
        >>> compute_share("c", {"a": 1.0, "b": 3.0})
        Share(low=0.0, high=0.0)
    """
    names = sorted(weights)
    total = math.fsum(weights.values())
    if name not in weights or not total:
        return Share()
    ends = list(itertools.accumulate(weights[other] for other in names))
    position = names.index(name)
    low = ends[position - 1] if position else 0.0
    return Share(low / total, ends[position] / total)


def list_slots(key: str, period: int, rate: float, share: Share) -> list[float]:
    """Lists the times at which the slots of a share in a period begin.

    Args:
        key: Id of what the rate limits, such as an upstream.
        period: Number of the period since the epoch.
        rate: Slots per second, for all shares together.
        share: The share of a process.

    Returns:
        The times in seconds since the epoch, in ascending order.

    Example:
        >>> list_slots("u1", 10, 4.0, Share(0.0, 1.0))
        [10.0, 10.25, 10.5, 10.75]
    """
    count = math.floor(rate * (period + 1)) - math.floor(rate * period)
    offset = xxh3_64_intdigest(key.encode())
    times = []
    for position in range(min(count, _MAX_SLOTS_PER_PERIOD)):
        index = period * _MAX_SLOTS_PER_PERIOD + position
        point = (offset + index * _GOLDEN_RATIO_STEP) % _POINT_COUNT / _POINT_COUNT
        if share.low <= point < share.high:
            times.append((period + position / count) * SLOT_PERIOD)
    return times
