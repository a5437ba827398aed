"""The order of one job's items: by its groups, its due time and the expected work."""

import math
from collections.abc import Collection, Mapping, Sequence

from buckthornstile.base import ServiceName
from buckthornstile.gateway._item_execution import ItemExecution
from buckthornstile.gateway._job_context import JobContext
from buckthornstile.jobs import ItemId, ResultState
from buckthornstile.shares import (
    EngineDemand,
    Flow,
    GroupState,
    ItemRank,
    compute_slack,
    compute_urgency,
    estimate_remaining_events,
    find_spare_groups,
    has_enough_groups,
    rank_item,
)
from buckthornstile.topology import ModelName, Route

DEFAULT_EVENT_TIME = 0.05
"""Seconds that an event is assumed to take while no engine's latency is known."""
NO_DEADLINE = 600.0
"""Seconds until the results of a job are assumed to be due if its route states no
time."""
SPARE_TIME_FACTOR = 2.0
"""Multiple of the time in which results are due after which no item counts as spare: a
trainer that has not ended its job by then may wait for everything."""
REFRESH_INTERVAL = 0.1
"""Seconds for which the state of the groups is used although items made progress."""


class JobOrder:
    """The state of a job's groups, and what follows for the order of its items.

    Args:
        context: The job.
        group_names: The groups of the job, in the order of submission.
        results: States of the items that have a result; kept up to date by the owner.
    """

    def __init__(
        self,
        context: JobContext,
        group_names: Sequence[str],
        results: Mapping[ItemId, ResultState],
    ) -> None:
        self.context = context
        self.group_names = group_names
        self.results = results
        self._groups: dict[str, GroupState] = {}
        self._spare_groups: frozenset[str] = frozenset()
        self._event_time = DEFAULT_EVENT_TIME
        self._refreshed_at = -1e9
        self._result_count = -1

    def refresh(self, executions: Sequence[ItemExecution], now: float) -> bool:
        """Computes the state of the groups, unless that was done just now.

        Returns:
            Whether the state was computed.
        """
        is_recent = now - self._refreshed_at < REFRESH_INTERVAL
        if is_recent and self._result_count == len(self.results):
            return False
        self._refreshed_at, self._result_count = now, len(self.results)
        specification = self.context.job.specification
        open_items = dict.fromkeys(self.group_names, 0)
        work = dict.fromkeys(self.group_names, 0.0)
        for execution in executions:
            if execution.item.id not in self.results:
                open_items[execution.item.group] += 1
                work[execution.item.group] += estimate_remaining(execution)
        failed = {
            item.group
            for item in specification.items
            if self.results.get(item.id) is ResultState.ABANDONED
        }
        self._groups = {
            group: GroupState(
                position, open_items[group], work[group], group not in failed
            )
            for position, group in enumerate(self.group_names)
        }
        self._spare_groups = find_spare_groups(
            self._groups, specification.wanted_groups
        )
        self._event_time = self._estimate_event_time()
        return True

    def _estimate_event_time(self) -> float:
        dependencies, route = self.context.dependencies, self.context.last_route
        if route is None:
            return DEFAULT_EVENT_TIME
        upstreams = [
            upstream
            for service, _ in route.services
            for upstream in dependencies.view.list_available_upstreams(service)
        ]
        median = dependencies.balancer.compute_median_latency(upstreams)
        return median or DEFAULT_EVENT_TIME

    def is_spare(self, execution: ItemExecution, now: float) -> bool:
        """Whether the trainer does not wait for an item's group.

        After ``SPARE_TIME_FACTOR`` no item does, so that each is run eventually.
        """
        return execution.item.group in self._spare_groups and self._may_spare(now)

    def _may_spare(self, now: float) -> bool:
        age = now - self.context.job.started_at
        return age < SPARE_TIME_FACTOR * self._get_deadline()

    def is_satisfied(self, now: float) -> bool:
        """Whether the trainer has as many groups as it waits for."""
        wanted = self.context.job.specification.wanted_groups
        return has_enough_groups(self._groups, wanted) and self._may_spare(now)

    def _get_deadline(self) -> float:
        route = self.context.last_route
        return (route.result_deadline if route is not None else 0.0) or NO_DEADLINE

    def _get_due_in(self, now: float) -> float:
        return self.context.job.started_at + self._get_deadline() - now

    def _get_slack(self, execution: ItemExecution, now: float) -> float:
        return compute_slack(
            self._get_due_in(now), estimate_remaining(execution), self._event_time
        )

    def rank(self, execution: ItemExecution, now: float) -> ItemRank:
        """Returns the sort key of an item among the items of all jobs."""
        group = self._groups[execution.item.group]
        return rank_item(
            is_spare=self.is_spare(execution, now),
            priority=self.context.get_priority(),
            slack=self._get_slack(execution, now),
            open_items=group.open_items,
            remaining_events=estimate_remaining(execution),
            position=group.position,
        )

    def get_urgency(self, execution: ItemExecution, now: float) -> int:
        """Returns the urgency of an item at its engine."""
        return compute_urgency(
            self.context.get_priority(),
            is_spare=self.is_spare(execution, now),
            slack=self._get_slack(execution, now),
        )

    def make_demands(
        self,
        route: Route,
        flow: Flow,
        waiting: Collection[ItemExecution],
        running: Collection[ItemExecution],
        now: float,
    ) -> list[EngineDemand]:
        """Returns the demand of the items that the trainer waits for, by service."""
        specification = self.context.job.specification
        needed = [item for item in waiting if not self.is_spare(item, now)]
        active = [item for item in running if not self.is_spare(item, now)]
        work = sum(map(estimate_remaining, [*needed, *active]))
        return [
            EngineDemand(
                service,
                flow,
                self.context.get_priority(),
                specification.model or ModelName(""),
                specification.minimum_version,
                math.ceil(len(needed) * fraction),
                math.ceil(len(active) * fraction),
                work * fraction,
            )
            for service, fraction in list_service_fractions(route)
        ]


def estimate_remaining(execution: ItemExecution) -> float:
    """Returns the number of events that an item is expected to generate yet."""
    return estimate_remaining_events(
        execution.item.expected_tokens, len(execution.progress.events)
    )


def list_service_fractions(route: Route) -> list[tuple[ServiceName, float]]:
    """Returns the services that get requests of a route, each with its fraction."""
    total = sum(weight for _, weight in route.services)
    if not total:
        return [(name, 1.0) for name, _ in route.services[:1]]
    return [(name, weight / total) for name, weight in route.services if weight > 0]
