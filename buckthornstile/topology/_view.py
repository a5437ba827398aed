"""One process's view of the configuration and of the upstreams in the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from buckthornstile.base import AccountId, FailureDomain, ServiceName, UpstreamId
from buckthornstile.topology._types import (
    ModelName,
    PlatformAccount,
    PlatformConfiguration,
    Route,
    Upstream,
)

API_HOST = ""
"""Host of the routes of the product's own API. Their path prefix is the name of a rule
instead of a path."""
EXPIRY_GRACE = 2.0
"""Seconds after a store outage within which upstreams renew expired records."""
MAX_WRITE_DELAY = 6.0
"""Seconds within which the store may still execute a write that got no response."""
LEAVING_LIFETIME = 120.0
"""Seconds for which it is remembered that an upstream stated that it leaves, after its
record was removed: a record that was written before may still be read late."""
MIN_REJOIN_INTERVAL = 0.5
"""Minimum seconds between two writes that show that a removed upstream is live. A
delayed write arrives alone, whereas a live upstream keeps writing."""


@dataclass(slots=True)
class _LastWrite:
    """The last write of an upstream, kept after its record has been removed."""

    started_at_ms: int
    sequence: int
    received_at: float
    removed_at: float | None = None
    rejoined_at: float | None = None


@dataclass(slots=True)
class _LeavingStatement:
    """The start of the incarnation that stated that it leaves, and when it did so."""

    started_at_ms: int
    stated_at: float


class TopologyView:
    """The configuration, evacuations, target versions and upstreams in effect.

    The versions of the configuration and the target versions of the models never
    decrease. Evacuated failure domains come from single records in the store, drained
    ones from the product's own configuration; neither kind receives new requests.

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
        self._expiring: dict[UpstreamId, float] = {}
        self._cold_until: dict[UpstreamId, float] = {}
        self._seen_versions: dict[UpstreamId, tuple[int, dict[ModelName, int]]] = {}
        self._last_writes: dict[UpstreamId, _LastWrite] = {}
        self._leaving: dict[UpstreamId, _LeavingStatement] = {}
        self.drained_domains: frozenset[FailureDomain] = frozenset()
        self._routes: dict[str, list[Route]] = {}
        self._api_routes: dict[str, Route] = {}
        self._api_revision = 0
        self._accounts: dict[str, PlatformAccount] = {}
        self._priorities: dict[AccountId, int] = {}

    def apply_configuration(self, configuration: PlatformConfiguration) -> bool:
        """Puts a newer configuration in effect and ignores an older one.

        Returns:
            Whether the configuration was newer.
        """
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
        self._priorities = {
            account.name: account.priority
            for account in configuration.accounts
            if isinstance(account.priority, int)
        }
        return True

    def apply_evacuation(self, failure_domain: FailureDomain, evacuated: bool) -> None:
        """Marks a failure domain as evacuated or as in use."""
        if evacuated:
            self.evacuated_domains.add(failure_domain)
        else:
            self.evacuated_domains.discard(failure_domain)

    def replace_api_configuration(
        self,
        routes: Iterable[Route],
        drained: Iterable[FailureDomain],
        *,
        revision: int,
    ) -> None:
        """Replaces the product's own API routes and the drained failure domains."""
        self._api_revision = revision
        self._api_routes = {route.path_prefix: route for route in routes}
        self.drained_domains = frozenset(drained)

    def replace_evacuations(self, failure_domains: set[FailureDomain]) -> None:
        """Replaces the set of evacuated failure domains."""
        self.evacuated_domains = set(failure_domains)

    def apply_target_version(self, model: ModelName, version: int) -> bool:
        """Records the version that a trainer published, unless it is not newer.

        Returns:
            Whether the version was newer.
        """
        if version <= self.target_versions.get(model, 0):
            return False
        self.target_versions[model] = version
        return True

    def apply_upstream(self, upstream: Upstream, now: float) -> bool:
        """Applies an upstream's record.

        Returns:
            Whether the record was applied. A record that is older than the last one,
            or that follows a removal, may come from a write that the store executed
            late, and is ignored until the upstream is known to be live.
        """
        if not self._accept_write(upstream, now):
            return False
        self._expiring.pop(upstream.id, None)
        self.upstreams[upstream.id] = upstream
        if upstream.cold_remaining > 0:
            self._cold_until[upstream.id] = now + upstream.cold_remaining
        else:
            self._cold_until.pop(upstream.id, None)
        return True

    def _accept_write(self, upstream: Upstream, now: float) -> bool:
        last_write = self._last_writes.get(upstream.id)
        if last_write is None or upstream.started_at_ms > last_write.started_at_ms:
            self._last_writes[upstream.id] = _LastWrite(
                upstream.started_at_ms, upstream.sequence, now
            )
            return True
        is_older = (upstream.started_at_ms, upstream.sequence) < (
            last_write.started_at_ms,
            last_write.sequence,
        )
        if is_older and now - last_write.received_at < MAX_WRITE_DELAY:
            return False
        last_write.started_at_ms, last_write.sequence, last_write.received_at = (
            upstream.started_at_ms,
            upstream.sequence,
            now,
        )
        if (
            last_write.removed_at is None
            or now - last_write.removed_at > MAX_WRITE_DELAY
        ):
            last_write.removed_at = last_write.rejoined_at = None
            return True
        if last_write.rejoined_at is None:
            last_write.rejoined_at = now
        if now - last_write.rejoined_at < MIN_REJOIN_INTERVAL:
            return False
        last_write.removed_at = last_write.rejoined_at = None
        return True

    def remove_upstream(
        self, upstream_id: UpstreamId, now: float, *, until: float = 0.0
    ) -> None:
        """Removes an upstream.

        Args:
            upstream_id: The upstream whose record was removed.
            now: The current time, in seconds.
            until: Time until which the upstream stays in use, in seconds, if its
                record may have expired only because the store was unavailable.
                0 removes it at once.
        """
        if until and upstream_id in self.upstreams:
            self._expiring.setdefault(upstream_id, until)
            return
        had_expired = self._expiring.pop(upstream_id, None) is not None
        last_write = self._last_writes.get(upstream_id)
        if last_write is not None and not had_expired:
            last_write.removed_at, last_write.rejoined_at = now, None
        self._cold_until.pop(upstream_id, None)
        self._seen_versions.pop(upstream_id, None)
        self.upstreams.pop(upstream_id, None)

    def remove_expired(self, now: float) -> list[UpstreamId]:
        """Removes the expired upstreams whose grace period has passed.

        Returns:
            The ids of the removed upstreams.
        """
        expired = [
            upstream_id for upstream_id, until in self._expiring.items() if until <= now
        ]
        for upstream_id in expired:
            self.remove_upstream(upstream_id, now)
        return expired

    def record_leaving(
        self, upstream_id: UpstreamId, started_at_ms: int, now: float
    ) -> bool:
        """Records that an incarnation of an upstream stated that it leaves.

        It receives no new requests from then on, whatever its records in the store say.

        Returns:
            Whether this was not known before.
        """
        known = self._leaving.get(upstream_id)
        if known is not None and known.started_at_ms >= started_at_ms:
            return False
        self._leaving[upstream_id] = _LeavingStatement(started_at_ms, now)
        return True

    def is_leaving(self, upstream: Upstream) -> bool:
        """Whether an upstream's incarnation, or a later one, stated that it leaves.

        An entry may learn of the statement before it reads the incarnation's record,
        and may read a record of an earlier incarnation late.
        """
        statement = self._leaving.get(upstream.id)
        return (
            statement is not None and upstream.started_at_ms <= statement.started_at_ms
        )

    def count_leaving(self) -> int:
        """Returns the number of listed upstreams that stated that they leave."""
        return sum(map(self.is_leaving, self.upstreams.values()))

    def prune_leaving(self, now: float) -> None:
        """Forgets statements of upstreams that have been gone for long."""
        for upstream_id, statement in list(self._leaving.items()):
            listed = self.upstreams.get(upstream_id)
            if listed and listed.started_at_ms == statement.started_at_ms:
                statement.stated_at = max(statement.stated_at, now)
            elif now - statement.stated_at > LEAVING_LIFETIME:
                del self._leaving[upstream_id]

    def replace_upstreams(
        self, upstreams: Mapping[UpstreamId, Upstream], now: float, *, until: float
    ) -> None:
        """Replaces all upstreams.

        Args:
            upstreams: The upstreams by id.
            now: The current time, in seconds.
            until: Time until which the missing upstreams stay in use, in seconds; 0
                removes them at once.
        """
        for upstream_id in list(self.upstreams):
            if upstream_id not in upstreams:
                self.remove_upstream(upstream_id, now, until=until)
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
        """Stores versions that an engine holds before its own record lists them."""
        known_start, known = self._seen_versions.get(upstream_id, (started_at_ms, {}))
        if known_start != started_at_ms:
            known = {}
        for model, version in versions.items():
            known[model] = max(version, known.get(model, 0))
        self._seen_versions[upstream_id] = (started_at_ms, known)

    def get_version(self, upstream: Upstream, model: ModelName) -> int:
        """Returns the version of a model that an engine holds, or 0 if it has none."""
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
        """Returns the route with the longest path prefix that matches the path.

        For the host ``API_HOST``, the path is the name of the rule of a route.
        """
        if host == API_HOST:
            return self._api_routes.get(path)
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def get_configuration_version(self, host: str) -> int:
        """Returns the version of the configuration of a host's routes, or 0 for none.

        For the host ``API_HOST``, it is the revision of the product's own one.
        """
        if host == API_HOST:
            return self._api_revision
        return self.configuration.version if self.configuration is not None else 0

    def find_account(self, key: str) -> PlatformAccount | None:
        """Returns the account to which a key belongs, or None."""
        return self._accounts.get(key)

    def get_account_priority(self, name: AccountId) -> int | None:
        """Returns the priority of a client account, or None if it has none."""
        return self._priorities.get(name)

    def list_available_upstreams(self, service: ServiceName) -> list[Upstream]:
        """Returns the upstreams of a service that may receive new requests."""
        return [
            upstream
            for upstream in self.upstreams.values()
            if upstream.service == service
            and not upstream.is_draining
            and not self.is_leaving(upstream)
            and upstream.failure_domain not in self.evacuated_domains
            and upstream.failure_domain not in self.drained_domains
        ]

    def get_models_by_service(self) -> dict[ServiceName, tuple[ModelName, ...]]:
        """Returns the models of each service that has any.

        The models of a service that is not configured are those that its upstreams
        hold.
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
