"""The items of one job that are started within this process's shares of engines."""

import functools
import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from buckthornstile.base import ServiceName, UpstreamId
from buckthornstile.gateway._item_execution import ItemExecution
from buckthornstile.gateway._job_context import JobContext
from buckthornstile.gateway._job_order import JobOrder, list_service_fractions
from buckthornstile.gateway._request_profiles import make_item_profile
from buckthornstile.gateway._step_scheduler import WaitingItem
from buckthornstile.jobs import ItemId, ResultState
from buckthornstile.shares import EngineDemand, Flow
from buckthornstile.topology import Route, Upstream

MAX_GROUP_FRACTION = 0.5
"""Part of a group's items that prefer the same engine: one that becomes slow must not
hold back the whole group."""


class JobSource:
    """Presents the items of a job to the scheduler.

    Args:
        context: The job.
        executions: The items that had no result when the job was started.
        pending: The executions that wait for an engine; kept up to date by the runner.
        results: States of the items with a result; kept up to date by the runner.
        start: Starts a pending item if an engine may run it; returns whether it did.
        is_open: Whether items can be started now.
    """

    def __init__(
        self,
        context: JobContext,
        executions: Sequence[ItemExecution],
        pending: Sequence[ItemExecution],
        results: Mapping[ItemId, ResultState],
        *,
        start: Callable[[ItemExecution, Route], bool],
        is_open: Callable[[], bool],
    ) -> None:
        self.context = context
        self.executions = executions
        self.pending = pending
        self.start = start
        self.is_open = is_open
        self._group_sizes = Counter(item.group for item in context.job.items.values())
        self._order = JobOrder(context, list(self._group_sizes), results)
        self._placements: dict[str, dict[UpstreamId, int]] = {}
        self._has_stopped_spare = False
        # Hundreds of items may wait while about a hundred runs end in a second.
        self._ranked: dict[ItemId, WaitingItem] = {}
        self._ranked_route: Route | None = None

    def get_flow(self) -> Flow:
        """Returns the flow of the job's items."""
        route = self.context.last_route
        account = self.context.job.specification.account
        return Flow(route.name if route else "", account)

    def list_services(self) -> list[ServiceName]:
        """Returns the services of the job's route."""
        route = self.context.find_route()
        return [name for name, _ in list_service_fractions(route)] if route else []

    def list_demands(self) -> list[EngineDemand]:
        """Returns the demands of the items that the trainer waits for."""
        route = self.context.find_route()
        if route is None:
            return []
        now = self._refresh()
        return self._order.make_demands(
            route, self.get_flow(), self.pending, self._list_running(), now
        )

    def list_waiting(self) -> list[WaitingItem]:
        """Returns the items that wait for an engine."""
        route = self.context.find_route()
        if route is None:
            return []
        now = self._refresh()
        if route != self._ranked_route:
            self._ranked, self._ranked_route = {}, route
        for execution in self.pending:
            if execution.item.id not in self._ranked:
                self._ranked[execution.item.id] = WaitingItem(
                    functools.partial(self._start, execution, route),
                    self._order.rank(execution, now),
                    self._order.is_spare(execution, now),
                    execution.list_needs(route),
                )
        return [self._ranked[execution.item.id] for execution in self.pending]

    def count_running(self) -> int:
        """Returns the number of items that run at an engine."""
        return len(self._list_running())

    def _list_running(self) -> list[ItemExecution]:
        return [
            execution
            for execution in self.executions
            if execution.progress.stop is not None
        ]

    def _refresh(self) -> float:
        """Updates the state of the groups and returns the current time."""
        now = self.context.dependencies.clock()
        if self._order.refresh(self.executions, now):
            self._ranked.clear()
        return now

    def _start(self, execution: ItemExecution, route: Route) -> bool:
        now = self.context.dependencies.clock()
        self._ranked.pop(execution.item.id, None)
        execution.urgency = self._order.get_urgency(execution, now)
        return self.start(execution, route)

    def choose_upstream(
        self, execution: ItemExecution, route: Route, service: ServiceName
    ) -> Upstream | None:
        """Returns the engine that gets an item now, or None if the item must wait.

        The items of a group go to the engine that has their prefix, up to
        ``MAX_GROUP_FRACTION``.
        """
        group = execution.item.group
        placements = self._placements.setdefault(group, {})
        limit = math.ceil(self._group_sizes[group] * MAX_GROUP_FRACTION)
        known = [name for name, count in placements.items() if count < limit]
        upstream = self.context.dependencies.shares.choose_upstream(
            service,
            is_eligible=lambda candidate: execution.is_eligible(candidate, route),
            avoided=execution.avoided,
            preferred=known[-1] if known and group else None,
            profile=make_item_profile(
                execution.item, route, self.context.job.specification.account, service
            ),
            prefix_holders=known if group else (),
            body_bytes=len(execution.item.body),
        )
        if upstream is not None:
            placements[upstream.id] = placements.get(upstream.id, 0) + 1
        return upstream

    def stop_spare_runs(self) -> None:
        """Stops the runs of groups that the trainer does not wait for any more.

        This is done once: an item that starts later does so because nothing else waits.
        """
        now = self._refresh()
        if self._has_stopped_spare or not self._order.is_satisfied(now):
            return
        self._has_stopped_spare = True
        for execution in self._list_running():
            stop = execution.progress.stop
            if stop is not None and self._order.is_spare(execution, now):
                stop()
