"""Plans which engine loads which named version, and when."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.topology import ModelName, TopologyView, Upstream

LOADING_SHARE = 0.4
"""Share of a service's engines that load at the same time; more slow each other."""
LOAD_TIME = 0.9
"""Seconds that a load takes at least; then the engine is asked for its state."""
BUSY_PAUSE = 0.15
"""Seconds between two questions to an engine that still loads."""
DOUBT_PAUSE = 0.4
"""Seconds before an engine whose order had no answer is asked."""
ALLOWED_LAG = 1
"""Versions that an engine may be behind the named one and still serve its step."""
REPLICA_SHARE = 2.0
"""Engines a model uses, in terms of its even share: each then loads every second
version, and the loads come to the even share."""
MIN_REPLICAS = 4
"""Engines a model uses where there are so many: half of them serve a step at once."""


@dataclass(frozen=True, slots=True)
class PlannedModelLoad:
    """A load that should be ordered now."""

    upstream: UpstreamId
    model: ModelName
    version: int


@dataclass(slots=True)
class _Engine:
    """What the planner knows of one incarnation beyond its last entry."""

    started_at_ms: int
    versions: dict[ModelName, int] = field(default_factory=dict)
    order_count: int | None = None
    loading_until: float = 0.0
    next_poll_at: float | None = None


@dataclass(slots=True)
class _Wanted:
    """A load that a model wants; the smallest rank goes first."""

    load: PlannedModelLoad
    engine: _Engine
    rank: tuple[int, int]


