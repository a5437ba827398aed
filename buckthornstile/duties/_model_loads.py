"""Plans which engine loads which target version of a model, and when."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.topology import ModelName, TopologyView, Upstream

MAX_LOADING_FRACTION = 0.4
"""Fraction of a service's engines that may load at the same time.

More concurrent loads slow each other down.
"""
MIN_LOAD_SECONDS = 0.9
"""Minimum seconds that a load takes; the engine's state is polled after that."""
BUSY_POLL_SECONDS = 0.15
"""Seconds between two polls of an engine that is still loading."""
UNKNOWN_OUTCOME_POLL_SECONDS = 0.4
"""Seconds after an order without a response until the engine is polled."""
MAX_VERSION_LAG = 1
"""Versions that an engine may be behind the target version and still serve its step."""
REPLICA_FACTOR = 2.0
"""Number of engines that a model uses, as a multiple of its even share of engines.

The even share is the number of engines of the service divided by that of its models.

With 2.0, each of them loads every second version, so the model causes as many loads
as if its even share of engines loaded every version.
"""
MIN_REPLICAS = 4
"""Minimum number of engines that a model uses, if the service has that many.

Half of them can then serve a new step without waiting for a load.
"""


@dataclass(frozen=True, slots=True)
class PlannedModelLoad:
    """A model load that should be ordered now."""

    upstream: UpstreamId
    model: ModelName
    version: int


@dataclass(slots=True)
class _Engine:
    """State of one incarnation of an engine, as known to the planner.

    It can be newer than the engine's last published record. ``order_count`` is the
    number of load orders that the engine has accepted, or None if not known.
    ``ordered_model`` is the model of the last order while its load may still be going
    on.
    """

    started_at_ms: int
    versions: dict[ModelName, int] = field(default_factory=dict)
    order_count: int | None = None
    loading_until: float = 0.0
    next_poll_at: float | None = None
    ordered_model: ModelName | None = None

    def is_loading(self, now: float) -> bool:
        """Whether the engine is loading, or its state must be polled first."""
        return self.loading_until > now or self.next_poll_at is not None


@dataclass(slots=True)
class _LoadCandidate:
    """A load that a model could use; the lowest rank is ordered first."""

    load: PlannedModelLoad
    engine: _Engine
    rank: tuple[int, int]


