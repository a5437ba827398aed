"""Division of a rate limit into slots, each of which belongs to one process.

Every process computes the same slots, so that the requests of all processes together
stay within the limit without a message for each request. The slots of each second are
evenly spaced.
"""

import itertools
import math
from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

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


def list_slots(
    key: str, rate: float, share: Share, *, after: float, until: float
) -> list[float]:
    """Lists the times at which the slots of a share begin.

    Args:
        key: Id of what the rate limits, such as an upstream.
        rate: Slots per second, for all shares together.
        share: The share of a process.
        after: Time in seconds since the epoch; only later slots are listed.
        until: Time in seconds since the epoch; later slots are not listed.

    Returns:
        The times in seconds since the epoch, in ascending order.

    Example:
        >>> list_slots("u1", 4.0, Share(0.0, 1.0), after=10.0, until=11.0)
        [10.25, 10.5, 10.75, 11.0]
    """
    offset = xxh3_64_intdigest(key.encode())
    times = []
    first_period, last_period = math.floor(after), math.floor(until)
    for period in range(first_period, last_period + 1):
        count = math.floor(rate * (period + 1)) - math.floor(rate * period)
        first = max(0, math.floor((after - period) * count))
        last = min(count - 1, math.floor((until - period) * count))
        for position in range(first, last + 1):
            time = period + position / count
            index = period * _MAX_SLOTS_PER_PERIOD + position
            point = (offset + index * _GOLDEN_RATIO_STEP) % _POINT_COUNT / _POINT_COUNT
            if after < time <= until and share.low <= point < share.high:
                times.append(time)
    return times
