"""Waits of requests for a slot within an upstream's rate limit.

A request waits only as long as its response may still meet the target latency. If no
slot follows by then, it is refused at once, with the time of the next slot.
"""

import asyncio
import math
from collections.abc import Callable

from buckthornstile.base import ServiceName
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.messages import RoutedCall
from buckthornstile.topology import Upstream

RETRY_AFTER_SECONDS = 0.1
"""Seconds after which a client may retry a request that was not run."""


def get_latest_start(call: RoutedCall, now: float) -> float:
    """Returns the event loop's time until which a request may wait for a rate limit.

    Later, its response would miss the target latency in any case.
    """
    return min(call.deadline, now + call.route.target_latency)


async def wait_for_slot(
    balancer: LoadBalancer,
    service: ServiceName,
    latest: float,
    is_eligible: Callable[[Upstream], bool] | None = None,
) -> bool:
    """Waits until a rate limit allows a request to a service.

    Args:
        balancer: Knows the limits.
        service: The service.
        latest: Time after which the request must not wait, in the event loop's time.
        is_eligible: Whether an upstream may get the request; None for all.

    Returns:
        Whether the request may be sent now; False without a wait if no slot follows
        in time or the service has no rate limit.
    """
    delay = balancer.get_slot_delay(service, is_eligible)
    if not 0.0 < delay < latest - asyncio.get_running_loop().time():
        return False
    await asyncio.sleep(delay)
    return True


def get_retry_delay(
    balancer: LoadBalancer,
    service: ServiceName,
    is_eligible: Callable[[Upstream], bool] | None = None,
) -> float:
    """Returns the seconds after which a client may retry a request that was not run."""
    delay = balancer.get_slot_delay(service, is_eligible)
    return max(RETRY_AFTER_SECONDS, delay) if delay < math.inf else RETRY_AFTER_SECONDS
