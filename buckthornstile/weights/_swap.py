"""Decides which upstreams load the target version next.

A bounded share of each service, and of each service's part in a failure domain,
is out at once. An upstream whose swap fails goes on with its old version, truly
labelled, and is ordered again after a delay.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from buckthornstile.base import (
    FailureDomain,
    OrderId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    check_range,
)

_MAX_DOUBLINGS = 16


@dataclass(frozen=True, slots=True)
class UpstreamWeights:
    """What an agent reports of its upstream.

    Args:
        upstream: The upstream.
        service: Its service.
        failure_domain: Where it is.
        version: The version that its engine serves.
        serving: Whether it takes work now; not while it loads or is down.
        ready: Whether its agent holds the target's chunks already.
    """

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomain
    version: WeightVersion
    serving: bool = True
    ready: bool = False


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order an upstream to load a version.

    Args:
        order_id: The same for the same upstream, version and attempt.
        upstream: The upstream.
        version: The version.
        attempt: From 1.
    """

    order_id: OrderId
    upstream: UpstreamId
    version: WeightVersion
    attempt: int


@dataclass(frozen=True, slots=True)
class SwapPolicy:
    """How fast upstreams are swapped.

    Args:
        maximum_share: The share of a service, and of its part in a failure
            domain, that may be out at once; one upstream always may.
        order_timeout: Seconds after which an order counts as failed.
        retry_delay: Seconds before a failed upstream's next order; doubles.
        maximum_retry_delay: The greatest such delay, in seconds.
        wait_until_ready: Whether to order no upstream whose agent still lacks
            the weights, since fetching would keep it out for longer.

    Example:
        >>> SwapPolicy().maximum_share
        0.25
    """

    maximum_share: float = 0.25
    order_timeout: float = 60.0
    retry_delay: float = 1.0
    maximum_retry_delay: float = 30.0
    wait_until_ready: bool = False

    def __post_init__(self) -> None:
        check_range("maximum_share", self.maximum_share, minimum=0.0, maximum=1.0)

    def get_limit(self, count: int) -> int:
        """Gives how many of a group may be out at once.

        Args:
            count: The group's upstreams.

        Example:
            >>> [SwapPolicy().get_limit(n) for n in (1, 4, 11)]
            [1, 1, 2]
        """
        return max(1, int(self.maximum_share * count))


@dataclass(slots=True)
class _Progress:
    attempt: int = 0
    failures: int = 0
    ordered_at: float | None = None
    ordered_version: WeightVersion | None = None
    not_before: float = field(default=float("-inf"))


