"""The load balancer: the choice between upstreams by what they were observed to do."""

import math
import random
from collections.abc import Callable, Collection

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.gateway._leaving_upstreams import LeavingUpstreams
from buckthornstile.gateway._rate_limits import RateLimits
from buckthornstile.gateway._upstream_observations import UpstreamObservations
from buckthornstile.gateway._upstream_stats import Permit
from buckthornstile.gateway._work_placement import LoadedUpstream, WorkPlacement
from buckthornstile.messages import ResponseHead
from buckthornstile.placement import RequestProfile
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.topology import TopologyView, Upstream

LOAD_REPORT_LIFETIME = 0.5
"""Seconds for which the load that an upstream reported is used."""
SLOW_LATENCY_RATIO = 1.8
"""Multiple of the median latency of its peers from which an upstream counts as slow."""
MAX_EXTRA_LOAD = 2.0
"""Number of requests by which a preferred upstream may exceed the best upstream's load.

Beyond that, the longer queue costs more time than the cached prompt saves."""
LIGHT_LOAD = 0.5
"""Share of an upstream's slots up to which one more request costs no time. Upstreams
below it are equally good, unless one of them is slow, so that an entry keeps using
those that it has open connections to."""


class LoadBalancer(UpstreamObservations):
    """Chooses upstreams by load, latency and recent failures.

    Args:
        view: The topology in effect.
        clock: Returns the monotonic time in seconds.
        list_entries: Returns the names of the entries that may be sending now.
        name: This process's name; decides its share of a cold upstream's rate limit.
        rate_limits: This process's shares of the limits that upstreams state.
        cold_rate_factor: Factor applied to a cold upstream's rate to get its limit.
        cold_rate_slack: Requests per second that are added to that limit.
        default_cold_rate: Requests per second that a cold upstream can serve if its
            service is not configured; 0 means no limit.
        has_idle_connection: Whether an open connection to an address is not in use.
        placement: Places requests by expected work where that is called for; by
            default nowhere.
        max_body_bytes: Maximum size of the bodies of this process's requests that are
            open at one upstream, if they are several.
    """

    def __init__(
        self,
        view: TopologyView,
        clock: Callable[[], float],
        *,
        list_entries: Callable[[], list[str]],
        name: str,
        rate_limits: RateLimits,
        cold_rate_factor: float = 1.0,
        cold_rate_slack: float = 0.0,
        default_cold_rate: float = 0.0,
        has_idle_connection: Callable[[str], bool] = lambda address: False,
        placement: WorkPlacement | None = None,
        max_body_bytes: float = math.inf,
    ) -> None:
        placement = placement or WorkPlacement("load", random.Random(name))
        super().__init__(clock, placement)
        self.has_idle_connection = has_idle_connection
        self.max_body_bytes = max_body_bytes
        self.default_cold_rate = default_cold_rate
        self.view = view
        self.list_entries = list_entries
        self.name = name
        self.rate_limits = rate_limits
        self.leaving = LeavingUpstreams(name, view, clock)
        self.cold_rate_factor = cold_rate_factor
        self.cold_rate_slack = cold_rate_slack
        self._refused_at_by_service: dict[ServiceName, float] = {}

    def get_last_refusal(self, service: ServiceName) -> float:
        """Returns the time at which an upstream last lacked a slot, or ``-inf``."""
        return self._refused_at_by_service.get(service, -math.inf)

    def prune(self) -> None:
        """Removes the statistics of upstreams that no longer exist."""
        for name in list(self._stats_by_upstream):
            if (
                name not in self.view.upstreams
                and not self._stats_by_upstream[name].open_request_count
            ):
                del self._stats_by_upstream[name]
        self.rate_limits.prune(self.view.upstreams.keys())
        self.view.prune_leaving(self.clock())

    def list_limited_services(self) -> set[ServiceName]:
        """Returns the services of the upstreams whose rate limit is in effect."""
        return {
            upstream.service
            for upstream in self.view.upstreams.values()
            if self.rate_limits.is_limited(upstream)
        }

    def get_slot_delay(
        self,
        service: ServiceName,
        is_eligible: Callable[[Upstream], bool] | None = None,
    ) -> float:
        """Returns the seconds until a rate limit allows a request to a service.

        The delay is 0 if an eligible upstream may get one now, and infinite if none may
        soon.
        """
        delays = (
            self.rate_limits.get_slot_delay(upstream)
            for upstream in self.view.list_available_upstreams(service)
            if is_eligible is None or is_eligible(upstream)
        )
        return min(delays, default=math.inf)

    def pick(
        self,
        service: ServiceName,
        *,
        avoided: Collection[UpstreamId] = (),
        is_eligible: Callable[[Upstream], bool] | None = None,
        preferred: UpstreamId | None = None,
        profile: RequestProfile | None = None,
        is_deferrable: bool = False,
        prefix_holders: Collection[UpstreamId] = (),
        body_bytes: int = 0,
    ) -> Upstream | None:
        """Returns the upstream that is expected to serve one more request fastest.

        Args:
            service: The service.
            avoided: Upstreams that are chosen only if there is no other.
            is_eligible: Whether an upstream may be chosen at all.
            preferred: Chosen if it has a free slot and is nearly as good as the best.
                Not used with placement by work.
            profile: What is known of the request, for placement by work.
            is_deferrable: Whether the request can wait, for placement by work.
            prefix_holders: Upstreams that have processed the shared prefix of the
                request's prompt, for placement by work.
            body_bytes: Size of the request's body.

        Returns:
            An upstream, or None if none may receive the request now.
        """
        now = self.clock()
        usable = [
            candidate
            for candidate in self.view.list_available_upstreams(service)
            if (is_eligible is None or is_eligible(candidate))
            and self.is_below_cold_limit(candidate, now)
            and self.rate_limits.has_slot(candidate)
            and self.has_room_for_body(candidate, body_bytes)
        ]
        if not usable:
            return None
        if self.placement.is_active(service, now):
            placed = self._place(
                service, usable, now, avoided, prefix_holders, profile, is_deferrable
            )
            if placed is not None:
                return placed
        median = self.compute_median_latency(usable)
        ranked = sorted(
            usable,
            key=lambda candidate: self._rank(candidate, now, median, avoided),
        )
        best = ranked[0]
        for candidate in usable:
            if candidate.id == preferred and self._is_close_to_best(
                candidate, best, now, avoided
            ):
                return candidate
        return best

    def _place(
        self,
        service: ServiceName,
        usable: Collection[Upstream],
        now: float,
        avoided: Collection[UpstreamId],
        prefix_holders: Collection[UpstreamId],
        profile: RequestProfile | None,
        is_deferrable: bool,
    ) -> Upstream | None:
        """Returns the choice by expected work among the least penalized upstreams."""
        penalties = [self._get_penalty(one, now, avoided) for one in usable]
        least = min(penalties)
        candidates = {
            upstream.id: upstream
            for upstream, penalty in zip(usable, penalties, strict=True)
            if penalty == least
        }
        loaded = [
            LoadedUpstream(
                upstream,
                self.get_stats(upstream),
                self.has_idle_connection(upstream.address),
                upstream.id in prefix_holders,
            )
            for upstream in candidates.values()
        ]
        chosen = self.placement.choose(
            service, loaded, now, profile=profile, is_deferrable=is_deferrable
        )
        return candidates[chosen] if chosen is not None else None

    def _is_close_to_best(
        self, upstream: Upstream, best: Upstream, now: float, avoided: Collection[str]
    ) -> bool:
        """Whether an upstream is nearly as good a choice as the best one."""
        stats = self.get_stats(upstream)
        if stats.ejected_until > now or stats.refused_until > now:
            return False
        if upstream.id in avoided or not self.has_capacity(upstream):
            return False
        latency, best_latency = (
            stats.average_latency,
            self.get_stats(best).average_latency,
        )
        if latency and best_latency and latency >= SLOW_LATENCY_RATIO * best_latency:
            return False
        extra_load = self._estimate_load(upstream, now) - self._estimate_load(best, now)
        return extra_load <= MAX_EXTRA_LOAD

    def has_capacity(self, upstream: Upstream) -> bool:
        """Whether an upstream is estimated to have a free slot."""
        return self._estimate_load(upstream, self.clock()) < upstream.slots

    def has_room_for_body(self, upstream: Upstream, body_bytes: int) -> bool:
        """Whether one more body fits within ``max_body_bytes`` at an upstream.

        An upstream crashes if the requests that it holds exceed its memory. A body
        larger than the limit fits while no other is open.
        """
        open_bytes = self.get_stats(upstream).open_body_bytes
        return not open_bytes or open_bytes + body_bytes <= self.max_body_bytes

    def is_slow(self, upstream: Upstream, latency: float) -> bool:
        """Whether a latency is high compared with peers that have a free slot.

        Args:
            upstream: The upstream.
            latency: Its latency in seconds.
        """
        median = self.compute_peer_latency(upstream)
        return median is not None and latency > SLOW_LATENCY_RATIO * median

    def compute_peer_latency(self, upstream: Upstream) -> float | None:
        """Returns the median latency of peers that have a free slot, or None.

        A run can move only to a peer with the same version of the software.
        """
        now = self.clock()
        peers = [
            peer
            for peer in self.view.list_available_upstreams(upstream.service)
            if peer.id != upstream.id
            and peer.software_version == upstream.software_version
            and self.get_stats(peer).ejected_until <= now
            and self.has_capacity(peer)
            and self.rate_limits.has_slot(peer)
        ]
        return self.compute_median_latency(peers)

    def _rank(
        self,
        upstream: Upstream,
        now: float,
        median: float | None,
        avoided: Collection[UpstreamId],
    ) -> tuple[int, float, bool, float, int]:
        """Returns a sort key; the upstream with the lowest key is the best choice."""
        stats = self.get_stats(upstream)
        penalty = self._get_penalty(upstream, now, avoided)
        latency = stats.average_latency if stats.average_latency is not None else median
        slowness = max(1.0, latency / median) if latency and median else 1.0
        load = (self._estimate_load(upstream, now) + 1) / max(1, upstream.slots)
        tie_breaker = compute_rendezvous_score(self.name, upstream.id)
        cost = round(load * slowness, 3)
        is_slow = slowness >= SLOW_LATENCY_RATIO
        noticeable_cost = cost if is_slow else max(LIGHT_LOAD, cost)
        needs_connection = not self.has_idle_connection(upstream.address)
        return (penalty, noticeable_cost, needs_connection, cost, tie_breaker)

    def _get_penalty(
        self, upstream: Upstream, now: float, avoided: Collection[UpstreamId]
    ) -> int:
        """Returns the rules' penalty, which takes precedence over load and work."""
        stats = self.get_stats(upstream)
        penalty = 2 * (upstream.id in avoided) + (stats.ejected_until > now)
        return penalty + (stats.refused_until > now)

    def _estimate_load(self, upstream: Upstream, now: float) -> float:
        """Returns the estimated number of requests that are open at an upstream."""
        stats = self.get_stats(upstream)
        if stats.load is None or now - stats.load_received_at > LOAD_REPORT_LIFETIME:
            return stats.open_request_count
        others = stats.load.running + stats.load.waiting - stats.own_requests_at_load
        return stats.open_request_count + max(0, others)

    # Cold upstreams

    def is_below_cold_limit(self, upstream: Upstream, now: float) -> bool:
        """Whether this process's share of a cold upstream's limit allows a request."""
        rate = self._get_cold_rate(upstream)
        if not rate or not self.view.is_cold(upstream.id, now):
            return True
        start_count = self.get_stats(upstream).count_recent_starts(now)
        return start_count < self._get_cold_limit_share(upstream, rate)

    def _get_cold_rate(self, upstream: Upstream) -> float:
        configuration = self.view.configuration
        service = configuration and configuration.services.get(upstream.service)
        return service.cold_rate if service else self.default_cold_rate

    def _get_cold_limit_share(self, upstream: Upstream, rate: float) -> int:
        entries = self.list_entries()
        if self.name not in entries:
            # The others do not know this process yet and have divided the whole limit.
            return 0
        limit = int(rate * self.cold_rate_factor + self.cold_rate_slack)
        share = limit // len(entries)
        if share:
            return share
        ranked = sorted(
            entries, key=lambda name: compute_rendezvous_score(upstream.id, name)
        )
        return int(self.name in ranked[:limit])

    # Observations

    def acquire_permit(
        self,
        upstream: Upstream,
        profile: RequestProfile | None = None,
        *,
        body_bytes: int = 0,
    ) -> Permit:
        """Counts a request and its body as open until the permit is released."""
        stats, now = self.get_stats(upstream), self.clock()
        load = self._estimate_load(upstream, now)
        is_rate_limited = self._get_cold_rate(upstream) > 0
        work = self.placement.open_work(upstream, stats, profile, load, now)
        stats.open_request_count += 1
        stats.open_body_bytes += body_bytes
        self.rate_limits.take_slot(upstream)
        if is_rate_limited:
            stats.unconfirmed_start_count += 1
        return Permit(
            stats,
            self.clock,
            is_rate_limited=is_rate_limited,
            acquired_at=now,
            work=work,
            body_bytes=body_bytes,
        )

    def record_head(
        self, upstream: Upstream, head: ResponseHead, permit: Permit
    ) -> None:
        """Records what an upstream stated about itself in the head of a response."""
        permit.confirm_arrival()
        if head.is_leaving and head.other_upstream in (None, upstream.id):
            self.leaving.record_response(upstream, head)
        if head.load is not None:
            self.record_load(upstream, head.load)
        if head.rate_limit is not None or not head.is_refusal:
            self.rate_limits.record_statement(
                upstream, head.rate_limit, sent_at=permit.acquired_at
            )

    def record_refusal(self, upstream: Upstream, seconds: float) -> None:
        """Records that an upstream had no free slot.

        Args:
            upstream: The upstream.
            seconds: For how long it is avoided.
        """
        super().record_refusal(upstream, seconds)
        if not self.view.is_leaving(upstream) and not self.rate_limits.is_limited(
            upstream
        ):
            self._refused_at_by_service[upstream.service] = self.clock()
