"""The planner of upstreams: loss of a domain, peaks, hysteresis."""

from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.scaling import (
    DemandForecast,
    DomainSupply,
    ScaleAction,
    ScaleMemory,
    ScalePolicy,
    ServiceLoad,
    plan_scale,
)

POLICY = ScalePolicy(start_seconds=30.0, ramp_seconds=10.0, stop_after=20.0)


def apply(counts, plan):
    for wish in plan.wishes:
        sign = 1 if wish.action is ScaleAction.START else -1
        counts[wish.failure_domain] += sign * wish.count


def make_load(counts, demand, growth=0.0, gone=()):
    domains = tuple(
        DomainSupply(name, running=count, available=name not in gone)
        for name, count in counts.items()
    )
    return ServiceLoad("s", demand, 10.0, growth=growth, domains=domains)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.integers(2, 4),
    st.lists(st.floats(0.0, 200.0), min_size=1, max_size=30),
)
def test_the_loss_of_any_domain_leaves_enough(domains, demands):
    counts, memory, now = dict.fromkeys("abcd"[:domains], 0), ScaleMemory(), 0.0
    for demand in demands:
        load = make_load(counts, demand)
        plan = plan_scale([load], now=now, policy=POLICY, memory=memory)
        memory, now = plan.memory, now + 25.0
        apply(counts, plan)
        assert (sum(counts.values()) - max(counts.values())) * 10.0 >= demand - 1e-6
        assert max(counts.values()) - min(counts.values()) <= 2


def test_a_growing_demand_is_met_before_it_comes():
    counts = {"a": 2, "b": 2}
    plan = plan_scale([make_load(counts, 20.0, growth=1.0)], now=0.0, policy=POLICY)
    apply(counts, plan)
    assert sum(counts.values()) * 10.0 >= 20.0 + 40.0
    counts = {"a": 2, "b": 2}
    blind = ScalePolicy(start_seconds=0.0, ramp_seconds=0.0)
    assert not plan_scale([make_load(counts, 20.0, 1.0)], now=0.0, policy=blind).wishes


def test_lumps_of_work_do_not_pass_for_growth():
    lumps, rising = DemandForecast(), DemandForecast()
    for number in range(12):
        lumps.add(12_000 if number % 3 == 0 else 500 if number < 6 else 700)
        rising.add(1000 + 200 * number)
    assert lumps.growth == 0.0
    assert 40.0 <= rising.growth <= 50.0


def count_changes(policy):
    counts, memory, changes = {"a": 4, "b": 4}, ScaleMemory(), 0
    for step in range(120):
        demand = 40.0 if step % 2 else 29.0
        load = make_load(counts, demand)
        plan = plan_scale([load], now=step * 5.0, policy=policy, memory=memory)
        memory, changes = plan.memory, changes + len(plan.wishes)
        apply(counts, plan)
    return changes


def test_a_demand_that_swings_starts_and_stops_nothing():
    assert count_changes(POLICY) == 0
    hasty = ScalePolicy(stop_utilisation=0.85, stop_after=0.0)
    assert count_changes(hasty) > 50


def test_a_domain_that_is_gone_gets_no_wish():
    load = make_load({"a": 3, "b": 3}, 55.0, gone=("a",))
    wishes = plan_scale([load], now=0.0, policy=POLICY).wishes
    assert wishes
    assert {wish.failure_domain for wish in wishes} == {"b"}


def test_a_surplus_is_stopped_one_by_one_in_the_fullest_domain():
    counts, memory, stopped = {"a": 5, "b": 3}, ScaleMemory(), []
    for now in range(0, 200, 5):
        load = make_load(counts, 15.0)
        plan = plan_scale([load], now=float(now), policy=POLICY, memory=memory)
        memory = plan.memory
        apply(counts, plan)
        stopped.extend(wish.failure_domain for wish in plan.wishes)
        assert len(plan.wishes) <= 1
    assert counts == {"a": 2, "b": 2}
    assert stopped[:2] == ["a", "a"]