class ModelLoadPlanner:
    """Chooses loads for the holder of the lease.

    Of a model's engines those that are two versions behind load at once; those that
    are one behind only while the model's share of loads allows it.

    Args:
        view: The topology in force.
        clock: Gives the steady time in seconds.
        is_ejected: Tells whether an upstream failed just now.
    """

    def __init__(
        self,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        is_ejected: Callable[[Upstream], bool],
    ) -> None:
        self.view = view
        self.clock = clock
        self.is_ejected = is_ejected
        self._engines: dict[UpstreamId, _Engine] = {}
        self._credit: dict[ModelName, float] = {}
        self._credited: dict[ModelName, int] = {}

    def plan(self) -> list[PlannedModelLoad]:
        """Gives the loads that should be ordered now."""
        planned: list[PlannedModelLoad] = []
        for service, models in self.view.get_models_by_service().items():
            planned += self._plan_service(service, models)
        return planned

    def list_upstreams_to_poll(self) -> list[UpstreamId]:
        """Lists the engines whose last order has an unknown outcome."""
        now = self.clock()
        return [
            name
            for name, engine in self._engines.items()
            if engine.next_poll_at is not None and now >= engine.next_poll_at
        ]

    def get_order_count(self, upstream_id: UpstreamId) -> int | None:
        """The count of orders that an engine has taken, or None if not known."""
        engine, _ = self._find(upstream_id)
        return engine.order_count if engine is not None else None

    def record_accepted(self, load: PlannedModelLoad) -> None:
        """Notes that an engine took an order."""
        engine, upstream = self._find(load.upstream)
        if engine is None or upstream is None:
            return
        if engine.order_count is not None:
            engine.order_count += 1
        engine.next_poll_at = engine.loading_until = self.clock() + LOAD_TIME
        self._credit[load.model] = self._credit.get(load.model, 0.0) - 1

    def record_already_loaded(self, load: PlannedModelLoad) -> None:
        """Notes that an engine has a version already."""
        engine, _ = self._find(load.upstream)
        if engine is not None:
            engine.versions[load.model] = load.version
            engine.next_poll_at = None

    def record_unknown_outcome(self, upstream_id: UpstreamId) -> None:
        """Notes that the outcome of an order is not known."""
        engine, _ = self._find(upstream_id)
        if engine is not None:
            now = self.clock()
            engine.next_poll_at = now + DOUBT_PAUSE
            engine.loading_until = max(engine.loading_until, now + DOUBT_PAUSE)

    def list_unpublished_versions(self) -> dict[UpstreamId, dict[ModelName, int]]:
        """Lists what engines hold that their entries do not show yet."""
        fresh: dict[UpstreamId, dict[ModelName, int]] = {}
        for name, engine in self._engines.items():
            upstream = self.view.upstreams.get(name)
            if upstream is None or upstream.started_at_ms != engine.started_at_ms:
                continue
            newer = {
                model: version
                for model, version in engine.versions.items()
                if version > upstream.versions.get(model, 0)
            }
            if newer:
                fresh[name] = newer
        return fresh

    def record_report(
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
        engine.next_poll_at = now + BUSY_PAUSE if is_busy else None
        engine.loading_until = now + BUSY_PAUSE if is_busy else 0.0

    def _find(self, name: UpstreamId) -> tuple[_Engine | None, Upstream | None]:
        upstream = self.view.upstreams.get(name)
        return (self._get_engine(upstream), upstream) if upstream else (None, None)

    def _get_engine(self, upstream: Upstream) -> _Engine:
        engine = self._engines.get(upstream.id)
        if engine is None or engine.started_at_ms != upstream.started_at_ms:
            engine = self._engines[upstream.id] = _Engine(upstream.started_at_ms)
        for model, version in upstream.versions.items():
            if version >= engine.versions.get(model, 0):
                engine.versions[model] = version
        return engine

    def _plan_service(
        self, service: ServiceName, models: tuple[ModelName, ...]
    ) -> list[PlannedModelLoad]:
        now = self.clock()
        engines = [
            (one, self._get_engine(one))
            for one in self.view.list_available_upstreams(service)
        ]
        self._forget_gone()
        loading = sum(
            engine.loading_until > now or engine.next_poll_at is not None
            for upstream, engine in engines
            if not self.is_ejected(upstream)
        )
        room = math.ceil(LOADING_SHARE * len(engines)) - loading
        assigned: dict[UpstreamId, int] = {}
        wanted: list[_Wanted] = []
        for model in models:
            named = self.view.target_versions.get(model, 0)
            if named < 2 or not engines:
                continue
            share = len(engines) / len(models)
            self._give_credit(model, named, share)
            count = min(len(engines), max(MIN_REPLICAS, round(REPLICA_SHARE * share)))
            chosen = self._choose_replicas(model, named, engines, count, assigned)
            wanted += self._list_wanted(model, named, chosen, now)
        return self._take_most_urgent(wanted, room, now)

    def _take_most_urgent(
        self, wanted: list["_Wanted"], room: int, now: float
    ) -> list[PlannedModelLoad]:
        planned: list[PlannedModelLoad] = []
        taken: set[UpstreamId] = set()
        for one in sorted(wanted, key=lambda one: one.rank):
            name = one.load.upstream
            if room <= 0 or name in taken:
                continue
            taken.add(name)
            room -= 1
            if one.engine.order_count is None:
                # An order needs the count of earlier ones: ask for it first.
                one.engine.next_poll_at = now
                continue
            planned.append(one.load)
        return planned

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
                int(self.is_ejected(upstream)),
                max(0, lag - ALLOWED_LAG - 1),
                assigned.get(upstream.id, 0),
                -compute_rendezvous_score(model, upstream.id),
            )

        chosen = sorted(engines, key=rank)[:count]
        for upstream, _ in chosen:
            assigned[upstream.id] = assigned.get(upstream.id, 0) + 1
        return chosen

    def _list_wanted(
        self,
        model: ModelName,
        named: int,
        chosen: list[tuple[Upstream, _Engine]],
        now: float,
    ) -> list["_Wanted"]:
        """Lists the loads that a model wants now.

        Those of the model that the fewest engines can serve come first; those that
        only its credit allows come last.
        """
        lags = [
            (named - engine.versions.get(model, 0), upstream, engine)
            for upstream, engine in chosen
        ]
        able = sum(lag <= ALLOWED_LAG for lag, _, _ in lags)
        credit = self._credit.get(model, 0.0)
        wanted: list[_Wanted] = []
        optional = 0
        for lag, upstream, engine in sorted(lags, key=lambda one: -one[0]):
            if (
                lag <= 0
                or engine.loading_until > now
                or engine.next_poll_at is not None
            ):
                continue
            if self.is_ejected(upstream):
                continue
            load = PlannedModelLoad(upstream.id, model, named)
            if lag > ALLOWED_LAG:
                wanted.append(_Wanted(load, engine, (able + len(wanted), -lag)))
            # Engines that can serve the step now must not all load at once.
            elif credit - len(wanted) >= 1 and optional + 1 < able:
                wanted.append(_Wanted(load, engine, (len(chosen), -lag)))
                optional += 1
        return wanted

    def _forget_gone(self) -> None:
        for name in list(self._engines):
            if name not in self.view.upstreams:
                del self._engines[name]
