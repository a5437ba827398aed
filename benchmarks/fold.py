"""Measures what control's log costs: fold time, bytes and appends per second.

Run ``python -m benchmarks.fold``. Appends per second follow from the product's own
intervals; sizes and times are measured here.
"""

import random
import time
from collections.abc import Callable, Iterator

from buckthornstile.base import Incarnation, Offset, ProcessName
from buckthornstile.control import ControlFold
from buckthornstile.lease import LeaseKeeper
from buckthornstile.orders import OrderScope
from buckthornstile.records import (
    LeaseClaim,
    LeaseRenewal,
    OrderIntent,
    OrderOutcome,
    Record,
    RecoveredUsage,
    UsageBatch,
    UsageLine,
    UsageRecovery,
    decode_record,
    encode_record,
)
from buckthornstile.usage import UsageCounter, plan_seal

RECORDS = 5_000
ENTRIES = 320
ACCOUNTS_PER_BATCH = 8
RENEWAL_SAMPLE_SECONDS = 300
WINDOW_SECONDS = 60

RecordMaker = Callable[[ControlFold, int], Record]


def make_lines(count: int) -> tuple[UsageLine, ...]:
    """Makes lines for some client accounts."""
    return tuple(
        UsageLine(
            account=f"account-{index}",
            service="geometry-models",
            request_class="trainer",
            requests=3,
            prompt_tokens=1000,
            generated_tokens=500,
        )
        for index in range(count)
    )


LINES = make_lines(ACCOUNTS_PER_BATCH)


def make_claim(fold: ControlFold, index: int) -> Record:
    """Makes a claim that the fold accepts."""
    state = fold.lease.state
    return LeaseClaim(
        holder="e1",
        incarnation="i",
        follows=state.term,
        follows_sequence=state.sequence,
        duration=9,
    )


def make_renewal(fold: ControlFold, index: int) -> Record:
    """Makes a renewal that the fold accepts."""
    return LeaseRenewal(
        holder="e1", incarnation="i", term=fold.lease.term, sequence=index + 1
    )


def make_batch(fold: ControlFold, index: int) -> Record:
    """Makes the next batch of one of many entries."""
    number = index // ENTRIES * 10
    return UsageBatch(
        entry=f"e{index % ENTRIES}-1", ranges=((number, number + 9),), lines=LINES
    )


def make_recovery(fold: ControlFold, index: int) -> Record:
    """Makes a recovery of ten requests of a gone entry."""
    requests = tuple(
        RecoveredUsage(counter=index * 10 + number, line=LINES[0])
        for number in range(10)
    )
    return UsageRecovery(entry="gone-1", requests=requests, appended_by="a1")


def make_intent(fold: ControlFold, index: int) -> Record:
    """Makes an intent to swap the weights of one of many upstreams."""
    upstream = f"u{index}"
    return OrderIntent(
        order_id=fold.orders.make_next_id(OrderScope(f"load/{upstream}")),
        term=fold.lease.term,
        action="load_version",
        service="geometry-models",
        upstream=upstream,
        version=index,
    )


def make_outcome(fold: ControlFold, index: int) -> Record:
    """Makes the outcome of the oldest open order."""
    order_id = next(iter(fold.orders.open_orders))
    return OrderOutcome(order_id=order_id, term=fold.lease.term, outcome="done")


def make_seal(fold: ControlFold, index: int) -> Record:
    """Makes the next window's seal."""
    seal = plan_seal(
        fold.usage, 1e6 + index * 120, term=fold.lease.term, through=fold.offset
    )
    assert seal is not None
    return seal


def make_snapshot(fold: ControlFold, index: int) -> Record:
    """Makes a snapshot of the fold."""
    return fold.make_snapshot()


def list_cases() -> Iterator[tuple[RecordMaker, int]]:
    """Lists the kinds of records and how many of each to fold."""
    yield make_claim, 1
    yield make_renewal, RECORDS
    yield make_batch, RECORDS
    yield make_recovery, RECORDS // 10
    yield make_seal, 4
    yield make_intent, 600
    yield make_outcome, 600
    yield make_snapshot, 5


def measure_kind(fold: ControlFold, make: RecordMaker, count: int) -> str:
    """Folds records of one kind.

    Args:
        fold: The fold; goes on from where the last kind left it.
        make: Makes a record that the fold accepts.
        count: How many.

    Returns:
        One line of the table.
    """
    size = 0
    decoding = 0.0
    folding = 0.0
    for index in range(count):
        data = encode_record(make(fold, index))
        size += len(data)
        start = time.perf_counter()
        record = decode_record(data)
        decoded = time.perf_counter()
        fold.apply(Offset(fold.offset + 1), record, read_at=0.0)
        folding += time.perf_counter() - decoded
        decoding += decoded - start
    per_record = 1e6 / count
    return (
        f"{record.kind:20}{count:8}{size / count:10.0f}"
        f"{decoding * per_record:12.1f}{folding * per_record:12.1f}"
    )


def count_renewals() -> float:
    """Counts the holder's renewals a second, with all of them read back."""
    fold = ControlFold()
    keeper = LeaseKeeper(
        fold.lease, ProcessName("e1"), Incarnation("i"), random.Random(0)
    )
    count = 0
    for step in range(RENEWAL_SAMPLE_SECONDS * 4):
        action = keeper.decide(step / 4)
        if action is None:
            continue
        offset = Offset(fold.offset + 1)
        accepted = fold.apply(offset, action.record, read_at=step / 4)
        keeper.on_applied(offset, action.record, accepted)
        count += 1
    return count / RENEWAL_SAMPLE_SECONDS


def count_batches() -> float:
    """Counts one busy entry's batches a second, with all of them read back."""
    counter = UsageCounter(Incarnation("e1"))
    count = 0
    for step in range(RENEWAL_SAMPLE_SECONDS * 4):
        counter.open(step)
        counter.finish(step, LINES[0])
        batch = counter.make_batch(step / 4)
        if batch is not None:
            counter.confirm(batch)
            count += 1
    return count / RENEWAL_SAMPLE_SECONDS


def main() -> None:
    """Prints both tables."""
    fold = ControlFold()
    print("kind                 records     bytes   decode us     fold us")
    for make, count in list_cases():
        print(measure_kind(fold, make, count))
    print()
    batches = count_batches()
    print("writer                      appends/s")
    print(f"holder: renewals            {count_renewals():9.3f}")
    print(f"holder: seal and report     {2 / WINDOW_SECONDS:9.3f}")
    print(f"one busy entry: batches     {batches:9.3f}")
    print(f"{ENTRIES} busy entries: batches  {batches * ENTRIES:9.1f}")


if __name__ == "__main__":
    main()
