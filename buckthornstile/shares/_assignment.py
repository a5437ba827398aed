"""The division of engines' slots among the owners of jobs.

Every owner computes the same assignment from the same records. First the slots are
divided into numbers of slots: by max-min fairness over routes, then over the client
accounts of a route, then over the owners of a flow by expected work. Then each owner
gets slots of particular engines by rendezvous hashing.

Engines that the same demands can use are interchangeable and form a class. Slots are
taken from the class that the fewest demands can use.
"""

import functools
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from buckthornstile.base import ProcessName, UpstreamId
from buckthornstile.routing import compute_rendezvous_score
from buckthornstile.shares._records import EngineDemand, Flow
from buckthornstile.topology import ModelName

MIN_ROUTE_FRACTION = 0.5
"""Part of an even share of the slots that each route gets whatever its priority."""
MAX_STEPS = 512
"""Maximum number of steps in which slots are divided; bounds the time that it takes
for hundreds of engines."""


@dataclass(frozen=True, slots=True)
class Engine:
    """An engine as the assignment sees it.

    Attributes:
        id: Id of the engine.
        slots: Number of its slots.
        versions: Versions of the models that it holds.
    """

    id: UpstreamId
    slots: int
    versions: Mapping[ModelName, int] = field(default_factory=dict)

    def can_run(self, demand: EngineDemand) -> bool:
        """Whether the engine holds a version that may run the items of a demand."""
        if not demand.model:
            return True
        version = self.versions.get(demand.model, 0)
        return version > 0 and version >= demand.minimum_version


@dataclass(frozen=True, slots=True)
class Assignment:
    """The slots of a service's engines that belong to each owner.

    Attributes:
        slots: Number of slots by engine and owner.
        flow_slots: Number of slots that an owner has for a flow, by owner and flow.
    """

    slots: Mapping[UpstreamId, Mapping[ProcessName, int]] = field(default_factory=dict)
    flow_slots: Mapping[tuple[ProcessName, Flow], int] = field(default_factory=dict)

    def count_slots(self, owner: ProcessName) -> int:
        """Returns the number of slots that belong to an owner."""
        return sum(shares.get(owner, 0) for shares in self.slots.values())


@dataclass(slots=True)
class _Claim:
    """A demand of an owner, and the slots that it has got so far."""

    owner: ProcessName
    demand: EngineDemand
    classes: list[int]
    wanted: int
    given: int = 0

    def rank(self) -> tuple[float, ProcessName, str, int]:
        demand = self.demand
        share = self.given / max(1.0, demand.work)
        return (share, self.owner, demand.model, demand.minimum_version)


class _Division:
    """The division of the slots of classes of engines among claims."""

    def __init__(self, free: list[int]) -> None:
        self.free = free
        self.step = max(1, math.ceil(sum(free) / MAX_STEPS))
        self.by_route: dict[str, int] = {}
        self.by_flow: dict[Flow, int] = {}
        self.by_owner: dict[tuple[int, ProcessName], int] = {}

    def fill(self, claims: Iterable[_Claim], *, route_limit: int | None = None) -> None:
        """Gives slots to the claims that have least, until none can get more.

        Args:
            claims: The claims.
            route_limit: Number of slots at which a route gets no more, or None.
        """
        tree: dict[str, dict[Flow, list[_Claim]]] = {}
        urgency: dict[str, int] = {}
        for claim in claims:
            flow, priority = claim.demand.flow, claim.demand.priority
            tree.setdefault(flow.route, {}).setdefault(flow, []).append(claim)
            urgency[flow.route] = min(priority, urgency.get(flow.route, priority))
        while tree:
            route = min(
                tree, key=lambda name: (self.by_route.get(name, 0), urgency[name], name)
            )
            allowed = self.step
            if route_limit is not None:
                allowed = min(allowed, route_limit - self.by_route.get(route, 0))
            if allowed <= 0:
                del tree[route]
                continue
            flows = tree[route]
            flow = min(flows, key=lambda flow: (self.by_flow.get(flow, 0), flow))
            claim = min(flows[flow], key=_Claim.rank)
            if not self._give(claim, allowed):
                flows[flow].remove(claim)
                if not flows[flow]:
                    del flows[flow]
                if not flows:
                    del tree[route]

    def _give(self, claim: _Claim, allowed: int) -> int:
        number = next((n for n in claim.classes if self.free[n] > 0), None)
        if number is None:
            return 0
        count = min(allowed, claim.wanted - claim.given, self.free[number])
        if count <= 0:
            return 0
        flow = claim.demand.flow
        claim.given += count
        self.free[number] -= count
        self.by_route[flow.route] = self.by_route.get(flow.route, 0) + count
        self.by_flow[flow] = self.by_flow.get(flow, 0) + count
        self._add(number, claim.owner, count)
        return count

    def spread_rest(self, owners_by_class: Sequence[set[ProcessName]]) -> None:
        """Divides the slots that no claim wants evenly among the owners.

        An owner whose new job the others don't know yet has these slots at once.
        """
        for number, owners in enumerate(owners_by_class):
            ranked = sorted(
                owners, key=lambda name: (self.by_owner.get((number, name), 0), name)
            )
            for position, owner in enumerate(ranked):
                count = math.ceil(self.free[number] / (len(ranked) - position))
                self.free[number] -= count
                self._add(number, owner, count)

    def _add(self, number: int, owner: ProcessName, count: int) -> None:
        key = (number, owner)
        self.by_owner[key] = self.by_owner.get(key, 0) + count


