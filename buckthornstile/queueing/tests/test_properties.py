"""Property-based tests of the fair queue for arbitrary arrivals."""

from collections import deque
from itertools import combinations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from buckthornstile.base import ErrorCode, RequestClass
from buckthornstile.queueing import FairQueue, QueueItem

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
MAX_COST = 50.0
ARRIVALS = st.lists(
    st.tuples(st.sampled_from("abc"), st.floats(1.0, MAX_COST), st.integers(0, 2)),
    min_size=20,
    max_size=80,
)


def measure_unfairness(push, pop, arrivals):
    """Returns the worst unfairness between two accounts while both have queued items.

    The work that an account has received is divided by the account's weight. The
    difference between two accounts varies over time; unfairness is its maximum minus
    its minimum, divided by the bound: the sum of one largest item of each account.
    """
    waiting = dict.fromkeys(WEIGHTS, 0)
    served = dict.fromkeys(WEIGHTS, 0.0)
    gap_ranges, worst_unfairness = {}, 0.0
    pops = [pops for _, _, pops in arrivals] + [1] * (2 * len(arrivals))
    for number, count in enumerate(pops):
        if number < len(arrivals):
            account, cost, _ = arrivals[number]
            waiting[account] += 1
            push(
                QueueItem(
                    f"e/{number}",
                    account,
                    RequestClass.INTERACTIVE,
                    weight=WEIGHTS[account],
                    cost=cost,
                )
            )
        for _ in range(count):
            for pair in combinations(WEIGHTS, 2):
                if not all(waiting[name] for name in pair):
                    gap_ranges.pop(pair, None)
                    continue
                gap = served[pair[0]] - served[pair[1]]
                low, high = gap_ranges.get(pair, (gap, gap))
                gap_ranges[pair] = (min(low, gap), max(high, gap))
                bound = sum(MAX_COST / WEIGHTS[name] for name in pair)
                worst_unfairness = max(
                    worst_unfairness,
                    (gap_ranges[pair][1] - gap_ranges[pair][0]) / bound,
                )
            item = pop()
            if item is None:
                break
            waiting[item.account] -= 1
            served[item.account] += item.cost / item.weight
    return worst_unfairness


@settings(derandomize=True, deadline=None, max_examples=80)
@given(ARRIVALS)
def test_unfairness_is_within_one_largest_item_of_each_account(arrivals):
    queue = FairQueue()
    worst_unfairness = measure_unfairness(
        lambda item: queue.push(item, 0.0), lambda: queue.pop(0.0), arrivals
    )
    assert worst_unfairness <= 1.0 + 1e-9


def test_fifo_queue_exceeds_the_unfairness_bound():
    arrivals = [("a", 50.0, 0)] * 20 + [("b", 50.0, 0)] * 20
    queue = deque()
    pop = lambda: queue.popleft() if queue else None
    assert measure_unfairness(queue.append, pop, arrivals) > 1.0


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.lists(st.floats(1.0, MAX_COST), min_size=1, max_size=20),
    st.floats(1.0, MAX_COST),
)
def test_lowest_class_receives_its_minimum_share(costs, wanted):
    queue = FairQueue(min_class_share=0.1)
    queue.push(QueueItem("low/0", "z", RequestClass.BACKGROUND, cost=wanted), 0.0)
    served = 0.0
    for number in range(2000):
        cost = costs[number % len(costs)]
        queue.push(
            QueueItem(f"e/{number}", "a", RequestClass.INTERACTIVE, cost=cost), 0.0
        )
        item = queue.pop(0.0)
        if item.account == "z":
            break
        served += item.cost
    assert served <= wanted / 0.1 + MAX_COST


class QueueMachine(RuleBasedStateMachine):
    """Each item leaves the queue once: it is popped, shed, expired or removed."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(max_items=8, max_items_per_account=5)
        self.now, self.number = 0.0, 0
        self.queued_items, self.popped = {}, []

    def record_left(self, item):
        assert self.queued_items.pop(item.request_id) == item

    @rule(
        account=st.sampled_from("abc"),
        request_class=st.sampled_from(RequestClass),
        cost=st.floats(0.0, MAX_COST),
        time_to_deadline=st.floats(0.0, 5.0),
    )
    def push(self, account, request_class, cost, time_to_deadline):
        self.number += 1
        item = QueueItem(
            f"e/{self.number}",
            account,
            request_class,
            weight=WEIGHTS[account],
            cost=cost,
            deadline=self.now + time_to_deadline,
        )
        result = self.queue.push(item, self.now)
        for expired in self.queue.pop_expired():
            self.record_left(expired)
        for shed in result.shed:
            assert shed.account != account
            self.record_left(shed)
        if result.accepted:
            self.queued_items[item.request_id] = item
        else:
            assert result.code is ErrorCode.QUEUE_FULL

    @rule()
    def pop(self):
        item = self.queue.pop(self.now)
        for expired in self.queue.pop_expired():
            assert expired.deadline <= self.now
            self.record_left(expired)
        if item is None:
            assert not self.queued_items
            return
        assert item.deadline > self.now
        self.record_left(item)
        self.popped.append(item)

    @precondition(lambda self: self.popped)
    @rule(factor=st.floats(0.0, 5.0))
    def charge(self, factor):
        item = self.popped.pop()
        self.queue.charge(item.request_id, item.cost * factor)

    @precondition(lambda self: self.queued_items)
    @rule(data=st.data())
    def remove(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.queued_items)))
        self.record_left(self.queue.remove(request_id))

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def size_and_cost_match_the_queued_items(self):
        assert len(self.queue) == len(self.queued_items) <= 8
        work = sum(item.cost for item in self.queued_items.values())
        assert self.queue.queued_cost == pytest.approx(work, abs=1e-6)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=40
)
