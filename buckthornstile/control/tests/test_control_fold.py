"""A successor starts from a snapshot and the records after it."""

import pytest

from buckthornstile.control import ControlFold
from buckthornstile.control.tests.scripts import make_batch
from buckthornstile.control.tests.simulation import START, World
from buckthornstile.records import ControlSnapshot, decode_record, encode_record
from buckthornstile.usage import plan_seal


def make_busy_log():
    world = World()
    world.target = 2
    world.log.append(make_batch(requests=4, tokens=40), 0.0)
    world.advance(200.0)
    world.log.append(make_batch(entry="y", tokens=7), world.now)
    world.advance(3.0)
    return world.log


def fold_from(log, first):
    fold = ControlFold()
    for offset, record in log.read(first, limit=len(log.records)):
        fold.apply(offset, record, read_at=0.0)
    return fold


def test_start_from_any_snapshot_gives_the_same_state():
    log = make_busy_log()
    whole = fold_from(log, 0)
    throughs = [
        record.through
        for _, record in log.read(0, limit=len(log.records))
        if isinstance(record, ControlSnapshot)
    ]
    assert len(throughs) >= 3
    for through in throughs:
        late = fold_from(log, through + 1)
        assert late.is_ready
        assert late.make_snapshot() == whole.make_snapshot()


def test_fold_without_a_usable_snapshot_is_not_ready():
    log = make_busy_log()
    fold = ControlFold()
    entries = log.read(0, limit=len(log.records))
    index = next(
        i
        for i, (_, record) in enumerate(entries)
        if isinstance(record, ControlSnapshot)
    )
    # The records between the snapshot's ``through`` and itself are gone.
    snapshot = entries[index][1].model_copy(update={"through": entries[index][0] - 2})
    fold.apply(entries[index][0], snapshot, read_at=0.0)
    assert not fold.is_ready


@pytest.mark.parametrize("state", [{"lease": 3}, {"usage": {"entries": "x"}}])
def test_broken_snapshot_is_passed_over(state):
    fold = ControlFold()
    fold.apply(5, ControlSnapshot(term=1, through=4, state=state), read_at=0.0)
    assert not fold.is_ready
    assert fold.broken_snapshots == 1


def test_snapshot_survives_the_log():
    snapshot = fold_from(make_busy_log(), 0).make_snapshot()
    assert decode_record(encode_record(snapshot)) == snapshot


def test_gap_in_the_log_makes_a_fold_wait_for_a_snapshot():
    log = make_busy_log()
    fold = fold_from(log, 0)
    fold.skip_to(fold.offset + 10)
    assert not fold.is_ready


def test_seal_figures_must_be_the_folds_own():
    fold = fold_from(make_busy_log(), 0)
    assert fold.apply(fold.offset + 1, make_batch(entry="z"), read_at=0.0)
    seal = plan_seal(fold.usage, 2e9, term=fold.lease.term, through=fold.offset)
    wrong = seal.model_copy(update={"lines": ()})
    assert seal.lines
    assert not fold.apply(fold.offset + 1, wrong, read_at=0.0)
    late = seal.model_copy(update={"window": seal.window + seal.duration})
    assert not fold.apply(fold.offset + 1, late, read_at=0.0)
    assert fold.apply(fold.offset + 1, seal, read_at=0.0)


def test_wish_in_a_busy_scope_is_dropped():
    world = World()
    holder = world.wait_for_holder()
    assert holder.core.request_orders([START, START]) == 1
    holder.decide(world)
    assert holder.core.request_orders([START]) == 0
