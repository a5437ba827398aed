"""The choice of an upstream by the expected completion of a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from buckthornstile.base import UpstreamId
from buckthornstile.placement._types import WorkEstimate

LIGHT_LOAD = 0.5
"""Share of an upstream's slots up to which one more request costs no time."""
URGENT_CROWDING = 0.5
"""Part of a request's work by which the last half of the slots counts as slower, for an
urgent request. Without it, trials kept more slots idle while requests waited."""
DEFERRABLE_CROWDING = 0.7
"""The same for a request that can wait, which leaves the last slots to urgent ones."""
CONNECTION_SECONDS = 0.01
"""Least cost of a new connection, in seconds: two round trips between failure
domains."""
URGENT_CONNECTION_FRACTION = 0.1
"""Part of its work that a new connection costs an urgent request at least, so that the
errors of learned speeds do not open connections."""
DEFERRABLE_CONNECTION_FRACTION = 0.3
"""The same for a request that can wait. In trials with 0.1, items opened two to three
times as many connections as with the ranking by load."""
EQUAL_FRACTION = 0.02
"""Part of a request's work up to which a later completion counts as equal. In trials
with 0.15, requests waited longer, as the wait at a full upstream is about that."""
DEFERRABLE_EQUAL_SECONDS = 0.04
"""Seconds up to which a later completion counts as equal for a request that can wait,
so that short ones do not crowd the fast upstreams."""
FREE_SLOTS_POWER = 3
"""Power of its free slots by which an upstream is chosen among nearly equal ones."""
PROBE_FRACTION = 0.02
"""Share of requests that go to an upstream of which little is known."""
PROBE_REPORT_AGE = 1.0
"""Seconds after its last report from which little is known of an upstream."""

PROBE_MIN_RATIO = 1.1
"""Expected duration of work, relative to the best upstream, from which an upstream is
probed: it may have recovered. Others are used in any case."""
MAX_PROBE_SECONDS = 0.5
"""Seconds by which a probe may be expected to be complete later, so that only short
requests are probes for slow upstreams."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may be chosen.

    ``load`` is the estimated number of requests there. ``duration_factor`` is the
    expected duration of work relative to the usual one. ``wait`` is the expected number
    of seconds until a slot is free, ``saved`` the seconds of work that a cached prefix
    saves, and ``report_age`` the age of the last report, in seconds.
    """

    upstream: UpstreamId
    load: float
    slots: int
    duration_factor: float
    wait: float = 0.0
    saved: float = 0.0
    has_connection: bool = False
    report_age: float = float("inf")


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen upstream, its expected completion in seconds, and the second best."""

    best: Candidate
    seconds: float
    second: Candidate | None = None
    second_seconds: float = 0.0
    is_probe: bool = False


def compute_completion(
    candidate: Candidate, estimate: WorkEstimate, *, is_deferrable: bool = False
) -> float:
    """Returns the expected seconds until a request is complete, with its crowding.

    Example:
        >>> candidate = Candidate("w1", 0, 4, 2.5, wait=0.1)
        >>> round(compute_completion(candidate, WorkEstimate(0.2, 0.4)), 3)
        0.62
    """
    own_work = max(0.1 * estimate.mean, estimate.mean - candidate.saved)
    load_share = (candidate.load + 1) / max(1, candidate.slots)
    crowding = DEFERRABLE_CROWDING if is_deferrable else URGENT_CROWDING
    extra = crowding * max(0.0, min(1.0, load_share) - LIGHT_LOAD) * estimate.mean
    fraction = (
        DEFERRABLE_CONNECTION_FRACTION if is_deferrable else URGENT_CONNECTION_FRACTION
    )
    connecting = max(CONNECTION_SECONDS, fraction * estimate.mean)
    if candidate.has_connection:
        connecting = 0.0
    return connecting + candidate.wait + (own_work + extra) * candidate.duration_factor


def choose(
    candidates: Sequence[Candidate],
    estimate: WorkEstimate,
    random_source: random.Random,
    *,
    is_deferrable: bool = False,
) -> Choice:
    """Returns the choice for a request: the upstream of the earliest completion.

    Of those that are nearly equal, one with an open connection is preferred, and the
    choice among the rest is random, by free slots.

    Args:
        candidates: The upstreams that may be chosen; at least one.
        estimate: The request's estimated work.
        random_source: Source of randomness.
        is_deferrable: Whether the request can wait.
    """
    ranked = sorted(
        (
            (
                compute_completion(candidate, estimate, is_deferrable=is_deferrable),
                position,
            )
            for position, candidate in enumerate(candidates)
        )
    )
    best_seconds = ranked[0][0]
    tolerance = EQUAL_FRACTION * estimate.mean
    if is_deferrable:
        tolerance = max(tolerance, DEFERRABLE_EQUAL_SECONDS)
    equal = [entry for entry in ranked if entry[0] <= best_seconds + tolerance]
    min_factor = PROBE_MIN_RATIO * candidates[ranked[0][1]].duration_factor
    is_probe = random_source.random() < PROBE_FRACTION
    unknown = (
        [
            entry
            for entry in ranked[len(equal) :]
            if entry[0] <= best_seconds + MAX_PROBE_SECONDS
            and candidates[entry[1]].duration_factor > min_factor
            and candidates[entry[1]].report_age > PROBE_REPORT_AGE
            and candidates[entry[1]].load < LIGHT_LOAD * candidates[entry[1]].slots
        ]
        if is_probe
        else []
    )
    pool = unknown or _prefer_connected(candidates, equal)
    weights = [_weigh_free_slots(candidates[position]) for _, position in pool]
    seconds, chosen = random_source.choices(pool, weights)[0]
    others = [entry for entry in ranked if entry[1] != chosen]
    second = candidates[others[0][1]] if others else None
    second_seconds = others[0][0] if others else 0.0
    return Choice(
        candidates[chosen], seconds, second, second_seconds, is_probe=bool(unknown)
    )


def _prefer_connected(
    candidates: Sequence[Candidate], entries: list[tuple[float, int]]
) -> list[tuple[float, int]]:
    connected = [entry for entry in entries if candidates[entry[1]].has_connection]
    return connected or entries


def _weigh_free_slots(candidate: Candidate) -> float:
    # At least a small weight, as all candidates may be full.
    return max(0.1, candidate.slots - candidate.load) ** FREE_SLOTS_POWER
