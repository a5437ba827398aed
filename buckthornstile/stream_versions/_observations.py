"""Observations of the software versions that are in service."""

from collections.abc import Mapping
from dataclasses import replace

from buckthornstile.base import SoftwareVersion
from buckthornstile.stream_versions._table import StreamVersionTable
from buckthornstile.stream_versions._types import (
    DefaultChange,
    RouteDefault,
    RoutePrefix,
)

UNRECORDED_LIFETIME = 40.0
"""Maximum seconds for which a client may resume a stream that has no record."""
RETIREMENT_DELAY = 5.0
"""Seconds without an upstream of a route's default version after which the default is
retired: streams without a record can then no longer be resumed, nor begin."""
RETIREMENT_TIME = 60.0
"""Seconds for which a retired default stays before another version becomes the default.
No stream without a record lives that long; the difference covers entries that learn
late that the default is retired."""
MAX_DEFAULT_AGE = RETIREMENT_TIME - UNRECORDED_LIFETIME
"""Seconds since the defaults were read after which none is relied on: it may have been
retired just after the read, and streams without a record must end before another
version becomes the default."""
MAX_OBSERVATION_GAP = 30.0
"""Seconds between two observations after which a version may have been absent in
between; less than ``RETIREMENT_TIME``, so that the default has not changed."""

VersionCounts = Mapping[RoutePrefix, Mapping[SoftwareVersion, int]]


class VersionObservations:
    """The versions in service of each route, and since when.

    Attributes:
        counts: The number of registered upstreams by route and version.

    Example:
        >>> observations = VersionObservations()
        >>> observations.observe({RoutePrefix("r"): {SoftwareVersion("v1"): 2}}, 1.0)
        >>> observations.get_seen_since(RoutePrefix("r"), SoftwareVersion("v1"))
        1.0
    """

    def __init__(self) -> None:
        self.counts: VersionCounts = {}
        self._observed_at = -1e9
        self._started_at = 0.0
        self._seen_since: dict[tuple[RoutePrefix, SoftwareVersion], float] = {}
        self._last_seen: dict[tuple[RoutePrefix, SoftwareVersion], float] = {}

    def observe(self, counts: VersionCounts, now: float) -> None:
        """Records the registered upstreams of each route, as currently known."""
        if now - self._observed_at > MAX_OBSERVATION_GAP:
            self._started_at = now
            self._seen_since.clear()
            self._last_seen.clear()
        self._observed_at = now
        self.counts = counts
        present = {
            (route, version)
            for route, versions in counts.items()
            for version, count in versions.items()
            if count
        }
        for key in [key for key in self._seen_since if key not in present]:
            del self._seen_since[key]
        for key in present:
            self._seen_since.setdefault(key, now)
            self._last_seen[key] = now
        for key, seen_at in list(self._last_seen.items()):
            if now - seen_at > 2 * RETIREMENT_TIME:
                del self._last_seen[key]

    def get_seen_since(
        self, route: RoutePrefix, version: SoftwareVersion
    ) -> float | None:
        """Returns since when a version has been in service, or None if it is not."""
        return self._seen_since.get((route, version))

    def get_absence(
        self, route: RoutePrefix, version: SoftwareVersion, now: float
    ) -> float:
        """Returns the seconds for which a version has been known not to be in service.

        The time before the first observation does not count.
        """
        if (route, version) in self._seen_since:
            return 0.0
        return now - self._last_seen.get((route, version), self._started_at)


def needs_record(
    route: RoutePrefix,
    version: SoftwareVersion,
    table: StreamVersionTable,
    observations: VersionObservations,
    *,
    now: float,
    synced_at: float,
    client_time: float,
) -> bool:
    """Whether a stream that begins at a version must be recorded first.

    Args:
        route: The route of the stream.
        version: The version.
        table: The defaults in effect.
        observations: The versions in service.
        now: The time, in seconds.
        synced_at: When the read of the defaults was sent that last reached their end.
        client_time: Seconds for which the client may resume the stream.
    """
    if client_time > UNRECORDED_LIFETIME or now - synced_at > MAX_DEFAULT_AGE:
        return True
    if table.get_default(route) != RouteDefault(route, version):
        return True
    seen_since = observations.get_seen_since(route, version)
    # The default may have changed while the version was not in service.
    return seen_since is None or synced_at < seen_since - MAX_OBSERVATION_GAP


def plan_defaults(
    table: StreamVersionTable, observations: VersionObservations, now: float
) -> list[DefaultChange]:
    """Returns the changes of default versions that are due.

    A missing default is that of the route with the longest prefix of this one's, or
    else the version with the most upstreams. An existing one is
    retired when its last upstream has left. Another version follows only when no stream
    that relies on the retired one can be resumed any more; if the retired one comes
    back before, it is the default again.

    Args:
        table: The defaults in effect.
        observations: The versions in service.
        now: The time, in seconds.
    """
    changes = (
        _plan_default(route, table, observations, now)
        for route in sorted({*table.list_routes(), *observations.counts})
    )
    return [change for change in changes if change is not None]


def _plan_default(
    route: RoutePrefix,
    table: StreamVersionTable,
    observations: VersionObservations,
    now: float,
) -> DefaultChange | None:
    default = table.get_default(route)
    counts = observations.counts.get(route, {})
    best = _find_most_common(counts)
    if default is not None and not default.is_retired:
        absence = observations.get_absence(route, default.version, now)
        if absence <= RETIREMENT_DELAY:
            return None
        return DefaultChange(route, replace(default, is_retired=True))
    if default is not None:
        if counts.get(default.version):
            return DefaultChange(route, replace(default, is_retired=False))
        if now - table.retired_since[route] <= RETIREMENT_TIME:
            return None
        if route not in observations.counts:
            return DefaultChange(route, None)
    overlapping = _list_overlapping(route, table)
    if overlapping and route.startswith(overlapping[-1].route):
        # Streams of this route's paths have begun at the route that it is split from.
        return DefaultChange(route, replace(overlapping[-1], route=route))
    if best is None or any(one.route not in observations.counts for one in overlapping):
        return None
    return DefaultChange(route, RouteDefault(route, best))


def _list_overlapping(
    route: RoutePrefix, table: StreamVersionTable
) -> list[RouteDefault]:
    """Returns the defaults of other routes of the same paths, longer prefixes first.

    The route that a route is split from is the last one.
    """
    defaults = [
        default
        for other in table.list_routes()
        if other != route and (default := table.get_default(other)) is not None
    ]
    longer = [one for one in defaults if one.route.startswith(route)]
    shorter = [one for one in defaults if route.startswith(one.route)]
    return longer + sorted(shorter, key=lambda one: len(one.route))


def _find_most_common(
    counts: Mapping[SoftwareVersion, int],
) -> SoftwareVersion | None:
    present = [version for version, count in counts.items() if count]
    return min(present, key=lambda version: (-counts[version], version), default=None)
