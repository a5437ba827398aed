"""Power of two choices on predicted wait, with affinity bounded by load."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from statistics import median

from buckthornstile.base import (
    UNKNOWN_VERSION,
    ErrorCode,
    FailureDomain,
    RequestClass,
    ServiceName,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.routing._prefixes import PrefixIndex
from buckthornstile.routing._rendezvous import compute_score
from buckthornstile.routing._views import UpstreamState, UpstreamView

_DEFAULT_TOKENS_PER_SECOND = 50.0
_RETRY_SECONDS = 0.5
_AFFINITY_CANDIDATES = 2


class ChoiceReason(Enum):
    """Why an upstream was chosen, or why none was."""

    LEAST_WAIT = "least_wait"
    PREFIX_HELD = "prefix_held"
    PREFIX_RANKED = "prefix_ranked"
    ONLY_ONE = "only_one"
    NONE_KNOWN = "none_known"
    NONE_ALIVE = "none_alive"
    ALL_DRAINED = "all_drained"
    ALL_EJECTED = "all_ejected"
    VERSION_TOO_OLD = "version_too_old"


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """What the choice depends on.

    Args:
        service: The service that is asked for.
        cost: The expected work, in tokens.
        request_class: Who waits on it.
        prefix: A hash of the prompt's beginning or the name of the sample's
            group; empty for no affinity.
        minimum_version: The oldest weights that may serve it.
        excluded: Upstreams that have failed it already.

    Example:
        >>> RouteRequest("shop-desk").prefix
        ''
    """

    service: ServiceName
    cost: float = 1.0
    request_class: RequestClass = RequestClass.WAITED
    prefix: str = ""
    minimum_version: WeightVersion = UNKNOWN_VERSION
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class RouteChoice:
    """The upstream chosen, or the refusal.

    Args:
        upstream: The upstream, or None for a refusal.
        reason: Why.
        code: For a refusal, ``NO_UPSTREAM``.
        retry_after: For a refusal, seconds after which a retry may succeed.

    Example:
        >>> RouteChoice(None, ChoiceReason.NONE_ALIVE).upstream is None
        True
    """

    upstream: UpstreamId | None
    reason: ChoiceReason
    code: ErrorCode | None = None
    retry_after: float = 0.0


def predict_wait(
    view: UpstreamView,
    request: RouteRequest,
    now: float,
    *,
    typical_speed: float = _DEFAULT_TOKENS_PER_SECOND,
) -> float:
    """Predicts how long a request would take, its wait in the queue included.

    Args:
        view: The upstream.
        request: The request.
        now: The clock reading, in seconds.
        typical_speed: What an upstream is taken to make that has shown no speed
            yet, in tokens a second.

    Returns:
        The time, in seconds; only its order matters.

    Example:
        >>> view = UpstreamView("u1", "s", "d", heartbeat_at=0.0, limit=4)
        >>> predict_wait(view, RouteRequest("s", cost=100), 0.0)
        4.0
    """
    speed = view.tokens_per_second or typical_speed
    limit = max(view.limit, 1.0)
    busy = view.compute_busy(now)
    excess = max(0.0, busy + 1.0 - limit)
    if view.queued:
        cost_ahead = view.queued_tokens / view.queued
    else:
        cost_ahead = max(request.cost, 1.0)
    ahead = excess * cost_ahead
    if request.request_class is RequestClass.BACKGROUND:
        ahead += view.background_tokens * view.compute_discount(now)
    # A stream runs at its share of the full speed; fewer streams run a little
    # faster, which also spreads load between upstreams that have free slots.
    share = max(1.0 + min(busy, limit), 0.5 * limit)
    return (ahead + request.cost * share) / speed


def choose_upstream(
    views: Iterable[UpstreamView],
    request: RouteRequest,
    *,
    now: float,
    rng: Random,
    failure_domain: FailureDomain | None = None,
    is_ejected: Callable[[UpstreamId], bool] | None = None,
    prefixes: PrefixIndex | None = None,
    load_factor: float = 1.25,
    affinity_factor: float = 2.5,
    choices: int = 2,
    domain_bonus: float = 0.002,
    heartbeat_timeout: float = 3.0,
) -> RouteChoice:
    """Chooses the upstream for a request.

    Args:
        views: The upstreams that the entry knows.
        request: What the choice depends on.
        now: The clock reading, in seconds.
        rng: The source of the random pair.
        failure_domain: The entry's own, preferred slightly.
        is_ejected: Tells whether an upstream is ejected; None for never.
        prefixes: Hints on which upstream holds which prefix.
        load_factor: Multiple of the mean load up to which affinity holds.
        affinity_factor: Multiple of the least predicted time up to which
            affinity holds.
        choices: Upstreams drawn at random, of which the best is taken.
        domain_bonus: Seconds by which an own-domain upstream may be slower.
        heartbeat_timeout: Seconds without heartbeat that count as dead.

    Returns:
        The choice, or a refusal with code and retry hint.

    Example:
        >>> view = UpstreamView("u1", "s", "d", heartbeat_at=0.0)
        >>> choose_upstream([view], RouteRequest("s"), now=0.1, rng=Random(1)).upstream
        'u1'
    """
    eligible, refusal = _find_eligible(
        views, request, now, heartbeat_timeout, is_ejected
    )
    if not eligible:
        return RouteChoice(None, refusal, ErrorCode.NO_UPSTREAM, _RETRY_SECONDS)
    if len(eligible) == 1:
        return RouteChoice(eligible[0].upstream, ChoiceReason.ONLY_ONE)
    speed = _find_typical_speed(eligible)
    if request.prefix:
        bounds = _AffinityBounds(load_factor, affinity_factor, speed)
        choice = _choose_by_prefix(eligible, request, now, prefixes, bounds)
        if choice is not None:
            return choice
    drawn = rng.sample(eligible, min(choices, len(eligible)))

    def cost_of(view: UpstreamView) -> float:
        wait = predict_wait(view, request, now, typical_speed=speed)
        return wait - (domain_bonus if view.failure_domain == failure_domain else 0.0)

    best = min(drawn, key=cost_of)
    return RouteChoice(best.upstream, ChoiceReason.LEAST_WAIT)


@dataclass(frozen=True, slots=True)
class _AffinityBounds:
    load_factor: float
    affinity_factor: float
    typical_speed: float


def _find_typical_speed(views: Sequence[UpstreamView]) -> float:
    """Finds the speed that a new upstream is taken to have: its peers' median.

    With less it would look slow beside busy peers, get no work, and so never
    show its speed.
    """
    known = [view.tokens_per_second for view in views if view.tokens_per_second > 0]
    return median(known) if known else _DEFAULT_TOKENS_PER_SECOND


def _find_eligible(
    views: Iterable[UpstreamView],
    request: RouteRequest,
    now: float,
    heartbeat_timeout: float,
    is_ejected: Callable[[UpstreamId], bool] | None,
) -> tuple[list[UpstreamView], ChoiceReason]:
    """Filters step by step, so that a refusal names the step that took the last."""
    left = [view for view in views if view.service == request.service]
    if not left:
        return [], ChoiceReason.NONE_KNOWN
    left = [view for view in left if view.is_alive(now, timeout=heartbeat_timeout)]
    if not left:
        return [], ChoiceReason.NONE_ALIVE
    left = [
        view
        for view in left
        if not view.drained
        and not view.leaving
        and view.state is not UpstreamState.DRAINING
    ]
    if not left:
        return [], ChoiceReason.ALL_DRAINED
    left = [view for view in left if view.version >= request.minimum_version]
    if not left:
        return [], ChoiceReason.VERSION_TOO_OLD
    left = [
        view
        for view in left
        if view.upstream not in request.excluded
        and not (is_ejected is not None and is_ejected(view.upstream))
    ]
    ready = [view for view in left if view.state is UpstreamState.SERVING]
    # An upstream that loads weights takes work into its agent's queue, which is
    # better than a refusal but worse than any other upstream.
    return ready or left, ChoiceReason.ALL_EJECTED


def _choose_by_prefix(
    eligible: Sequence[UpstreamView],
    request: RouteRequest,
    now: float,
    prefixes: PrefixIndex | None,
    bounds: _AffinityBounds,
) -> RouteChoice | None:
    busy = {view.upstream: view.compute_busy(now) for view in eligible}
    total_limit = sum(max(view.limit, 1.0) for view in eligible)
    mean_load = (sum(busy.values()) + 1.0) / total_limit

    waits = {
        view.upstream: predict_wait(
            view, request, now, typical_speed=bounds.typical_speed
        )
        for view in eligible
    }
    longest = bounds.affinity_factor * min(waits.values())

    def has_room(view: UpstreamView) -> bool:
        bound = bounds.load_factor * mean_load * max(view.limit, 1.0)
        in_time = waits[view.upstream] <= longest
        return in_time and busy[view.upstream] + 1.0 <= max(bound, 1.0)

    if prefixes is not None:
        holders = [
            view
            for view in eligible
            if prefixes.holds(view.upstream, request.prefix) and has_room(view)
        ]
        if holders:
            best = min(holders, key=lambda view: waits[view.upstream])
            return RouteChoice(best.upstream, ChoiceReason.PREFIX_HELD)
    ranked = sorted(
        eligible,
        key=lambda view: compute_score(request.prefix, view.upstream),
        reverse=True,
    )
    for view in ranked[:_AFFINITY_CANDIDATES]:
        if has_room(view):
            return RouteChoice(view.upstream, ChoiceReason.PREFIX_RANKED)
    return None
