"""The worst-served account, on a virtual clock, with the fair queue and without."""

from collections import defaultdict, deque
from math import inf

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import RequestClass
from buckthornstile.queueing import FairQueue, PushResult, QueueItem

scenarios("fairness.feature")
SPEED = 100.0


class Fifo:
    """The naive queue: first come, first served, until it is full."""

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
def world():
    return {"sources": []}


@given(
    parsers.re(
        r"an? (?P<queue>fair|FIFO|no floor|class-ordered) queue before one upstream"
    )
)
def make_queue(world, queue):
    limits = {"maximum_items": 200, "maximum_items_per_account": 100}
    limits["burst"] = 4.0 * SPEED
    world["queue"] = {
        "fair": lambda: FairQueue(**limits),
        "FIFO": Fifo,
        "no floor": lambda: FairQueue(**limits, floor=0.0),
        "class-ordered": lambda: FairQueue(**{**limits, "burst": inf}),
    }[queue]()


@given(
    parsers.parse(
        "{count:d} client accounts, of which one floods at 10 times its share"
    )
)
def add_flood(world, count):
    share = SPEED / count
    for number in range(count):
        rate = share * (10.0 if number == 0 else 0.95)
        world["sources"].append((f"a{number}", RequestClass.INTERACTIVE, rate))


@given("trainer corrections that fill the upstream, and stock checks")
def add_classes(world):
    world["sources"] = [
        ("corrections", RequestClass.TRAINER, 1.5 * SPEED),
        ("stock", RequestClass.BACKGROUND, 1.5 * SPEED),
    ]


@given("trainer corrections of half the upstream, and a flood of waited-on calls")
def add_waited_flood(world):
    world["sources"] = [
        ("corrections", RequestClass.TRAINER, 0.5 * SPEED),
        ("large", RequestClass.INTERACTIVE, 5.0 * SPEED),
    ]


@when(parsers.parse("the upstream works for {seconds:d} seconds"))
def run(world, seconds):
    served, wanted = defaultdict(float), defaultdict(float)
    owed, busy_until, number = defaultdict(float), 0.0, 0
    for tick in range(seconds * 100):
        now = tick / 100.0
        for account, request_class, rate in world["sources"]:
            owed[account] += rate / 100.0
            while owed[account] >= 10.0:
                owed[account] -= 10.0
                wanted[account] += 10.0
                number += 1
                item = QueueItem(f"e/{number}", account, request_class, cost=10.0)
                world["queue"].push(item, now)
        while busy_until <= now and (item := world["queue"].pop(now)):
            busy_until = max(busy_until, now) + item.cost / SPEED
            served[item.account] += item.cost
    world["served"], world["wanted"], world["seconds"] = served, wanted, seconds


@then(
    parsers.parse(
        "the worst-served account gets at least {share:g} of its fair share: {expected}"
    )
)
def check_share(world, share, expected):
    fair = SPEED * world["seconds"] / len(world["wanted"])
    worst = min(
        world["served"][account] / min(fair, wanted)
        for account, wanted in world["wanted"].items()
    )
    assert (worst >= share) == (expected == "yes"), worst


@then(parsers.parse("the {name} get at least {share:g} of the work: {expected}"))
def check_class_share(world, name, share, expected):
    account = {"corrections": "corrections", "stock checks": "stock"}[name]
    got = world["served"][account] / sum(world["served"].values())
    assert (got >= share) == (expected == "yes"), got


@when("samples of lots with 9, 1 and 4 seconds of slack arrive")
def push_lots(world):
    for slack in (9.0, 1.0, 4.0):
        item = QueueItem(f"e/{slack}", "a", RequestClass.TRAINER, slack=slack)
        world["queue"].push(item, 0.0)


@then("they are served in the order 1, 4, 9")
def check_order(world):
    assert [world["queue"].pop(0.0).slack for _ in range(3)] == [1.0, 4.0, 9.0]
