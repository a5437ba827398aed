"""Plans which engine loads which named version, and when."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.routing import compute_score
from buckthornstile.topology import ModelName, TopologyView, Upstream

LOADING_SHARE = 0.4
"""Share of a service's engines that load at the same time; more slow each other."""
LOAD_TIME = 3.0
"""Seconds after which an accepted order that shows no effect is doubted."""
DOUBT_PAUSE = 0.4
"""Seconds before an engine whose order had no answer is asked."""
ALLOWED_LAG = 1
"""Versions that an engine may be behind the named one and still serve its step."""
REPLICA_SHARE = 2.0
"""Engines a model uses, in terms of its even share: each then loads every second
version, and the loads come to the even share."""


@dataclass(frozen=True, slots=True)
class PlannedLoad:
    """A load that should be ordered now."""

    upstream: UpstreamId
    model: ModelName
    version: int


@dataclass(slots=True)
class _Engine:
    """What the planner knows of one incarnation beyond its last entry."""

    born: int
    versions: dict[ModelName, int] = field(default_factory=dict)
    order_count: int | None = None
    loading_until: float = 0.0
    loading: ModelName | None = None
    doubted_at: float | None = None


class LoadPlanner:
    """Chooses loads for the holder of the lease.

    Of a model's engines those that are two versions behind load at once; those that
    are one behind only while the model's share of loads allows it.

    Args:
        view: The topology in force.
        clock: Gives the steady time in seconds.
        is_suspect: Tells whether an upstream failed just now.
    """

    def __init__(
        self,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        is_suspect: Callable[[Upstream], bool],
    ) -> None:
        self.view = view
        self.clock = clock
        self.is_suspect = is_suspect
        self._engines: dict[UpstreamId, _Engine] = {}
        self._credit: dict[ModelName, float] = {}
        self._credited: dict[ModelName, int] = {}

    def plan(self) -> list[PlannedLoad]:
        """Gives the loads that should be ordered now."""
        configuration = self.view.configuration
        if configuration is None:
            return []
        planned: list[PlannedLoad] = []
        for service in configuration.services.values():
            if service.models:
                planned += self._plan_service(service.name, service.models)
        return planned

    def list_doubted(self) -> list[UpstreamId]:
        """Lists the engines whose last order has an unknown outcome."""
        now = self.clock()
        return [
            name
            for name, engine in self._engines.items()
            if engine.doubted_at is not None and now >= engine.doubted_at
        ]

    def get_order_count(self, upstream_id: UpstreamId) -> int | None:
        """The count of orders that an engine has taken, or None if not known."""
        engine, _ = self._find(upstream_id)
        return engine.order_count if engine is not None else None

    def note_accepted(self, load: PlannedLoad) -> None:
        """Notes that an engine took an order."""
        engine, upstream = self._find(load.upstream)
        if engine is None or upstream is None:
            return
        if engine.order_count is not None:
            engine.order_count += 1
        engine.loading, engine.loading_until = load.model, self.clock() + LOAD_TIME
        engine.doubted_at = engine.loading_until
        self._credit[load.model] = self._credit.get(load.model, 0.0) - 1

    def note_holds(self, load: PlannedLoad) -> None:
        """Notes that an engine has a version already."""
        engine, _ = self._find(load.upstream)
        if engine is not None:
            engine.versions[load.model] = load.version
            engine.doubted_at = None

    def note_doubt(self, upstream_id: UpstreamId) -> None:
        """Notes that the outcome of an order is not known."""
        engine, _ = self._find(upstream_id)
        if engine is not None:
            now = self.clock()
            engine.doubted_at = now + DOUBT_PAUSE
            engine.loading_until = max(engine.loading_until, now + DOUBT_PAUSE)

    def note_report(
        self,
        upstream_id: UpstreamId,
        versions: dict[ModelName, int],
        order_count: int,
        is_busy: bool,
    ) -> None:
        """Notes what an engine itself says."""
        engine, _ = self._find(upstream_id)
        if engine is None:
            return
        engine.versions.update(versions)
        engine.order_count = order_count
        now = self.clock()
        engine.doubted_at = now + DOUBT_PAUSE if is_busy else None
        engine.loading_until = now + DOUBT_PAUSE if is_busy else 0.0
        if not is_busy:
            engine.loading = None

    def _find(self, name: UpstreamId) -> tuple[_Engine | None, Upstream | None]:
        upstream = self.view.upstreams.get(name)
        return (self._get_engine(upstream), upstream) if upstream else (None, None)

    def _get_engine(self, upstream: Upstream) -> _Engine:
        engine = self._engines.get(upstream.id)
        if engine is None or engine.born != upstream.born:
            engine = self._engines[upstream.id] = _Engine(upstream.born)
        for model, version in upstream.versions.items():
            if version >= engine.versions.get(model, 0):
                engine.versions[model] = version
        return engine

    def _plan_service(
        self, service: ServiceName, models: tuple[ModelName, ...]
    ) -> list[PlannedLoad]:
        now = self.clock()
        engines = [
            (one, self._get_engine(one)) for one in self.view.list_usable(service)
        ]
        self._forget_gone()
        for upstream, engine in engines:
            self._note_loaded(upstream, engine)
        loading = sum(engine.loading_until > now for _, engine in engines)
        room = math.ceil(LOADING_SHARE * len(engines)) - loading
        assigned: dict[UpstreamId, int] = {}
        planned: list[PlannedLoad] = []
        for model in models:
            named = self.view.named_versions.get(model, 0)
            if named < 2 or not engines:
                continue
            share = len(engines) / len(models)
            self._give_credit(model, named, share)
            count = min(len(engines), max(2, round(REPLICA_SHARE * share)))
            chosen = self._choose_replicas(model, named, engines, count, assigned)
            for upstream, engine in self._order(model, named, chosen, now):
                if room <= 0 or any(one.upstream == upstream.id for one in planned):
                    continue
                room -= 1
                if engine.order_count is None:
                    # An order needs the count of earlier ones: ask for it first.
                    engine.doubted_at = now
                    continue
                planned.append(PlannedLoad(upstream.id, model, named))
        return planned

    def _note_loaded(self, upstream: Upstream, engine: _Engine) -> None:
        model = engine.loading
        if model is None:
            return
        named = self.view.named_versions.get(model, 0)
        if upstream.versions.get(model, 0) >= named:
            engine.loading, engine.loading_until = None, 0.0
            engine.doubted_at = None

    def _give_credit(self, model: ModelName, named: int, share: float) -> None:
        fresh = named - self._credited.get(model, named - 1)
        self._credited[model] = named
        credit = self._credit.get(model, 0.0) + fresh * share
        self._credit[model] = min(credit, 2 * share)

    def _choose_replicas(
        self,
        model: ModelName,
        named: int,
        engines: list[tuple[Upstream, _Engine]],
        count: int,
        assigned: dict[UpstreamId, int],
    ) -> list[tuple[Upstream, _Engine]]:
        def rank(one: tuple[Upstream, _Engine]) -> tuple[int, int, int, int]:
            upstream, engine = one
            lag = named - engine.versions.get(model, 0)
            return (
                int(self.is_suspect(upstream)),
                max(0, lag - ALLOWED_LAG - 1),
                assigned.get(upstream.id, 0),
                -compute_score(model, upstream.id),
            )

        chosen = sorted(engines, key=rank)[:count]
        for upstream, _ in chosen:
            assigned[upstream.id] = assigned.get(upstream.id, 0) + 1
        return chosen

    def _order(
        self,
        model: ModelName,
        named: int,
        chosen: list[tuple[Upstream, _Engine]],
        now: float,
    ) -> list[tuple[Upstream, _Engine]]:
        """Gives the engines that should load now, the most urgent first."""
        lags = [
            (named - engine.versions.get(model, 0), upstream, engine)
            for upstream, engine in chosen
        ]
        able = [one for one in lags if one[0] <= ALLOWED_LAG]
        credit = self._credit.get(model, 0.0)
        wanted = []
        optional = 0
        for lag, upstream, engine in sorted(lags, key=lambda one: -one[0]):
            if lag <= 0 or engine.loading_until > now or engine.doubted_at is not None:
                continue
            if self.is_suspect(upstream):
                continue
            if lag > ALLOWED_LAG:
                wanted.append((upstream, engine))
            # Engines that can serve the step now must not all load at once.
            elif credit - len(wanted) >= 1 and optional + 1 < len(able):
                wanted.append((upstream, engine))
                optional += 1
        return wanted

    def _forget_gone(self) -> None:
        for name in list(self._engines):
            if name not in self.view.upstreams:
                del self._engines[name]
