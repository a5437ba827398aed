"""The concurrency limit against a small upstream that turns cold."""

import pytest
from hypothesis import example, settings
from hypothesis import given as given_values
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.limits import ConcurrencyLimit, RampRestart

scenarios("ramp.feature")
TICK = 0.05
WARM_SECONDS, COLD_SECONDS, REQUEST_SECONDS = 0.05, 0.6, 1.0
DETECTION_FIRST_TOKENS = 3


class FixedLimit(ConcurrencyLimit):
    """The naive limit: the maximum from the first request on."""

    limit = property(lambda self: self.maximum)


class World:
    """Full demand on one upstream, through a limit."""

    def __init__(self, limit):
        self.limit = limit
        self.now, self.cold_at = 0.0, 0.0
        self.running, self.overloads, self.slow_seen = [], 0, 0

    def get_bearable(self):
        return 2 * 2 ** ((self.now - self.cold_at) / 4.0)

    def step(self, watch):
        self.now += TICK
        for begun, first, seen in list(self.running):
            if not seen and self.now >= begun + first:
                self.running.remove((begun, first, seen))
                self.running.append((begun, first, True))
                self.slow_seen += first == COLD_SECONDS
                self.limit.on_first_token(first, self.now)
            elif self.now >= begun + first + REQUEST_SECONDS:
                self.running.remove((begun, first, seen))
                self.limit.on_finish(True, self.now)
        while self.limit.may_start(len(self.running)):
            cold = len(self.running) + 1 > self.get_bearable()
            self.running.append((self.now, COLD_SECONDS if cold else WARM_SECONDS, 0))
            self.limit.on_start()
            self.overloads += cold and watch

    def run(self, seconds, watch=True):
        for _ in range(int(seconds / TICK)):
            self.step(watch)


@pytest.fixture
def world():
    return {}


@given(parsers.parse("an upstream under full demand behind a {kind} limit"))
def make_world(world, kind):
    make = {"ramped": ConcurrencyLimit, "fixed": FixedLimit}[kind]
    world["it"] = World(make(0.0, initial=2, maximum=64, doubling_seconds=4.0))


@when(parsers.parse("it turns cold by {cause}"))
def turn_cold(world, cause):
    it = world["it"]
    if cause == "a start":
        return
    it.run(60.0, watch=False)
    it.cold_at, it.slow_seen = it.now, 0
    reason = {
        "a new incarnation": RampRestart.ENGINE_INCARNATION,
        "a lost cache": RampRestart.CACHE_LOST,
    }.get(cause)
    if reason is not None:
        it.running.clear()
        it.limit.running = 0
        it.limit.restart(reason, it.now)
        return
    # Nobody says that it is cold: what it gets until its first slow answers
    # can't be held back; the count begins after them.
    while it.slow_seen < DETECTION_FIRST_TOKENS:
        it.step(watch=False)


@then(parsers.parse("it gets more requests at once than it bears: {expected}"))
def check_overload(world, expected):
    world["it"].run(20.0)
    assert (world["it"].overloads > 0) == (expected == "yes")


@then(
    parsers.parse("{seconds:d} seconds later at least {count:d} requests run at once")
)
def check_recovery(world, seconds, count):
    world["it"].run(seconds, watch=False)
    assert len(world["it"].running) >= count


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["start", "first", "ok", "failed", "restart"]),
        st.floats(0.0, 3.0),
        st.floats(0.001, 10.0),
    ),
    max_size=200,
)


def run_events(limit, events):
    """Gives the greatest excess of the limit over the documented ramp."""
    now, started, worst = 0.0, 0.0, float("-inf")
    for kind, wait, latency in events:
        now += wait
        if kind == "start":
            limit.on_start()
        elif kind == "first":
            if limit.on_first_token(latency, now) is not None:
                started = now
        elif kind == "restart":
            limit.restart(RampRestart.CACHE_LOST, now)
            started = now
        else:
            limit.on_finish(kind == "ok", now)
        ramp = min(16.0, 2 * 2 ** ((now - started) / 1.5))
        worst = max(worst, limit.limit - ramp)
        assert limit.limit >= 1
    return worst


@settings(derandomize=True, deadline=None, max_examples=100)
@example([("start", 0.0, 1.0), ("first", 0.0, 1.0)] * 40)
@given_values(EVENTS)
def test_limit_is_never_above_the_ramp(events):
    limit = ConcurrencyLimit(0.0, initial=2, maximum=16, doubling_seconds=1.5)
    assert run_events(limit, events) <= 1e-9


def test_a_limit_without_ramp_breaks_the_bound():
    events = [("start", 0.0, 1.0), ("first", 0.0, 1.0)] * 20
    limit = ConcurrencyLimit(0.0, initial=2, maximum=16, doubling_seconds=1e-9)
    assert run_events(limit, [("start", 0.1, 1.0), *events]) > 0


def test_uncached_prompts_do_not_pass_for_a_cold_upstream():
    limit = ConcurrencyLimit(0.0, initial=4, maximum=32)
    for number in range(2000):
        limit.on_start()
        # Sixty times slower without the cache, as at the first of each group.
        uncached = number % 40 < 6
        limit.on_first_token(0.6 if uncached else 0.01, number * 0.1)
        if number >= 20:
            limit.on_finish(True, number * 0.1)
    assert limit.limit == 32
    assert not limit.restarts
