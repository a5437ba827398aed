"""One process is in charge, and an order is not doubled, whatever the fault."""

import pytest
from pytest_bdd import parsers, scenarios, then, when

from buckthornstile.control import Append
from buckthornstile.control.tests import naive, scripts
from buckthornstile.control.tests.simulation import Fate
from buckthornstile.orders import SendUpstreamOrder
from buckthornstile.records import OrderIntent, OrderOutcome

scenarios("one_in_charge.feature")

FAULTS = {
    "the holder is paused right before an order": scripts.pause_before_order,
    "the holder is paused right before a report": scripts.pause_before_report,
    "the holder reads its own renewal back very late": scripts.delay_reading,
    "the holder's renewals no longer reach the log": scripts.lose_renewals,
    "a claim lands after a renewal that it had not seen": scripts.race_claims,
}
EFFECTS = {
    "carried out without an answer": Fate.ANSWER_LOST,
    "carried out late": Fate.LATE,
    "lost": Fate.LOST,
}
MOMENTS = {
    "before its intent": (Append, OrderIntent, False),
    "after its intent": (Append, OrderIntent, True),
    "before it sends the order": (SendUpstreamOrder, None, False),
    "after it has sent the order": (SendUpstreamOrder, None, True),
    "before its outcome": (Append, OrderOutcome, False),
}


@when(parsers.re(f"(?P<fault>{'|'.join(FAULTS)})"), target_fixture="world")
def run_fault(fault):
    return FAULTS[fault]()


@when("a claim takes effect an hour late", target_fixture="world")
def run_late_claim():
    return scripts.land_claim_late()


@when(
    parsers.re(f"an order is (?P<effect>{'|'.join(EFFECTS)}) and (?P<fault>.*)"),
    target_fixture="world",
)
def run_lost_answer(effect, fault):
    return scripts.lose_answer(EFFECTS[effect], fault)


@when(
    parsers.re(f"the holder dies (?P<moment>{'|'.join(MOMENTS)})$"),
    target_fixture="world",
)
def run_death(moment):
    kind, record_kind, after = MOMENTS[moment]
    return scripts.kill_at(kind, record_kind, after)


@then("the platform saw one process in charge at a time")
def check_one_in_charge(world):
    assert world.platform.writes
    world.platform.check_one_in_charge()


@then("no order was carried out twice")
def check_orders(world):
    world.platform.check()


@then("its claimer does not act on it")
def check_late_claim(world):
    assert not world.acted_at_once


@then("the wished upstream was started once")
def check_started_once(world):
    assert len(world.platform.orders) == 1


@then("nothing was ordered while the outcome was unknown")
def check_blind(world):
    assert world.blind_orders <= 1


@pytest.mark.parametrize(
    ("script", "parts"),
    [
        (scripts.pause_before_order, {"rechecks": False}),
        (scripts.pause_before_report, {"rechecks": False}),
        (scripts.delay_reading, {"keeper": naive.ReadBackKeeper}),
        (scripts.lose_renewals, {"keeper": naive.UnreadKeeper}),
        (scripts.race_claims, {"lease_fold": naive.TermOnlyFold}),
        (scripts.race_claims, {"lease_fold": naive.LastClaimFold}),
    ],
)
def test_naive_lease_lets_two_act(script, parts):
    world = script(**parts)
    with pytest.raises(AssertionError, match="acted in term"):
        world.platform.check_one_in_charge()


def test_naive_keeper_acts_on_a_late_claim():
    world = scripts.land_claim_late(keeper=naive.ReadBackKeeper)
    assert world.acted_at_once


@pytest.mark.parametrize(
    ("planner", "fate", "fault"),
    [
        (naive.UnreadPlanner, Fate.ANSWER_LOST, "the holder dies"),
        (naive.ResendingPlanner, Fate.ANSWER_LOST, "the holder dies"),
        (naive.ResendingPlanner, Fate.ANSWER_LOST, "the holder lives on"),
        (naive.UnsettledPlanner, Fate.LATE, "the holder lives on"),
    ],
)
def test_naive_orders_are_doubled(planner, fate, fault):
    world = scripts.lose_answer(fate, fault, planner=planner)
    assert len(world.platform.orders) > 1
