"""Chooses which of a lot's slots to dispatch and which to hedge."""

import heapq
import itertools

from buckthornstile.base import WeightVersion
from buckthornstile.samples._actions import DispatchSlot
from buckthornstile.samples._estimates import WorkEstimator
from buckthornstile.samples._policy import LotPolicy
from buckthornstile.samples._slots import SlotState, SlotTable


def choose_waiting(
    slots: SlotTable, estimator: WorkEstimator, *, now: float, capacity: int
) -> list[SlotState]:
    """Chooses slots to dispatch: retried ones first, then longest expected.

    Args:
        slots: The lot's slots.
        estimator: What is known of their lengths.
        now: The time, in seconds.
        capacity: How many may be chosen.

    Returns:
        The slots, in order of dispatch.
    """
    if capacity <= 0:
        return []
    # A slot that failed before has lost time already, so it goes first.
    retried = [state for state in slots.list_retried() if state.not_before <= now]
    retried.sort(key=lambda state: (-state.attempts, state.slot))
    chosen = retried[:capacity]
    left = capacity - len(chosen)
    fresh = slots.get_fresh()
    groups = heapq.nsmallest(
        left, fresh, key=lambda group: (-estimator.estimate_tokens(group), group)
    )
    ordered = (slot for group in groups for slot in fresh[group])
    return chosen + [slots[slot] for slot in itertools.islice(ordered, left)]


def choose_hedges(
    slots: SlotTable,
    estimator: WorkEstimator,
    policy: LotPolicy,
    *,
    now: float,
    idle_capacity: int,
) -> list[SlotState]:
    """Chooses stragglers among the last slots for a second attempt.

    Args:
        slots: The lot's slots.
        estimator: What is known of their durations.
        policy: When hedging begins.
        now: The time, in seconds.
        idle_capacity: How many may be chosen.

    Returns:
        The slots that have run for longest, first.
    """
    limit = max(policy.maximum_hedges, int(policy.hedge_share * len(slots)))
    if idle_capacity <= 0 or slots.open_count > limit:
        return []
    threshold = estimator.get_duration_quantile(policy.hedge_quantile)
    if threshold is None or estimator.finished_count < policy.hedge_minimum_peers:
        return []
    late = [
        (min(state.running.values()), state.slot)
        for state in slots.list_open()
        if len(state.running) == 1 and state.not_before <= now
    ]
    late = [item for item in sorted(late) if now - item[0] > threshold]
    return [slots[slot] for _, slot in late[:idle_capacity]]


def estimate_remaining(
    slots: SlotTable, estimator: WorkEstimator, *, now: float
) -> float:
    """Estimates the seconds until the longest open slot is finished.

    Args:
        slots: The lot's slots.
        estimator: What is known of lengths and speed.
        now: The time, in seconds.
    """
    longest = 0.0
    for group, started in slots.iterate_open_groups():
        needed = estimator.estimate_tokens(group) / estimator.tokens_per_second
        if started is not None:
            needed -= now - started
        longest = max(longest, needed)
    return longest


def plan_dispatches(
    slots: SlotTable,
    estimator: WorkEstimator,
    policy: LotPolicy,
    *,
    now: float,
    capacity: int,
    idle_capacity: int,
    deadline: float,
    attach: int,
    minimum_version: WeightVersion,
) -> list[DispatchSlot]:
    """Works out a lot's dispatches, hedges last.

    Args:
        slots: The lot's slots.
        estimator: What is known of their lengths and durations.
        policy: How the lot spends capacity.
        now: The time, in seconds.
        capacity: Slots that may be dispatched now.
        idle_capacity: Hedges that may be dispatched now.
        deadline: The lot's deadline, in seconds.
        attach: The trainer's attach number.
        minimum_version: The oldest weights that may make a sample.
    """
    chosen = choose_waiting(slots, estimator, now=now, capacity=capacity)
    chosen += choose_hedges(
        slots, estimator, policy, now=now, idle_capacity=idle_capacity
    )
    if not chosen:
        return []
    slack = deadline - now - estimate_remaining(slots, estimator, now=now)
    actions = []
    for state in chosen:
        group = estimator.specification.groups[state.slot.group]
        action = DispatchSlot(
            slot=state.slot,
            attempt=state.attempts + 1,
            prompt=group.prompt,
            max_tokens=group.max_tokens,
            expected_tokens=estimator.estimate_tokens(state.slot.group),
            slack=slack,
            timeout=deadline - now,
            attach=attach,
            minimum_version=minimum_version,
            prefix_hash=group.prefix_hash,
            hedge=state.is_running,
            running=tuple(state.running),
        )
        actions.append(action)
    return actions
