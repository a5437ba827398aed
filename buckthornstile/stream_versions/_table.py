"""The software versions that began streams, as known from the store's records."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from buckthornstile.base import SoftwareVersion
from buckthornstile.stream_versions._records import encode_route_key
from buckthornstile.stream_versions._types import (
    Resolution,
    ResolutionState,
    RouteDefault,
    RoutePrefix,
    StreamDigest,
    StreamRecord,
)

MAX_STREAMS = 50_000
"""Number of streams with a record that a table keeps, about 250 bytes each."""
MAX_OWN_STREAMS = 10_000
"""Number of streams that this process began and resolves without the store."""
MAX_LIFETIME = 3600.0
"""Seconds for which a record is kept at most."""


@dataclass(slots=True)
class _KnownStream:
    """A stream's version, or None if records name several."""

    version: SoftwareVersion | None
    expires_at: float


class StreamVersionTable:
    """The default version of each route, and the streams that began at another one.

    A stream without a record began at the default version of its route.

    Args:
        max_streams: Maximum number of streams with a record. While records beyond it
            are live, no stream without a record is resolved.
        max_own_streams: Maximum number of streams that this process began.

    Example:
        >>> table = StreamVersionTable()
        >>> table.resolve(RoutePrefix("r"), StreamDigest("a"), 0.0).state.value
        'unknown'
    """

    def __init__(
        self,
        *,
        max_streams: int = MAX_STREAMS,
        max_own_streams: int = MAX_OWN_STREAMS,
    ) -> None:
        self.max_streams = max_streams
        self.max_own_streams = max_own_streams
        self.retired_since: dict[RoutePrefix, float] = {}
        self._defaults: dict[str, RouteDefault] = {}
        self._batches: dict[str, float] = {}
        self._streams: dict[StreamDigest, _KnownStream] = {}
        self._own: OrderedDict[StreamDigest, _KnownStream] = OrderedDict()
        self._incomplete_until = -1e9

    # Records

    def apply_default(self, key: str, default: RouteDefault | None, now: float) -> None:
        """Puts the default of a key in effect; None removes it."""
        previous = self._defaults.pop(key, None)
        if previous is not None:
            self.retired_since.pop(previous.route, None)
        if default is not None:
            self._defaults[key] = default
            if default.is_retired:
                self.retired_since[default.route] = now

    def get_default(self, route: RoutePrefix) -> RouteDefault | None:
        """Returns the default of a route, or None if it has never had one."""
        return self._defaults.get(encode_route_key(route))

    def list_routes(self) -> set[RoutePrefix]:
        """Returns the routes that have a default or a retired one."""
        return {default.route for default in self._defaults.values()}

    def apply_batch(
        self, key: str, records: Iterable[StreamRecord], now: float
    ) -> None:
        """Adds the records of a batch, whose lifetimes count from now."""
        expires_at = now
        for record in records:
            lifetime = min(MAX_LIFETIME, max(0.0, record.lifetime))
            expires_at = max(expires_at, now + lifetime)
            self._add(record.stream, record.version, now + lifetime)
        self._batches[key] = expires_at

    def _add(
        self, stream: StreamDigest, version: SoftwareVersion, expires_at: float
    ) -> None:
        known = self._streams.get(stream)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
            if known.version != version:
                known.version = None
        elif len(self._streams) < self.max_streams:
            self._streams[stream] = _KnownStream(version, expires_at)
        else:
            self.record_loss(expires_at)

    def remove_batch(self, key: str) -> None:
        """Forgets the key of a batch; its streams stay until they expire."""
        self._batches.pop(key, None)

    def clear_keys(self) -> None:
        """Forgets all defaults and batches before those of a snapshot are applied.

        Streams stay until they expire.
        """
        self._defaults.clear()
        self.retired_since.clear()
        self._batches.clear()

    def record_loss(self, until: float) -> None:
        """Records that records may be missing until a time."""
        self._incomplete_until = max(self._incomplete_until, until)

    def expire(self, now: float) -> None:
        """Removes the streams that clients no longer resume."""
        for streams in (self._streams, self._own):
            expired = [key for key, one in streams.items() if one.expires_at <= now]
            for key in expired:
                del streams[key]

    def list_expired_batches(self, now: float) -> list[str]:
        """Returns the keys of the batches whose streams have all expired."""
        return [key for key, expires_at in self._batches.items() if expires_at <= now]

    def count_streams(self) -> int:
        """Returns the number of streams with a record."""
        return len(self._streams)

    # Streams

    def add_own(self, record: StreamRecord, now: float) -> None:
        """Adds a stream that this process begins; the oldest ones are dropped."""
        self._own[record.stream] = _KnownStream(record.version, now + record.lifetime)
        self._own.move_to_end(record.stream)
        while len(self._own) > self.max_own_streams:
            self._own.popitem(last=False)

    def find(self, stream: StreamDigest, now: float) -> Resolution | None:
        """Returns what is known of one stream without its route's default, or None."""
        known = self._streams.get(stream)
        own = self._own.get(stream)
        versions = {
            one.version
            for one in (known, own)
            if one is not None and one.expires_at > now
        }
        if not versions:
            return None
        version = versions.pop()
        if versions or version is None:
            return Resolution(ResolutionState.AMBIGUOUS)
        state = ResolutionState.RECORDED if own is None else ResolutionState.OWN
        return Resolution(state, version)

    def resolve(
        self,
        route: RoutePrefix,
        stream: StreamDigest,
        now: float,
        *,
        former: Collection[RoutePrefix] = (),
    ) -> Resolution:
        """Returns the version that began a stream.

        Args:
            route: The route of the stream.
            stream: Digest of the request that brought its first event.
            now: The time, in seconds.
            former: Routes that no longer exist at which the stream may have begun.
        """
        resolution = self.find(stream, now)
        if resolution is not None:
            return resolution
        if now < self._incomplete_until:
            return Resolution(ResolutionState.INCOMPLETE)
        return self._resolve_default(route, former)

    def resolve_unnamed(
        self,
        route: RoutePrefix,
        registered: Collection[SoftwareVersion],
        now: float,
        *,
        former: Collection[RoutePrefix] = (),
    ) -> Resolution:
        """Returns the version that began a stream whose first request is not named.

        Args:
            route: The route of the stream.
            registered: The versions of the upstreams of the route's services.
            now: The time, in seconds.
            former: Routes that no longer exist at which the stream may have begun.
        """
        if now < self._incomplete_until:
            return Resolution(ResolutionState.INCOMPLETE)
        resolution = self._resolve_default(route, former)
        recorded = {
            one.version for one in self._streams.values() if one.expires_at > now
        }
        if {*registered, *recorded} - {resolution.version}:
            return Resolution(ResolutionState.UNKNOWN)
        return resolution

    def _resolve_default(
        self, route: RoutePrefix, former: Collection[RoutePrefix]
    ) -> Resolution:
        default = self.get_default(route)
        if default is None or default.is_retired:
            return Resolution(ResolutionState.UNKNOWN)
        others = filter(None, map(self.get_default, former))
        if any(other.version != default.version for other in others):
            return Resolution(ResolutionState.UNKNOWN)
        return Resolution(ResolutionState.DEFAULT, default.version)
