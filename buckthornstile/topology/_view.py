"""The fold of what operators and upstreams wrote, as one process knows it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from buckthornstile.base import FailureDomain, ServiceName, UpstreamId
from buckthornstile.topology._types import (
    ModelName,
    PlatformAccount,
    PlatformConfiguration,
    Route,
    Upstream,
)

API_HOST = ""
"""Host of the routes of the product's own interface; their prefix is a name that no
path of a client can be."""
EXPIRY_GRACE = 2.0
"""Seconds after the store's return within which lapsed entries are back."""
LATE_WRITE = 6.0
"""Seconds for which the store may still carry out a write that had no answer."""
RETURN_GAP = 0.5
"""Seconds between two writes that show that a removed upstream lives: a late write
comes alone, a living upstream goes on writing."""


@dataclass(slots=True)
class _Trace:
    """The newest write of an upstream, kept also after its entry is gone."""

    started_at_ms: int
    sequence: int
    at: float
    removed_at: float | None = None
    return_at: float | None = None


class TopologyView:
    """Configuration, evacuations, named versions and upstreams in force.

    Configuration and named versions only move forward.

    Example:
        >>> view = TopologyView()
        >>> view.configuration is None
        True
    """

    def __init__(self) -> None:
        self.configuration: PlatformConfiguration | None = None
        self.evacuated_domains: set[FailureDomain] = set()
        self.target_versions: dict[ModelName, int] = {}
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self._lapsing: dict[UpstreamId, float] = {}
        self._cold_until: dict[UpstreamId, float] = {}
        self._seen_versions: dict[UpstreamId, tuple[int, dict[ModelName, int]]] = {}
        self._traces: dict[UpstreamId, _Trace] = {}
        self.drained_domains: frozenset[FailureDomain] = frozenset()
        self._routes: dict[str, list[Route]] = {}
        self._own_routes: dict[str, Route] = {}
        self._accounts: dict[str, PlatformAccount] = {}

    def apply_configuration(self, configuration: PlatformConfiguration) -> bool:
        """Puts a newer configuration in force; an older one changes nothing."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self._routes = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._accounts = {
            key: account for account in configuration.accounts for key in account.keys
        }
        return True

    def apply_evacuation(self, failure_domain: FailureDomain, evacuated: bool) -> None:
        """Marks a failure domain as evacuated, or as back in use."""
        if evacuated:
            self.evacuated_domains.add(failure_domain)
        else:
            self.evacuated_domains.discard(failure_domain)

    def replace_api_configuration(
        self, routes: Iterable[Route], drained: Iterable[FailureDomain]
    ) -> None:
        """Puts the routes and drains of the product's own interface in force."""
        self._own_routes = {route.path_prefix: route for route in routes}
        self.drained_domains = frozenset(drained)

    def replace_evacuations(self, failure_domains: set[FailureDomain]) -> None:
        """Puts a whole list of evacuated failure domains in force."""
        self.evacuated_domains = set(failure_domains)

    def apply_target_version(self, model: ModelName, version: int) -> bool:
        """Notes the version that a trainer named; versions only grow."""
        if version <= self.target_versions.get(model, 0):
            return False
        self.target_versions[model] = version
        return True

    def apply_upstream(self, upstream: Upstream, now: float) -> bool:
        """Notes what an upstream says of itself.

        Returns:
            False if the entry is older than one seen before, or the first after its
            removal: the store may carry out a write late.
        """
        if not self._is_newest(upstream, now):
            return False
        self._lapsing.pop(upstream.id, None)
        self.upstreams[upstream.id] = upstream
        if upstream.cold_remaining > 0:
            self._cold_until[upstream.id] = now + upstream.cold_remaining
        else:
            self._cold_until.pop(upstream.id, None)
        return True

    def _is_newest(self, upstream: Upstream, now: float) -> bool:
        trace = self._traces.get(upstream.id)
        if trace is None or upstream.started_at_ms > trace.started_at_ms:
            self._traces[upstream.id] = _Trace(
                upstream.started_at_ms, upstream.sequence, now
            )
            return True
        is_older = (upstream.started_at_ms, upstream.sequence) < (
            trace.started_at_ms,
            trace.sequence,
        )
        if is_older and now - trace.at < LATE_WRITE:
            return False
        trace.started_at_ms, trace.sequence, trace.at = (
            upstream.started_at_ms,
            upstream.sequence,
            now,
        )
        if trace.removed_at is None or now - trace.removed_at > LATE_WRITE:
            trace.removed_at = trace.return_at = None
            return True
        if trace.return_at is None:
            trace.return_at = now
        if now - trace.return_at < RETURN_GAP:
            return False
        trace.removed_at = trace.return_at = None
        return True

    def remove_upstream(
        self, upstream_id: UpstreamId, now: float, *, until: float = 0.0
    ) -> None:
        """Takes an upstream out.

        Args:
            upstream_id: The upstream whose entry is gone.
            now: The time in seconds.
            until: Keep it in use until this time, for an entry that may have
                lapsed only because the store was away.
        """
        if until and upstream_id in self.upstreams:
            self._lapsing.setdefault(upstream_id, until)
            return
        lapsed = self._lapsing.pop(upstream_id, None) is not None
        trace = self._traces.get(upstream_id)
        if trace is not None and not lapsed:
            trace.removed_at, trace.return_at = now, None
        self._cold_until.pop(upstream_id, None)
        self._seen_versions.pop(upstream_id, None)
        self.upstreams.pop(upstream_id, None)

    def remove_expired(self, now: float) -> list[UpstreamId]:
        """Takes out lapsed upstreams whose grace has passed, and names them."""
        gone = [name for name, until in self._lapsing.items() if until <= now]
        for name in gone:
            self.remove_upstream(name, now)
        return gone

    def replace_upstreams(
        self, upstreams: Mapping[UpstreamId, Upstream], now: float, *, until: float
    ) -> None:
        """Puts a whole list of upstreams in force; missing ones lapse or go."""
        for name in list(self.upstreams):
            if name not in upstreams:
                self.remove_upstream(name, now, until=until)
        for upstream in upstreams.values():
            self.apply_upstream(upstream, now)

    def is_cold(self, upstream_id: UpstreamId, now: float) -> bool:
        """Whether an upstream is still cold after its start."""
        return self._cold_until.get(upstream_id, 0.0) > now

    def record_versions(
        self,
        upstream_id: UpstreamId,
        started_at_ms: int,
        versions: Mapping[ModelName, int],
    ) -> None:
        """Notes versions that an engine was seen to hold before its entry says so."""
        known_born, known = self._seen_versions.get(upstream_id, (started_at_ms, {}))
        if known_born != started_at_ms:
            known = {}
        for model, version in versions.items():
            known[model] = max(version, known.get(model, 0))
        self._seen_versions[upstream_id] = (started_at_ms, known)

    def get_version(self, upstream: Upstream, model: ModelName) -> int:
        """The version of a model that an engine holds; 0 if it has none."""
        version = int(upstream.versions.get(model, 0))
        started_at_ms, seen = self._seen_versions.get(
            upstream.id, (upstream.started_at_ms, {})
        )
        return (
            max(version, seen.get(model, 0))
            if started_at_ms == upstream.started_at_ms
            else version
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route with the longest prefix that begins the path.

        A route of the product's own interface is found by its name.
        """
        if host == API_HOST:
            return self._own_routes.get(path)
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> PlatformAccount | None:
        """Finds the account that holds a key now."""
        return self._accounts.get(key)

    def list_available_upstreams(self, service: ServiceName) -> list[Upstream]:
        """Lists the upstreams of a service that may get new work."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and not upstream.is_draining
            and upstream.failure_domain not in self.evacuated_domains
            and upstream.failure_domain not in self.drained_domains
        ]

    def get_models_by_service(self) -> dict[ServiceName, tuple[ModelName, ...]]:
        """Lists the services whose upstreams hold models, and which models.

        Those of services that are not configured are what their upstreams hold.
        """
        configured = self.configuration.services if self.configuration else {}
        found: dict[ServiceName, set[ModelName]] = {}
        for upstream in self.upstreams.values():
            if upstream.service not in configured and upstream.versions:
                found.setdefault(upstream.service, set()).update(upstream.versions)
        services = {
            service.name: service.models
            for service in configured.values()
            if service.models
        }
        return services | {name: tuple(sorted(found[name])) for name in found}
