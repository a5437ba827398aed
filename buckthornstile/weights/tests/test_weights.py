"""Swaps stay within their bound and end; chunks reach every agent."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.base import BuckthornstileError
from buckthornstile.ports import WeightManifest
from buckthornstile.weights import (
    SwapPlanner,
    SwapPolicy,
    UpstreamWeights,
    WeightCache,
    WeightNode,
    estimate_distribution_seconds,
    hash_chunk,
    plan_distribution,
)

UPSTREAMS = st.integers(0, 15)


class SwapMachine(RuleBasedStateMachine):
    """Engines that load, fail, crash and come back while targets move."""

    policy = SwapPolicy(maximum_share=0.25, order_timeout=20.0)

    @initialize()
    def start(self):
        self.now = 0.0
        self.target = 2
        self.planner = SwapPlanner(2, policy=self.policy)
        self.loading = {}
        self.crashed = set()
        self.order_ids = []
        self.states = [
            UpstreamWeights(f"u{n:02}", f"s{n % 2}", f"d{n // 6}", 1) for n in range(16)
        ]

    def order(self):
        for order in self.planner.decide(self.states, self.now):
            self.order_ids.append(order.order_id)
            number = int(order.upstream[1:])
            if number in self.crashed:
                continue
            self.loading[number] = order.version
            self.states[number] = replace(self.states[number], serving=False)

    @rule(seconds=st.floats(0.1, 30.0))
    def wait(self, seconds):
        self.now += seconds
        self.order()

    @rule(number=UPSTREAMS, succeeds=st.booleans(), heard=st.booleans())
    def finish_loading(self, number, succeeds, heard):
        if number not in self.loading:
            return
        version = self.loading.pop(number)
        state = self.states[number]
        version = version if succeeds else state.version
        self.states[number] = replace(state, version=version, serving=True)
        if not succeeds and heard:
            self.planner.on_failure(state.upstream, self.now)

    @rule(number=UPSTREAMS)
    def crash(self, number):
        if len(self.crashed) < 2:
            self.crashed.add(number)
            self.loading.pop(number, None)
            self.states[number] = replace(self.states[number], serving=False)

    @rule()
    def come_back_with_old_weights(self):
        if self.crashed:
            number = self.crashed.pop()
            self.states[number] = replace(self.states[number], version=1, serving=True)

    @rule()
    def publish(self):
        self.target += 1
        self.planner.set_target(self.target)

    @invariant()
    def orders_take_no_more_than_the_bound_out(self):
        if not hasattr(self, "states"):
            return
        sizes = Counter((s.service, s.failure_domain) for s in self.states)
        sizes.update(s.service for s in self.states)
        out = Counter()
        for number in self.loading:
            state = self.states[number]
            out.update([state.service, (state.service, state.failure_domain)])
        for group, count in out.items():
            assert count <= max(1, int(0.25 * sizes[group])), group

    @invariant()
    def no_order_id_is_used_twice(self):
        ids = getattr(self, "order_ids", [])
        assert len(ids) == len(set(ids))

    def teardown(self):
        if not hasattr(self, "states"):
            return
        while self.crashed:
            self.come_back_with_old_weights()
        for _ in range(200):
            if self.planner.is_done(self.states) and not self.loading:
                break
            self.wait(5.0)
            for number in list(self.loading):
                self.finish_loading(number, True, True)
        assert {state.version for state in self.states} == {self.target}


def run_machine(machine):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=60,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_swaps_stay_within_the_bound_and_end():
    run_machine(SwapMachine)


def test_swaps_without_a_bound_take_too_much_out():
    class Unbounded(SwapMachine):
        policy = SwapPolicy(maximum_share=1.0)

    with pytest.raises(AssertionError):
        run_machine(Unbounded)


@pytest.mark.parametrize("fan_out", [1, 2, 4])
def test_every_agent_gets_every_chunk_from_one_fetch_per_domain(fan_out):
    nodes = [WeightNode(f"a{n}", f"d{n % 5}") for n in range(600)]
    plan = plan_distribution(nodes, version=9, fan_out=fan_out)
    assert plan == plan_distribution(reversed(nodes), version=9, fan_out=fan_out)
    domains = {node.process: node.failure_domain for node in nodes}
    children = Counter(plan.parents.values())
    assert children.pop(None) == 5
    assert max(children.values()) <= fan_out
    for process, parent in plan.parents.items():
        assert parent is None or domains[parent] == domains[process]
        assert len(plan.list_sources(process)) < plan.depth
    other = plan_distribution(nodes, version=10, fan_out=fan_out)
    assert other.parents != plan.parents


def test_estimate_names_what_limits():
    options = {
        "agents": 600,
        "failure_domains": 5,
        "weight_bytes": 14e9,
        "chunk_bytes": 16e6,
        "link_bytes_per_second": 1.25e9,
    }
    fast = estimate_distribution_seconds(store_bytes_per_second=5e9, **options)
    slow = estimate_distribution_seconds(store_bytes_per_second=1e9, **options)
    assert (fast.limited_by, slow.limited_by) == ("link", "store")
    assert fast.seconds <= 27 < slow.seconds


def test_a_wrong_chunk_is_refused_and_a_partial_version_is_passed_on():
    cache = WeightCache()
    chunks = [b"abcd", b"efgh", b"ij"]
    with pytest.raises(BuckthornstileError):
        cache.begin(WeightManifest(1, 3, 4, ("00",)))
    cache.begin(WeightManifest(1, 3, 4, tuple(map(hash_chunk, chunks))))
    for index, data in [(0, b"abcx"), (1, b"efg"), (2, b"ijklm"), (3, b"")]:
        with pytest.raises(BuckthornstileError):
            cache.add_chunk(1, index, data)
    cache.add_chunk(1, 1, chunks[1])
    assert cache.get_chunk(1, 1) == b"efgh"
    assert cache.list_missing(1) == (0, 2)
    assert not cache.is_complete(1)