def compute_assignment(
    engines: Sequence[Engine],
    demands: Mapping[ProcessName, Sequence[EngineDemand]],
) -> Assignment:
    """Divides the slots of a service's engines among owners.

    Args:
        engines: The engines of the service that receive new requests.
        demands: The demands for the service, by owner.

    Returns:
        The assignment. No slot belongs to two owners, and every slot that a demand can
        use belongs to an owner.

    Example:
        >>> demand = EngineDemand("s", Flow("r", "a"), 0, waiting=9)
        >>> assignment = compute_assignment(
        ...     [Engine("u1", 4), Engine("u2", 4)], {"e1": [demand], "e2": [demand]}
        ... )
        >>> assignment.count_slots("e1"), assignment.count_slots("e2")
        (4, 4)
    """
    rows = [(owner, row) for owner in sorted(demands) for row in demands[owner]]
    classes, claims = _make_claims(engines, rows)
    division = _Division([sum(e.slots for e in members) for members in classes])
    routes = {claim.demand.flow.route for claim in claims}
    if routes:
        even_share = sum(division.free) / len(routes)
        floor = max(1, math.floor(MIN_ROUTE_FRACTION * even_share))
        division.fill(claims, route_limit=floor)
    for priority in sorted({claim.demand.priority for claim in claims}):
        division.fill(claim for claim in claims if claim.demand.priority == priority)
    division.spread_rest(
        [
            {claim.owner for claim in claims if number in claim.classes}
            for number in range(len(classes))
        ]
    )
    flow_slots: dict[tuple[ProcessName, Flow], int] = {}
    for claim in claims:
        key = (claim.owner, claim.demand.flow)
        flow_slots[key] = flow_slots.get(key, 0) + claim.given
    return Assignment(_place(classes, division.by_owner), flow_slots)


def _make_claims(
    engines: Sequence[Engine], rows: Sequence[tuple[ProcessName, EngineDemand]]
) -> tuple[list[list[Engine]], list[_Claim]]:
    """Returns the classes of engines, and the claims of the demands."""
    kinds = sorted({(row.model, row.minimum_version) for _, row in rows})
    samples = {(row.model, row.minimum_version): row for _, row in rows}
    members: dict[tuple[bool, ...], list[Engine]] = {}
    for engine in sorted(engines, key=lambda engine: engine.id):
        usable = tuple(engine.can_run(samples[kind]) for kind in kinds)
        members.setdefault(usable, []).append(engine)
    # The class that the fewest kinds of demands can use comes first.
    signatures = sorted(members, key=lambda usable: (sum(usable), usable))
    claims = []
    for owner, row in rows:
        position = kinds.index((row.model, row.minimum_version))
        usable_classes = [
            number for number, usable in enumerate(signatures) if usable[position]
        ]
        # Running items keep no slots by themselves: most of them have ended before the
        # others have read the record, and nobody would use their slots.
        wanted = row.waiting + row.running if row.waiting else 0
        if wanted and usable_classes:
            claims.append(_Claim(owner, row, usable_classes, wanted))
    return [members[usable] for usable in signatures], claims


@functools.lru_cache(maxsize=64)
def _rank_pairs(
    engines: tuple[UpstreamId, ...], owners: tuple[ProcessName, ...]
) -> list[tuple[ProcessName, UpstreamId]]:
    """Returns all pairs of an owner and an engine in the order of their scores."""
    scored = (
        (compute_rendezvous_score(engine, owner), owner, engine)
        for engine in engines
        for owner in owners
    )
    return [(owner, engine) for _, owner, engine in sorted(scored, reverse=True)]


def _place(
    classes: Sequence[Sequence[Engine]],
    quotas: Mapping[tuple[int, ProcessName], int],
) -> dict[UpstreamId, dict[ProcessName, int]]:
    """Gives each owner its number of slots, at the engines that score highest."""
    slots: dict[UpstreamId, dict[ProcessName, int]] = {}
    for number, engines in enumerate(classes):
        left = {owner: count for (n, owner), count in quotas.items() if n == number}
        free = {engine.id: engine.slots for engine in engines}
        pairs = _rank_pairs(tuple(sorted(free)), tuple(sorted(left)))
        for owner, engine_id in pairs:
            count = min(left[owner], free[engine_id])
            if count > 0:
                left[owner] -= count
                free[engine_id] -= count
                slots.setdefault(engine_id, {})[owner] = count
    return slots
