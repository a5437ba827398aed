"""The order in which the waiting items of all jobs of this process are started."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from buckthornstile.base import ServiceName
from buckthornstile.gateway._engine_shares import EngineShares
from buckthornstile.shares import EngineDemand, Flow, ItemRank
from buckthornstile.topology import Route

MIN_POLL_INTERVAL = 0.02
"""Minimum seconds between two passes over the waiting items without a known change:
each runner polls by itself."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that waits for an engine.

    Attributes:
        start: Starts it if an engine may run it now; returns whether it was started.
        rank: Sort key among the items of all jobs; the lowest starts first.
        is_spare: Whether its trainer does not wait for its group.
        needs: What decides which engines can run it; items with equal needs can run at
            the same engines.
    """

    start: Callable[[], bool]
    rank: ItemRank
    is_spare: bool
    needs: tuple[object, ...]


class ItemSource(Protocol):
    """A job with items to run at engines."""

    def is_open(self) -> bool:
        """Whether items can be started now."""

    def get_flow(self) -> Flow:
        """Returns the flow of the job's items."""

    def list_services(self) -> list[ServiceName]:
        """Returns the services of the job's route."""

    def list_demands(self) -> list[EngineDemand]:
        """Returns the demands of the items that the trainer waits for."""

    def list_waiting(self) -> list[WaitingItem]:
        """Returns the items that wait for an engine."""

    def count_running(self) -> int:
        """Returns the number of items that run."""


class StepScheduler:
    """Starts the waiting items of all jobs in one order, within the shares of engines.

    Args:
        shares: This process's shares of the engines.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(self, shares: EngineShares, clock: Callable[[], float]) -> None:
        self.shares = shares
        self.clock = clock
        self._sources: list[ItemSource] = []
        self._passed_at = -1e9
        self._has_waiting = False

    def add(self, source: ItemSource) -> None:
        """Adds a job whose items are to be run."""
        self._sources.append(source)
        self._note_waiting(True, source.list_services())

    def remove(self, source: ItemSource) -> None:
        """Removes a job, if it was added."""
        if source in self._sources:
            self._sources.remove(source)

    def list_demands(self) -> list[EngineDemand]:
        """Returns the demands of all jobs; those of one flow and version are joined."""
        joined: dict[tuple[object, ...], EngineDemand] = {}
        for source in self._sources:
            for row in source.list_demands():
                key = (row.service, row.flow, row.model, row.minimum_version)
                known = joined.get(key)
                if known is not None:
                    row = EngineDemand(
                        row.service,
                        row.flow,
                        min(row.priority, known.priority),
                        row.model,
                        row.minimum_version,
                        row.waiting + known.waiting,
                        row.running + known.running,
                        row.work + known.work,
                    )
                joined[key] = row
        return list(joined.values())

    def is_shared(self, route: Route | None) -> bool:
        """Whether shares are in effect for a service of a route."""
        return route is not None and any(
            self.shares.is_in_effect(service) for service, _ in route.services
        )

    def start_waiting(self, *, is_changed: bool) -> None:
        """Starts the waiting items that may be sent to an engine now.

        Args:
            is_changed: Whether something has changed since the last pass.
        """
        try:
            self._start_all(is_changed)
        except Exception as error:
            self.shares.suspend(error)

    def _start_all(self, is_changed: bool) -> None:
        now = self.clock()
        if not is_changed and now - self._passed_at < MIN_POLL_INTERVAL:
            return
        self._passed_at = now
        sources = [source for source in self._sources if source.is_open()]
        services = {name for source in sources for name in source.list_services()}
        if not any([self._has_free_engine(service) for service in services]):
            return
        waiting = [
            (item, source) for source in sources for item in source.list_waiting()
        ]
        waiting.sort(key=lambda pair: pair[0].rank)
        rest = self._start(self._start_within_quota(waiting, sources))
        self._note_waiting(any(not item.is_spare for item, _ in rest), services)

    def _note_waiting(
        self, has_waiting: bool, services: Collection[ServiceName]
    ) -> None:
        """Announces that the first items wait or that the last ones have started."""
        if has_waiting != self._has_waiting:
            self._has_waiting = has_waiting
            self.shares.announce_demand(services)

    def _has_free_engine(self, service: ServiceName) -> bool:
        return not self.shares.is_in_effect(service) or self.shares.has_free_engine(
            service
        )

    def _start_within_quota(
        self,
        waiting: list[tuple[WaitingItem, ItemSource]],
        sources: Iterable[ItemSource],
    ) -> list[tuple[WaitingItem, ItemSource]]:
        """Starts the items of flows that use less than their part of the slots.

        Returns:
            The items that were not started.
        """
        free: dict[Flow, int] = {}
        for source in sources:
            flow = source.get_flow()
            if flow not in free:
                free[flow] = self.shares.get_flow_slots(source.list_services(), flow)
            free[flow] -= source.count_running()
        candidates, rest = [], []
        for item, source in waiting:
            flow = source.get_flow()
            if not item.is_spare and free[flow] > 0:
                free[flow] -= 1
                candidates.append((item, source))
            else:
                rest.append((item, source))
        rest += self._start(candidates)
        rest.sort(key=lambda pair: pair[0].rank)
        return rest

    def _start(
        self, waiting: list[tuple[WaitingItem, ItemSource]]
    ) -> list[tuple[WaitingItem, ItemSource]]:
        """Starts items in order and returns those that were not started.

        An item is not tried if one with the same needs could not be started.
        """
        rest: list[tuple[WaitingItem, ItemSource]] = []
        failed: set[tuple[object, ...]] = set()
        for item, source in waiting:
            is_unwanted = item.is_spare and any(
                map(self.shares.is_wanted_by_others, source.list_services())
            )
            if item.needs in failed or is_unwanted:
                rest.append((item, source))
            elif not item.start():
                failed.add(item.needs)
                rest.append((item, source))
        return rest
