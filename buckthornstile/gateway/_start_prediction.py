"""Prediction of when a service can start another request, from the reported load."""

import math

from buckthornstile.base import ServiceName
from buckthornstile.gateway._load_balancer import LOAD_REPORT_LIFETIME, LoadBalancer
from buckthornstile.topology import Upstream

USUAL_WORK = 0.1
"""Seconds of work that are assumed for an upstream without a latency."""
REMAINING_WORK_RATE = 0.5
"""Part of an upstream's speed at which the others' requests are assumed to become fewer
after a report: they also send new ones meanwhile."""


def predict_start(balancer: LoadBalancer, service: ServiceName, now: float) -> float:
    """Returns the seconds until an upstream of a service can start another request.

    Args:
        balancer: Knows the upstreams, their load and their limits.
        service: The service.
        now: The time by the balancer's clock, in seconds.

    Returns:
        0 while an upstream has a free slot; infinite if none may get the request.
    """
    upstreams = [
        upstream
        for upstream in balancer.view.list_available_upstreams(service)
        if balancer.is_below_cold_limit(upstream, now)
    ]
    usable = [
        upstream
        for upstream in upstreams
        if balancer.get_stats(upstream).ejected_until <= now
    ]
    # The balancer also sends requests to ejected upstreams, if there are no others.
    return min(
        (
            _predict_start_at(balancer, upstream, now)
            for upstream in usable or upstreams
        ),
        default=math.inf,
    )


def _predict_start_at(balancer: LoadBalancer, upstream: Upstream, now: float) -> float:
    stats = balancer.get_stats(upstream)
    slots = max(1, upstream.slots)
    age = now - stats.load_received_at
    others = 0
    if stats.load is not None and age <= LOAD_REPORT_LIFETIME:
        slots = max(1, stats.load.slots or slots)
        reported = stats.load.running + stats.load.waiting
        others = max(0, reported - stats.own_requests_at_load)
    seconds_per_start = (stats.average_latency or USUAL_WORK) / slots
    completed = REMAINING_WORK_RATE * age / seconds_per_start if others else 0.0
    excess = stats.open_request_count + max(0.0, others - completed) - slots + 1
    return max(
        0.0,
        excess * seconds_per_start,
        stats.refused_until - now,
        balancer.rate_limits.get_slot_delay(upstream),
    )