class ModelLoadPlanner:
    """Plans the model loads that the lease holder orders.

    Engines that are two or more versions behind a model's target version load it
    whether or not the model has credit. Engines that are one version behind load only
    while the model has credit: a new target version adds the model's even share of
    engines (see ``REPLICA_FACTOR``), and each accepted load costs 1. Credit is not
    needed while no engine that can be used holds the target version, as a step may
    need exactly that version.

    Args:
        view: The topology in effect.
        clock: Returns the monotonic time in seconds.
        is_ejected: Returns whether an upstream is ejected because it failed recently.
        is_limited: Returns whether an upstream has stated a rate limit, so that it
            cannot serve a step alone.
    """

    def __init__(
        self,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        is_ejected: Callable[[Upstream], bool],
        is_limited: Callable[[Upstream], bool] = lambda upstream: False,
    ) -> None:
        self.view = view
        self.clock = clock
        self.is_ejected = is_ejected
        self.is_limited = is_limited
        self._engines: dict[UpstreamId, _Engine] = {}
        self._credit: dict[ModelName, float] = {}
        self._credited_versions: dict[ModelName, int] = {}

    def plan(self) -> list[PlannedModelLoad]:
        """Returns the loads that should be ordered now."""
        planned: list[PlannedModelLoad] = []
        for service, models in self.view.get_models_by_service().items():
            planned += self._plan_service(service, models)
        return planned

    def list_upstreams_to_poll(self) -> list[UpstreamId]:
        """Lists the engines whose state should be polled now."""
        now = self.clock()
        return [
            upstream_id
            for upstream_id, engine in self._engines.items()
            if engine.next_poll_at is not None and now >= engine.next_poll_at
        ]

    def get_order_count(self, upstream_id: UpstreamId) -> int | None:
        """Returns the number of orders an engine has accepted, or None if not known."""
        engine, _ = self._find_engine(upstream_id)
        return engine.order_count if engine is not None else None

    def record_accepted(self, load: PlannedModelLoad) -> None:
        """Records that an engine accepted a load order."""
        engine, upstream = self._find_engine(load.upstream)
        if engine is None or upstream is None:
            return
        if engine.order_count is not None:
            engine.order_count += 1
        engine.next_poll_at = engine.loading_until = self.clock() + MIN_LOAD_SECONDS
        self._credit[load.model] = self._credit.get(load.model, 0.0) - 1

    def record_already_loaded(self, load: PlannedModelLoad) -> None:
        """Records that an engine refused an order because it has loaded the version."""
        engine, _ = self._find_engine(load.upstream)
        if engine is not None:
            engine.versions[load.model] = load.version
            engine.next_poll_at = engine.ordered_model = None

    def record_unknown_outcome(self, upstream_id: UpstreamId) -> None:
        """Records that the outcome of a load order is not known."""
        engine, _ = self._find_engine(upstream_id)
        if engine is not None:
            now = self.clock()
            engine.next_poll_at = now + UNKNOWN_OUTCOME_POLL_SECONDS
            engine.loading_until = max(
                engine.loading_until, now + UNKNOWN_OUTCOME_POLL_SECONDS
            )

    def list_unpublished_versions(self) -> dict[UpstreamId, dict[ModelName, int]]:
        """Lists the loaded versions that the engines' published records lack so far."""
        unpublished: dict[UpstreamId, dict[ModelName, int]] = {}
        for upstream_id, engine in self._engines.items():
            upstream = self.view.upstreams.get(upstream_id)
            if upstream is None or upstream.started_at_ms != engine.started_at_ms:
                continue
            newer = {
                model: version
                for model, version in engine.versions.items()
                if version > upstream.versions.get(model, 0)
            }
            if newer:
                unpublished[upstream_id] = newer
        return unpublished

    def record_report(
        self,
        upstream_id: UpstreamId,
        versions: dict[ModelName, int],
        order_count: int,
        is_busy: bool,
    ) -> None:
        """Records the state that an engine returned when it was polled.

        Args:
            upstream_id: The engine.
            versions: The loaded version of each model.
            order_count: Number of load orders that the engine has accepted.
            is_busy: Whether it is still loading.
        """
        engine, _ = self._find_engine(upstream_id)
        if engine is None:
            return
        engine.versions.update(versions)
        engine.order_count = order_count
        now = self.clock()
        engine.next_poll_at = now + BUSY_POLL_SECONDS if is_busy else None
        engine.loading_until = now + BUSY_POLL_SECONDS if is_busy else 0.0
        if not is_busy:
            engine.ordered_model = None

    def _find_engine(
        self, upstream_id: UpstreamId
    ) -> tuple[_Engine | None, Upstream | None]:
        upstream = self.view.upstreams.get(upstream_id)
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
            (upstream, self._get_engine(upstream))
            for upstream in self.view.list_available_upstreams(service)
        ]
        self._remove_absent_engines()
        loading_count = sum(
            engine.is_loading(now)
            for upstream, engine in engines
            if not self.is_ejected(upstream)
        )
        free_slots = math.ceil(MAX_LOADING_FRACTION * len(engines)) - loading_count
        replica_counts: dict[UpstreamId, int] = {}
        candidates: list[_LoadCandidate] = []
        for model in models:
            target_version = self.view.target_versions.get(model, 0)
            if target_version < 2 or not engines:
                continue
            even_share = len(engines) / len(models)
            self._add_credit(model, target_version, even_share)
            replica_count = min(
                len(engines), max(MIN_REPLICAS, round(REPLICA_FACTOR * even_share))
            )
            replicas = self._choose_replicas(
                model, target_version, engines, replica_count, replica_counts
            )
            usable = self._list_usable(engines)
            is_missing = not any(
                engine.versions.get(model, 0) >= target_version
                or engine.ordered_model == model
                for _, engine in usable
            )
            needed_at = {upstream.id for upstream, _ in usable} if is_missing else set()
            candidates += self._list_candidates(
                model, target_version, replicas, needed_at, now
            )
        return self._select_loads(candidates, free_slots, now)

    def _select_loads(
        self, candidates: list["_LoadCandidate"], free_slots: int, now: float
    ) -> list[PlannedModelLoad]:
        planned: list[PlannedModelLoad] = []
        selected: set[UpstreamId] = set()
        for candidate in sorted(candidates, key=lambda candidate: candidate.rank):
            upstream_id = candidate.load.upstream
            if free_slots <= 0 or upstream_id in selected:
                continue
            selected.add(upstream_id)
            free_slots -= 1
            if candidate.engine.order_count is None:
                # An order must state the count of earlier orders, which a poll returns.
                candidate.engine.next_poll_at = now
                continue
            candidate.engine.ordered_model = candidate.load.model
            planned.append(candidate.load)
        return planned

    def _add_credit(
        self, model: ModelName, target_version: int, even_share: float
    ) -> None:
        new_versions = target_version - self._credited_versions.get(
            model, target_version - 1
        )
        self._credited_versions[model] = target_version
        credit = self._credit.get(model, 0.0) + new_versions * even_share
        self._credit[model] = min(credit, 2 * even_share)

    def _choose_replicas(
        self,
        model: ModelName,
        target_version: int,
        engines: list[tuple[Upstream, _Engine]],
        replica_count: int,
        replica_counts: dict[UpstreamId, int],
    ) -> list[tuple[Upstream, _Engine]]:
        def rank(candidate: tuple[Upstream, _Engine]) -> tuple[int, int, int, int]:
            upstream, engine = candidate
            lag = target_version - engine.versions.get(model, 0)
            return (
                int(self.is_ejected(upstream)),
                max(0, lag - MAX_VERSION_LAG - 1),
                replica_counts.get(upstream.id, 0),
                -compute_rendezvous_score(model, upstream.id),
            )

        replicas = sorted(engines, key=rank)[:replica_count]
        for upstream, _ in replicas:
            replica_counts[upstream.id] = replica_counts.get(upstream.id, 0) + 1
        return replicas

    def _list_usable(
        self, engines: list[tuple[Upstream, _Engine]]
    ) -> list[tuple[Upstream, _Engine]]:
        """Lists the engines of which one alone can serve a step.

        If all have stated a rate limit, no load would help, so they all count.
        """
        connected = [entry for entry in engines if not self.is_ejected(entry[0])]
        unlimited = [entry for entry in connected if not self.is_limited(entry[0])]
        return unlimited or connected

    def _list_candidates(
        self,
        model: ModelName,
        target_version: int,
        replicas: list[tuple[Upstream, _Engine]],
        needed_at: Collection[UpstreamId],
        now: float,
    ) -> list["_LoadCandidate"]:
        """Lists the loads that a model could use now.

        Loads of the model that the fewest engines can serve get the lowest rank;
        loads that depend on the model's credit get the highest rank. ``needed_at``
        are the engines of which one must load, as none that can be used holds the
        target version.
        """
        lagging = [
            (target_version - engine.versions.get(model, 0), upstream, engine)
            for upstream, engine in replicas
        ]
        ready_count = sum(lag <= MAX_VERSION_LAG for lag, _, _ in lagging)
        credit = self._credit.get(model, 0.0)
        candidates: list[_LoadCandidate] = []
        optional_count = 0
        for lag, upstream, engine in sorted(lagging, key=lambda entry: -entry[0]):
            if lag <= 0 or engine.is_loading(now) or self.is_ejected(upstream):
                continue
            load = PlannedModelLoad(upstream.id, model, target_version)
            is_needed = upstream.id in needed_at and not candidates
            if lag > MAX_VERSION_LAG or is_needed:
                candidates.append(
                    _LoadCandidate(load, engine, (ready_count + len(candidates), -lag))
                )
            # Of the engines that can serve the step now, at least one must not load.
            elif credit - len(candidates) >= 1 and optional_count + 1 < ready_count:
                candidates.append(_LoadCandidate(load, engine, (len(replicas), -lag)))
                optional_count += 1
        return candidates

    def _remove_absent_engines(self) -> None:
        for upstream_id in list(self._engines):
            if upstream_id not in self.view.upstreams:
                del self._engines[upstream_id]
