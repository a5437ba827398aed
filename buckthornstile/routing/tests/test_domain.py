"""The choice of an upstream while a failure domain leaves and returns."""

from dataclasses import replace
from random import Random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.routing import RouteRequest, UpstreamView, choose_upstream
from buckthornstile.wire import Heartbeat

scenarios("domain.feature")
DOMAINS = ("bench-a", "bench-b", "grind-room", "ledger-room")


class Entry:
    """One entry's views, heartbeats and choices on a virtual clock."""

    def __init__(self, guarded):
        self.guarded, self.now, self.rng = guarded, 0.0, Random(7)
        self.views = [
            UpstreamView(f"u{i}", "shop-desk", DOMAINS[i % 4]) for i in range(8)
        ]
        self.silent, self.state = False, "serving"
        self.refused = 0

    def step(self):
        """Half a second: heartbeats, then 20 requests; gives the domains chosen."""
        self.now += 0.5
        for view in self.views:
            taken_out = view.failure_domain == "bench-a"
            if not (taken_out and self.silent):
                heartbeat = Heartbeat(0, 0.0, 0, limit=4, tokens_per_second=100)
                state = self.state if taken_out else "serving"
                view.on_heartbeat(replace(heartbeat, state=state), self.now)
        return {self.choose() for _ in range(20)}

    def choose(self):
        if not self.guarded:
            return self.rng.choice(self.views).failure_domain
        choice = choose_upstream(
            self.views, RouteRequest("shop-desk"), now=self.now, rng=self.rng
        )
        if choice.upstream is None:
            self.refused += 1
            return None
        return next(
            view.failure_domain
            for view in self.views
            if view.upstream == choice.upstream
        )

    def run(self, seconds):
        seen = set()
        for _ in range(int(seconds * 2)):
            seen |= self.step()
        return seen


@pytest.fixture
def world():
    return {}


@given(
    parsers.parse("an entry with 8 upstreams in 4 failure domains and a {kind} choice")
)
def make_entry(world, kind):
    world["entry"] = Entry(kind == "guarded")
    assert world["entry"].run(5.0) == set(DOMAINS)


@when(parsers.parse("failure domain bench-a leaves by {way}"))
def leave(world, way):
    entry = world["entry"]
    entry.silent = way == "lost heartbeats"
    entry.state = "draining" if way == "draining agents" else "serving"
    for view in entry.views[::4]:
        view.drained = way == "a drain record"
        view.leaving = way == "a leaving notice"


@when(parsers.parse("it returns after {seconds:d} seconds"))
def come_back(world, seconds):
    world["entry"].run(seconds)
    world["entry"].silent = False


@then(parsers.parse("from {seconds:d} seconds on it gets new work: {expected}"))
def check_work(world, seconds, expected):
    world["entry"].run(seconds - 0.5)
    seen = world["entry"].run(20.0)
    assert ("bench-a" in seen) == (expected == "yes")


@then("no request is refused while other domains serve")
def check_refused(world):
    assert world["entry"].refused == 0


@then(parsers.parse("within {seconds:d} seconds it gets new work"))
def check_back(world, seconds):
    assert "bench-a" in world["entry"].run(seconds)
