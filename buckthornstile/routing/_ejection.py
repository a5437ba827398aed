"""Ejection of upstreams that fail, bounded in share and growing in time."""

from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import UpstreamId


class EjectionChange(Enum):
    """What a result changed."""

    EJECTED = "ejected"
    CAPPED = "capped"
    NONE = "none"


@dataclass(slots=True)
class _Standing:
    failures: int = 0
    ejections: int = 0
    until: float = 0.0


class OutlierEjection:
    """Keeps upstreams that fail in a row out of the choice for a while.

    Never more than ``maximum_share`` of a service's upstreams are out at once,
    but one may always be, if there are at least two.

    Args:
        failures: Failures in a row that eject.
        base_seconds: The first ejection's length; each next one doubles it.
        maximum_seconds: The longest ejection.
        maximum_share: The share of upstreams that may be out.

    Example:
        >>> ejection = OutlierEjection(failures=1)
        >>> ejection.on_result("u1", False, 0.0, peers=["u1", "u2"])
        <EjectionChange.EJECTED: 'ejected'>
        >>> ejection.on_result("u2", False, 0.0, peers=["u1", "u2"])
        <EjectionChange.CAPPED: 'capped'>
        >>> ejection.is_ejected("u1", 1.0), ejection.is_ejected("u1", 99.0)
        (True, False)
    """

    def __init__(
        self,
        *,
        failures: int = 5,
        base_seconds: float = 5.0,
        maximum_seconds: float = 120.0,
        maximum_share: float = 0.3,
    ) -> None:
        self.failures = failures
        self.base_seconds = base_seconds
        self.maximum_seconds = maximum_seconds
        self.maximum_share = maximum_share
        self._standings: dict[UpstreamId, _Standing] = {}

    def is_ejected(self, upstream: UpstreamId, now: float) -> bool:
        """Tells whether an upstream is out of the choice.

        Args:
            upstream: The upstream.
            now: The clock reading, in seconds.

        Returns:
            Whether its ejection lasts.
        """
        standing = self._standings.get(upstream)
        return standing is not None and now < standing.until

    def on_result(
        self, upstream: UpstreamId, ok: bool, now: float, *, peers: list[UpstreamId]
    ) -> EjectionChange:
        """Takes in how a request ended.

        Args:
            upstream: Where it ran.
            ok: Whether the upstream served it without a fault of its own.
            now: The clock reading, in seconds.
            peers: All upstreams of the same service, this one among them.

        Returns:
            Whether the upstream was ejected, or would have been but for the cap.
        """
        standing = self._standings.setdefault(upstream, _Standing())
        if ok:
            standing.failures = 0
            if now >= standing.until + self.maximum_seconds:
                standing.ejections = 0
            return EjectionChange.NONE
        standing.failures += 1
        if standing.failures < self.failures or now < standing.until:
            return EjectionChange.NONE
        out = sum(self.is_ejected(peer, now) for peer in peers)
        if out + 1 > self._compute_cap(len(peers)):
            return EjectionChange.CAPPED
        seconds = self.base_seconds * 2.0 ** min(standing.ejections, 16)
        standing.until = now + min(seconds, self.maximum_seconds)
        standing.ejections += 1
        standing.failures = 0
        return EjectionChange.EJECTED

    def forget(self, upstream: UpstreamId) -> None:
        """Drops what is known of an upstream that is gone."""
        self._standings.pop(upstream, None)

    def _compute_cap(self, peers: int) -> int:
        return max(int(self.maximum_share * peers), 1 if peers > 1 else 0)
