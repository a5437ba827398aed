"""Ranges, merged recoveries, retried batches and bounds."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.records import (
    RecoveredUsage,
    UsageBatch,
    UsageLine,
    UsageRecovery,
    UsageSeal,
)
from buckthornstile.usage import RangeSet, UsageCounter, UsageFold, UsageLedger

RANGES = st.tuples(st.integers(0, 30), st.integers(0, 6)).map(
    lambda pair: (pair[0], pair[0] + pair[1])
)


def make_line(requests=1, tokens=10):
    return UsageLine(
        account="mill-7",
        service="m",
        request_class="waited",
        requests=requests,
        generated_tokens=tokens,
    )


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(RANGES, max_size=12), RANGES)
def test_range_set_agrees_with_a_set(added, asked):
    ranges = RangeSet(added)
    numbers = {n for first, last in added for n in range(first, last + 1)}
    wanted = set(range(asked[0], asked[1] + 1))
    assert ranges.covers(*asked) == (wanted <= numbers)
    assert ranges.overlaps(*asked) == bool(wanted & numbers)
    held = [n for first, last in ranges.ranges for n in range(first, last + 1)]
    assert held == sorted(numbers)


def seal(fold, offset, window):
    lines = fold.make_figures(offset - 1)
    record = UsageSeal(
        window=window, duration=60, term=1, through=offset - 1, lines=lines
    )
    assert fold.apply(offset, record, term=1)
    return sum(line.requests for line in lines)


def test_merged_recovery_is_subtracted_when_the_entry_lives_after_all():
    fold = UsageFold(merge_after_seals=1)
    recovered = tuple(RecoveredUsage(counter=c, line=make_line()) for c in (1, 2))
    recovery = UsageRecovery(entry="x", requests=recovered, appended_by="a")
    fold.apply(0, recovery, term=1)
    sealed = seal(fold, 1, 0)
    fold.load_state(fold.make_state())
    assert fold.make_state().entries[0].merged_ranges == ((1, 2),)
    assert not fold.apply(2, recovery, term=1)
    part = UsageBatch(entry="x", ranges=((0, 1),), lines=(make_line(2, 20),))
    rest = UsageBatch(entry="x", ranges=((2, 3),), lines=(make_line(2, 20),))
    assert fold.apply(3, part, term=1)
    sealed += seal(fold, 4, 60)
    assert fold.apply(5, rest, term=1)
    assert not fold.apply(6, recovery, term=1)
    sealed += seal(fold, 7, 120)
    assert sealed == 4


def test_batch_that_overlaps_in_part_is_rejected():
    fold = UsageFold()
    first = UsageBatch(entry="x", ranges=((0, 5),), lines=(make_line(),))
    assert fold.apply(0, first, term=1)
    for ranges in [((5, 6),), ((8, 7),), ((9, 9), (9, 10)), ()]:
        assert not fold.apply(1, first.model_copy(update={"ranges": ranges}), term=1)


def test_batch_is_the_same_until_it_is_read_back():
    counter = UsageCounter("x", interval=5.0, retry=3.0)
    for number in range(3):
        counter.open(number)
    counter.finish(1, make_line())
    batch = counter.make_batch(0.0)
    counter.finish(0, make_line())
    assert counter.make_batch(1.0) is None
    assert counter.make_batch(3.0) == batch
    assert counter.confirm(batch) == -1
    later = counter.make_batch(20.0)
    assert later.ranges == ((0, 0),)
    assert counter.confirm(later) == 1
    assert not counter.is_settled


def test_full_ledger_refuses_before_the_request_runs():
    ledger = UsageLedger("a1", maximum_kept=1)
    ledger.open("x", 0)
    with pytest.raises(BuckthornstileError) as caught:
        ledger.open("x", 1)
    assert caught.value.code is ErrorCode.QUEUE_FULL
    ledger.confirm("x", 0)
    ledger.open("x", 1)
