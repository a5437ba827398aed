"""The order in which an owner starts the items of its jobs.

Items with the least slack to their job's due time come first. A trainer waits for a
number of complete groups; the groups that are closest to complete are needed, and the
others come last.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

SLACK_STEP = 0.5
"""Seconds by which slacks must differ to count as different."""
TIGHT_SLACK = 1.0
"""Seconds of slack below which an item is more urgent at its engine."""
MAX_URGENCY = 9
"""The least urgent value that an upstream accepts."""
SPARE_URGENCY = 3
"""Added to the urgency of items that the trainer does not wait for."""
OVERRUN_FRACTION = 0.5
"""Part of its events so far that an item is expected to generate yet after it has
exceeded its expected number: the number is right at the median, with a long tail."""

ItemRank = tuple[bool, int, int, int, float, int]
"""Sort key of an item; see ``rank_item``."""


@dataclass(frozen=True, slots=True)
class GroupState:
    """The items of a group that have no result yet.

    Attributes:
        position: Position of the group within the job.
        open_items: Number of items without a result.
        work: Number of events that these items are expected to generate yet.
        can_complete: Whether all results so far are complete.
    """

    position: int
    open_items: int
    work: float
    can_complete: bool = True


def estimate_remaining_events(expected: int, generated: int) -> float:
    """Returns the number of events that an item is expected to generate yet.

    Args:
        expected: The stated number of events, or 0 if unknown.
        generated: Number of events so far.

    Example:
        >>> estimate_remaining_events(12, 4), estimate_remaining_events(12, 40)
        (8, 20.0)
    """
    return max(1, expected - generated, OVERRUN_FRACTION * generated)


def find_spare_groups(groups: Mapping[str, GroupState], wanted: int) -> frozenset[str]:
    """Returns the groups that the trainer does not wait for.

    Args:
        groups: All groups of the job by name.
        wanted: Number of complete groups that the trainer waits for, or 0 for all.

    Example:
        >>> groups = {"g1": GroupState(0, 2, 30.0), "g2": GroupState(1, 1, 4.0)}
        >>> find_spare_groups(groups, 1)
        frozenset({'g1'})
    """
    complete = [name for name, group in groups.items() if is_complete(group)]
    possible = sorted(
        (group.work, group.position, name)
        for name, group in groups.items()
        if group.can_complete and group.open_items
    )
    # A group with an abandoned item can't become complete.
    needed = {name for _, _, name in possible[: max(0, wanted - len(complete))]}
    if not wanted:
        return frozenset()
    return frozenset(set(groups) - needed - set(complete))


def is_complete(group: GroupState) -> bool:
    """Whether all items of a group are complete."""
    return group.can_complete and not group.open_items


def has_enough_groups(groups: Mapping[str, GroupState], wanted: int) -> bool:
    """Whether as many groups are complete as the trainer waits for."""
    return 0 < wanted <= sum(map(is_complete, groups.values()))


def compute_slack(due_in: float, remaining_events: float, event_time: float) -> float:
    """Returns the seconds that an item may wait and still be complete in time.

    Args:
        due_in: Seconds until the results of the job are due.
        remaining_events: Number of events that the item is expected to generate yet.
        event_time: Seconds that an event takes.
    """
    return due_in - remaining_events * event_time


def rank_item(
    *,
    is_spare: bool,
    priority: int,
    slack: float,
    open_items: int,
    remaining_events: float,
    position: int,
) -> ItemRank:
    """Returns the sort key of an item; the item with the lowest key starts first.

    Items whose job is overdue count as equally late: otherwise an owner that is behind
    would serve all jobs too late.

    Args:
        is_spare: Whether the trainer does not wait for the item's group.
        priority: Priority of the item's flow.
        slack: Seconds that the item may wait and still be complete in time.
        open_items: Number of items of its group that have no result yet.
        remaining_events: Number of events that it is expected to generate yet.
        position: Position of its group within the job.
    """
    step = math.floor(max(0.0, slack) / SLACK_STEP)
    return (is_spare, priority, step, open_items, -remaining_events, position)


def compute_urgency(priority: int, *, is_spare: bool, slack: float) -> int:
    """Returns the urgency of a run at its engine, from 0 (most urgent) to 9."""
    urgency = priority + 1 + SPARE_URGENCY * is_spare - (slack < TIGHT_SLACK)
    return min(MAX_URGENCY, max(0, urgency))
