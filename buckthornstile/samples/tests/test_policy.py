"""What a lot dispatches first, when it hedges, and when it holds back."""

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.samples import (
    CancelSlot,
    DeliverSample,
    DispatchSlot,
    FailLot,
    GroupSpecification,
    Lot,
    LotPolicy,
    LotSpecification,
    parse_specification,
)
from buckthornstile.wire import Slot, TokenRange

LABELS = (TokenRange(0, 9, 5),)


def make_lot(*sizes, samples=4, **options):
    groups = [
        GroupSpecification(prompt=f"p{size}", samples=samples, max_tokens=size)
        for size in sizes
    ]
    specification = LotSpecification(
        lot="l", trainer="t", groups=groups, version=5, timeout=100.0
    )
    lot = Lot(specification, now=0.0, policy=LotPolicy(**options))
    lot.on_attach(1, (), 5, 0.0)
    return lot


def dispatch(lot, now, *, capacity=0, idle_capacity=0):
    actions = lot.decide(now, capacity=capacity, idle_capacity=idle_capacity)
    sent = [action for action in actions if isinstance(action, DispatchSlot)]
    for action in sent:
        request_id = f"e/{action.slot.group}.{action.slot.index}.{action.attempt}"
        lot.on_dispatched(action.slot, request_id, now)
    return sent


def test_longest_expected_goes_first_and_a_failed_slot_before_it():
    lot = make_lot(10, 90, 40)
    first = dispatch(lot, 0.0, capacity=5)
    assert [action.slot.group for action in first] == [1, 1, 1, 1, 2]
    lot.on_failure("e/2.0.1", Verdict.MAY_HAVE_RUN, None, 1.0)
    assert [action.slot for action in dispatch(lot, 1.01, capacity=1)] == [Slot(2, 1)]
    assert lot.get_next_time(1.01) == pytest.approx(1.05)
    again = dispatch(lot, 1.06, capacity=1)[0]
    assert (again.slot, again.attempt, again.hedge) == (Slot(2, 0), 2, False)


def test_slack_is_the_deadline_less_the_longest_slot():
    lot = make_lot(1000, 50, tokens_per_second=50.0)
    assert lot.get_slack(0.0) == pytest.approx(80.0)
    dispatch(lot, 10.0, capacity=8)
    assert lot.get_slack(15.0) == pytest.approx(70.0)


def test_only_the_last_slots_are_hedged_and_only_on_idle_capacity():
    lot = make_lot(50, samples=12, maximum_hedges=2, hedge_share=0.1)
    dispatch(lot, 0.0, capacity=12)
    for index in range(9):
        lot.on_result(f"e/0.{index}.1", b"{}", LABELS, 10, 1.0 + index / 10)
    assert not dispatch(lot, 50.0, idle_capacity=5)
    lot.on_result("e/0.9.1", b"{}", LABELS, 10, 2.0)
    assert not dispatch(lot, 1.5, idle_capacity=5)
    assert not dispatch(lot, 50.0, capacity=5)
    hedges = dispatch(lot, 50.0, idle_capacity=1)
    assert [(h.slot, h.hedge, h.running) for h in hedges] == [
        (Slot(0, 10), True, ("e/0.10.1",))
    ]
    lot.on_result("e/0.10.2", b"{}", LABELS, 10, 51.0)
    actions = lot.decide(51.0, capacity=0)
    cancelled = [a.request_id for a in actions if isinstance(a, CancelSlot)]
    assert cancelled == ["e/0.10.1"]


def test_a_slow_trainer_holds_back_deliveries_and_then_dispatches():
    lot = make_lot(
        50, samples=6, maximum_unacknowledged_bytes=10, maximum_held_bytes=25
    )
    dispatch(lot, 0.0, capacity=3)
    for index in range(3):
        lot.on_result(f"e/0.{index}.1", bytes(10), LABELS, 10, 1.0)
    actions = lot.decide(1.0, capacity=9)
    delivered = [a.sample.slot for a in actions if isinstance(a, DeliverSample)]
    assert delivered == [Slot(0, 0)]
    assert not dispatch(lot, 1.0, capacity=9)
    lot.on_acknowledge([Slot(0, 0)])
    assert len(dispatch(lot, 1.0, capacity=9)) == 3


@pytest.mark.parametrize(
    ("code", "verdict", "failures", "fails"),
    [
        (ErrorCode.KEY_WITHDRAWN, Verdict.NOT_RUN, 1, True),
        (ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, 3, True),
        (ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, 2, False),
        (ErrorCode.NO_UPSTREAM, Verdict.NOT_RUN, 20, False),
    ],
)
def test_a_lot_fails_only_where_a_retry_is_in_vain(code, verdict, failures, fails):
    lot = make_lot(50, samples=1, maximum_runs=3)
    for number in range(failures):
        now = 3.0 * number
        dispatch(lot, now, capacity=1)
        lot.on_failure(f"e/0.0.{number + 1}", verdict, code, now)
    actions = lot.decide(90.0, capacity=0)
    assert [a.code for a in actions if isinstance(a, FailLot)] == [code] * fails


@pytest.mark.parametrize(
    "wrong",
    [
        {"lot": "a/b"},
        {"groups": []},
        {"groups": [{"prompt": "p", "samples": 0}]},
        {"groups": [{"prompt": "p", "samples": 10_000}] * 2},
        {"timeout": float("inf")},
        {"version": -1},
        {"path": "v1"},
        {"unknown": 1},
    ],
)
def test_a_wrong_specification_is_a_coded_error(wrong):
    right = {"lot": "l", "trainer": "t", "version": 1}
    right["groups"] = [{"prompt": "p", "samples": 1}]
    assert parse_specification(right).slot_count == 1
    with pytest.raises(BuckthornstileError) as caught:
        parse_specification(right | wrong)
    assert caught.value.code is ErrorCode.LOT_INVALID
