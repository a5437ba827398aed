"""A pure planner of upstreams by service and failure domain."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import ceil

from buckthornstile.base import FailureDomain, ServiceName

_EPSILON = 1e-9


class ScaleAction(Enum):
    """What is wished for."""

    START = "start"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class DomainSupply:
    """The upstreams of one service in one failure domain.

    Args:
        failure_domain: The failure domain.
        running: Upstreams that serve.
        starting: Upstreams ordered that do not serve yet.
        available: Whether the domain is neither drained nor gone.

    Example:
        >>> DomainSupply("bench-a", running=2).count
        2
    """

    failure_domain: FailureDomain
    running: int = 0
    starting: int = 0
    available: bool = True

    @property
    def count(self) -> int:
        """Upstreams that serve or will serve."""
        return self.running + self.starting


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The demand on one service and what serves it.

    Args:
        service: The service.
        demand: The work that arrives and waits, in tokens a second.
        growth: How fast the demand grows, in tokens a second each second.
        capacity: What one warm upstream serves, in tokens a second.
        domains: Its upstreams by failure domain.
        maximum: Upstreams that may be ordered in all.

    Example:
        >>> ServiceLoad("shop-desk", demand=10.0, capacity=5.0).growth
        0.0
    """

    service: ServiceName
    demand: float
    capacity: float
    growth: float = 0.0
    domains: tuple[DomainSupply, ...] = ()
    maximum: int = 1000


@dataclass(frozen=True, slots=True)
class ScalePolicy:
    """How cautiously upstreams are started and stopped.

    Args:
        start_seconds: From an order to the first request served.
        ramp_seconds: From there until the upstream bears its full load.
        utilisation: The share of capacity that the forecast may use.
        loss_utilisation: The share that may be used with one domain lost.
        stop_utilisation: Stops are made only if the forecast would then use at
            most this share; below ``utilisation``, as hysteresis.
        stop_after: Seconds for which that must have held.
        minimum: The fewest upstreams of a service.

    Example:
        >>> ScalePolicy().minimum
        1
    """

    start_seconds: float = 60.0
    ramp_seconds: float = 10.0
    utilisation: float = 0.85
    loss_utilisation: float = 1.0
    stop_utilisation: float = 0.75
    stop_after: float = 60.0
    minimum: int = 1


@dataclass(frozen=True, slots=True)
class ScaleWish:
    """Upstreams to start or stop in one failure domain.

    Example:
        >>> ScaleWish(ScaleAction.START, "bench-a", "shop-desk", 1).count
        1
    """

    action: ScaleAction
    failure_domain: FailureDomain
    service: ServiceName
    count: int


@dataclass(frozen=True, slots=True)
class ScaleMemory:
    """What the planner must be given again the next time.

    Args:
        surplus_since: For each service with too many upstreams, since when.

    Example:
        >>> ScaleMemory().surplus_since
        {}
    """

    surplus_since: Mapping[ServiceName, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """The wishes, and the memory for the next call.

    Example:
        >>> ScalePlan((), ScaleMemory()).wishes
        ()
    """

    wishes: tuple[ScaleWish, ...]
    memory: ScaleMemory


def compute_need(load: ServiceLoad, policy: ScalePolicy, utilisation: float) -> int:
    """Computes the fewest upstreams that serve the forecast.

    The forecast is the demand by the time when an upstream ordered now bears
    its full load. While all domains are available, the need also covers the
    present demand without the largest of them.

    Args:
        load: The demand and what serves it.
        policy: Start time, ramp and the share used after a loss.
        utilisation: The share of capacity that the forecast may use.

    Returns:
        The number of upstreams, evenly spread over the available domains.

    Example:
        >>> domains = (DomainSupply("a"), DomainSupply("b"))
        >>> load = ServiceLoad("s", demand=4.0, capacity=2.0, domains=domains)
        >>> compute_need(load, ScalePolicy(), 0.85)
        4
    """
    lead = policy.start_seconds + policy.ramp_seconds
    forecast = load.demand + max(0.0, load.growth) * lead
    capacity = max(load.capacity, _EPSILON)
    need = max(policy.minimum, ceil(forecast / (capacity * utilisation) - _EPSILON))
    domains = sum(1 for domain in load.domains if domain.available)
    if domains < 2 or domains < len(load.domains):
        return min(need, load.maximum)
    after_loss = ceil(load.demand / (capacity * policy.loss_utilisation) - _EPSILON)
    # The even spread loses at most one more than its floor with one domain.
    while need - ceil(need / domains) < after_loss and need < load.maximum:
        need += 1
    return min(need, load.maximum)


def plan_scale(
    loads: Sequence[ServiceLoad],
    *,
    now: float,
    policy: ScalePolicy | None = None,
    memory: ScaleMemory | None = None,
) -> ScalePlan:
    """Plans which upstreams to start and stop.

    Starts follow at once from the forecast; a stop needs a surplus, by the
    lower ``stop_utilisation``, that has lasted ``stop_after`` seconds, and each
    plan stops one upstream of a service at most.

    Args:
        loads: The services.
        now: The clock reading, in seconds.
        policy: How cautiously; the defaults if None.
        memory: The last plan's memory, or None at first.

    Returns:
        The wishes and the next memory.

    Example:
        >>> domains = (DomainSupply("a", running=1), DomainSupply("b"))
        >>> load = ServiceLoad("s", demand=3.0, capacity=2.0, domains=domains)
        >>> [wish.failure_domain for wish in plan_scale([load], now=0.0).wishes]
        ['a', 'b']
    """
    policy = policy or ScalePolicy()
    since = (memory or ScaleMemory()).surplus_since
    wishes: list[ScaleWish] = []
    surplus_since: dict[ServiceName, float] = {}
    for load in loads:
        count = sum(domain.count for domain in load.domains if domain.available)
        missing = compute_need(load, policy, policy.utilisation) - count
        if missing > 0:
            wishes.extend(_spread_starts(load, missing))
            continue
        if count <= compute_need(load, policy, policy.stop_utilisation):
            continue
        started = since.get(load.service, now)
        if now - started < policy.stop_after:
            surplus_since[load.service] = started
            continue
        surplus_since[load.service] = now
        wishes.extend(_choose_stop(load))
    return ScalePlan(tuple(wishes), ScaleMemory(surplus_since))


def _spread_starts(load: ServiceLoad, missing: int) -> list[ScaleWish]:
    counts = {
        domain.failure_domain: domain.count
        for domain in load.domains
        if domain.available
    }
    starts: dict[FailureDomain, int] = {}
    for _ in range(missing if counts else 0):
        emptiest = min(sorted(counts), key=lambda name: counts[name])
        counts[emptiest] += 1
        starts[emptiest] = starts.get(emptiest, 0) + 1
    return [
        ScaleWish(ScaleAction.START, name, load.service, starts[name])
        for name in sorted(starts)
    ]


def _choose_stop(load: ServiceLoad) -> list[ScaleWish]:
    """Stops in the fullest domain, so that the spread stays even."""
    running = [
        domain for domain in load.domains if domain.available and domain.running > 0
    ]
    if not running:
        return []
    fullest = max(running, key=lambda domain: (domain.count, domain.failure_domain))
    return [ScaleWish(ScaleAction.STOP, fullest.failure_domain, load.service, 1)]
