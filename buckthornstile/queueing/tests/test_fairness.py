"""Steps of ``fairness.feature``, which simulate one upstream on a virtual clock."""

from collections import defaultdict, deque
from math import inf

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import RequestClass
from buckthornstile.queueing import FairQueue, PushResult, QueueItem

scenarios("fairness.feature")
TOKENS_PER_SECOND = 100.0


class FIFOQueue:
    """A first-in, first-out queue that refuses items when it is full."""

    def __init__(self):
        self.items = deque()

    def push(self, item, now):
        if len(self.items) >= 200:
            return PushResult(False)
        self.items.append(item)
        return PushResult(True)

    def pop(self, now):
        return self.items.popleft() if self.items else None


@pytest.fixture
def scenario():
    return {"sources": []}


@given(
    parsers.re(
        r"an upstream with a queue of type "
        r"(?P<queue>fair|FIFO|no minimum share|unlimited burst)"
    )
)
def make_queue(scenario, queue):
    limits = {"max_items": 200, "max_items_per_account": 100}
    limits["burst_tokens"] = 4.0 * TOKENS_PER_SECOND
    scenario["queue"] = {
        "fair": lambda: FairQueue(**limits),
        "FIFO": FIFOQueue,
        "no minimum share": lambda: FairQueue(**limits, min_class_share=0.0),
        "unlimited burst": lambda: FairQueue(**{**limits, "burst_tokens": inf}),
    }[queue]()


@given(
    parsers.parse("{count:d} client accounts, one of which sends 10 times its share")
)
def add_flood(scenario, count):
    share = TOKENS_PER_SECOND / count
    for number in range(count):
        rate = share * (10.0 if number == 0 else 0.95)
        scenario["sources"].append((f"a{number}", RequestClass.INTERACTIVE, rate))


@given(
    "trainer requests and background requests that each exceed the upstream's capacity"
)
def add_classes(scenario):
    scenario["sources"] = [
        ("corrections", RequestClass.TRAINER, 1.5 * TOKENS_PER_SECOND),
        ("stock", RequestClass.BACKGROUND, 1.5 * TOKENS_PER_SECOND),
    ]


@given(
    "trainer requests at half the upstream's capacity, "
    "and a flood of interactive requests"
)
def add_interactive_flood(scenario):
    scenario["sources"] = [
        ("corrections", RequestClass.TRAINER, 0.5 * TOKENS_PER_SECOND),
        ("large", RequestClass.INTERACTIVE, 5.0 * TOKENS_PER_SECOND),
    ]


@when(parsers.parse("the upstream serves requests for {seconds:d} seconds"))
def run(scenario, seconds):
    served, wanted = defaultdict(float), defaultdict(float)
    owed, busy_until, number = defaultdict(float), 0.0, 0
    for tick in range(seconds * 100):
        now = tick / 100.0
        for account, request_class, rate in scenario["sources"]:
            owed[account] += rate / 100.0
            while owed[account] >= 10.0:
                owed[account] -= 10.0
                wanted[account] += 10.0
                number += 1
                item = QueueItem(f"e/{number}", account, request_class, cost=10.0)
                scenario["queue"].push(item, now)
        while busy_until <= now and (item := scenario["queue"].pop(now)):
            busy_until = max(busy_until, now) + item.cost / TOKENS_PER_SECOND
            served[item.account] += item.cost
    scenario["served"], scenario["wanted"], scenario["seconds"] = (
        served,
        wanted,
        seconds,
    )


@then(
    parsers.parse("every account gets at least {share:g} of its fair share: {expected}")
)
def check_share(scenario, share, expected):
    fair = TOKENS_PER_SECOND * scenario["seconds"] / len(scenario["wanted"])
    worst = min(
        scenario["served"][account] / min(fair, wanted)
        for account, wanted in scenario["wanted"].items()
    )
    assert (worst >= share) == (expected == "yes"), worst


@then(parsers.parse("the {name} get at least {share:g} of the work: {expected}"))
def check_class_share(scenario, name, share, expected):
    account = {"trainer requests": "corrections", "background requests": "stock"}[name]
    served_share = scenario["served"][account] / sum(scenario["served"].values())
    assert (served_share >= share) == (expected == "yes"), served_share


@when("samples of lots with 9, 1 and 4 seconds of slack arrive")
def push_lots(scenario):
    for slack in (9.0, 1.0, 4.0):
        item = QueueItem(f"e/{slack}", "a", RequestClass.TRAINER, slack=slack)
        scenario["queue"].push(item, 0.0)


@then("they are served in the order 1, 4, 9")
def check_order(scenario):
    assert [scenario["queue"].pop(0.0).slack for _ in range(3)] == [1.0, 4.0, 9.0]