class SwapPlanner:
    """Orders swaps towards a target version.

    Args:
        target: The version that every upstream should serve.
        policy: How fast upstreams are swapped.

    Example:
        >>> planner = SwapPlanner(WeightVersion(2))
        >>> reports = [UpstreamWeights(f"u{n}", "s", "d", WeightVersion(1))
        ...     for n in range(4)]
        >>> [order.order_id for order in planner.decide(reports, 0.0)]
        ['load/u0/2/1']
        >>> planner.decide(reports, 1.0)
        []
    """

    def __init__(
        self, target: WeightVersion, *, policy: SwapPolicy | None = None
    ) -> None:
        self.target = target
        self.policy = policy or SwapPolicy()
        self.failure_count = 0
        self._progress: dict[UpstreamId, _Progress] = {}

    def set_target(self, target: WeightVersion) -> None:
        """Takes in a newer target; orders on their way go on.

        Args:
            target: The version; an older one changes nothing.
        """
        if target <= self.target:
            return
        self.target = target
        for progress in self._progress.values():
            progress.attempt = 0
            progress.failures = 0
            progress.not_before = float("-inf")

    def restore(
        self, upstream: UpstreamId, version: WeightVersion, attempt: int, now: float
    ) -> None:
        """Takes in an order that an earlier holder of the lease has logged.

        Args:
            upstream: The upstream.
            version: The version ordered.
            attempt: That order's attempt.
            now: The time, in seconds; the order counts as on its way from now.
        """
        self.set_target(version)
        if version != self.target:
            return
        progress = self._progress.setdefault(upstream, _Progress())
        progress.attempt = max(progress.attempt, attempt)
        progress.ordered_at = now
        progress.ordered_version = version

    def on_failure(self, upstream: UpstreamId, now: float) -> None:
        """Takes in that an upstream's swap failed or its order was refused.

        Args:
            upstream: The upstream.
            now: The time, in seconds.
        """
        progress = self._progress.get(upstream)
        if progress is None or progress.ordered_at is None:
            return
        self.failure_count += 1
        progress.ordered_at = None
        progress.failures += 1
        doublings = min(progress.failures - 1, _MAX_DOUBLINGS)
        delay = self.policy.retry_delay * 2.0**doublings
        progress.not_before = now + min(delay, self.policy.maximum_retry_delay)

    def decide(self, reports: Sequence[UpstreamWeights], now: float) -> list[LoadOrder]:
        """Works out the next orders; each counts as sent once returned.

        Args:
            reports: What is known of every upstream of every service.
            now: The time, in seconds.

        Returns:
            The orders, ready upstreams first.
        """
        self._settle(reports, now)
        sizes = Counter(group for r in reports for group in _list_groups(r))
        out = Counter(
            group for r in reports if self._is_out(r) for group in _list_groups(r)
        )
        orders = []
        for report in self._list_candidates(reports, now):
            groups = _list_groups(report)
            # One that is down already takes nothing more out.
            added = 0 if self._is_out(report) else 1
            limits = [self.policy.get_limit(sizes[group]) for group in groups]
            counts = [out[group] + added for group in groups]
            if any(count > limit for count, limit in zip(counts, limits, strict=True)):
                continue
            if added:
                out.update(groups)
            orders.append(self._make_order(report, now))
        return orders

    def is_done(self, reports: Iterable[UpstreamWeights]) -> bool:
        """Says whether every serving upstream serves the target.

        Args:
            reports: What is known of every upstream.
        """
        return all(r.version >= self.target for r in reports if r.serving)

    def _settle(self, reports: Sequence[UpstreamWeights], now: float) -> None:
        for report in reports:
            progress = self._progress.get(report.upstream)
            if progress is None or progress.ordered_at is None:
                continue
            ordered = progress.ordered_version
            if report.serving and ordered is not None and report.version >= ordered:
                progress.ordered_at = None
                progress.failures = 0
            elif now - progress.ordered_at >= self.policy.order_timeout:
                self.on_failure(report.upstream, now)

    def _is_out(self, report: UpstreamWeights) -> bool:
        return not report.serving or self._is_ordered(report)

    def _is_ordered(self, report: UpstreamWeights) -> bool:
        progress = self._progress.get(report.upstream)
        return progress is not None and progress.ordered_at is not None

    def _list_candidates(
        self, reports: Sequence[UpstreamWeights], now: float
    ) -> list[UpstreamWeights]:
        candidates = []
        for report in reports:
            progress = self._progress.setdefault(report.upstream, _Progress())
            waits = self._is_ordered(report) or progress.not_before > now
            lacks = self.policy.wait_until_ready and not report.ready
            if report.version < self.target and not waits and not lacks:
                candidates.append(report)
        return sorted(
            candidates,
            key=lambda r: (
                not r.ready,
                self._progress[r.upstream].failures,
                r.upstream,
            ),
        )

    def _make_order(self, report: UpstreamWeights, now: float) -> LoadOrder:
        progress = self._progress[report.upstream]
        progress.attempt += 1
        progress.ordered_at = now
        progress.ordered_version = self.target
        order_id = f"load/{report.upstream}/{self.target}/{progress.attempt}"
        return LoadOrder(
            OrderId(order_id), report.upstream, self.target, progress.attempt
        )


_Group = tuple[ServiceName, FailureDomain | None]


def _list_groups(report: UpstreamWeights) -> tuple[_Group, _Group]:
    return (report.service, None), (report.service, report.failure_domain)


def estimate_swap_seconds(
    reports: Iterable[UpstreamWeights],
    *,
    swap_seconds: float,
    policy: SwapPolicy | None = None,
) -> float:
    """Works out how long it takes until every upstream has swapped.

    Args:
        reports: The upstreams.
        swap_seconds: Seconds for which one swap takes an upstream out.
        policy: How fast upstreams are swapped.

    Returns:
        Seconds, if no swap fails.

    Example:
        >>> reports = [UpstreamWeights(f"u{n}", "s", "d", WeightVersion(1))
        ...     for n in range(8)]
        >>> estimate_swap_seconds(reports, swap_seconds=3.0)
        12.0
    """
    policy = policy or SwapPolicy()
    sizes = Counter(group for r in reports for group in _list_groups(r))
    rounds = [-(-size // policy.get_limit(size)) for size in sizes.values()]
    return max(rounds, default=0) * swap_seconds
