"""Following a partition: pages that fail, history that goes, freshness."""

import asyncio
import time

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.platform import FetchResult, KeyedRecord, OffsetOutOfRangeError

PAGES = 4


class FakeStore:
    """Serves pages of one record each, and fails as it is told."""

    def __init__(self, fails_at=()):
        self.fails_at = list(fails_at)
        self.asked = []
        self.drops = 0
        self.reads = 0

    async def read_latest_page(self, topic, part, pages, *, timeout):
        number = len(pages.records)
        self.asked.append(number)
        if number in self.fails_at:
            self.fails_at.remove(number)
            raise PlatformUnavailableError("the store gave no answer in time")
        pages.end_offset = pages.end_offset if pages.end_offset >= 0 else 10
        pages.records.append(KeyedRecord(number, f"k{number}", b"v"))
        pages.is_complete = number == PAGES - 1

    async def read(self, topic, part, start, *, wait, timeout):
        self.reads += 1
        await asyncio.sleep(0.005)
        if self.drops:
            self.drops -= 1
            raise OffsetOutOfRangeError(20)
        return FetchResult((), start, start)


async def follow(store, until):
    loaded = []
    consumer = PartitionConsumer(
        store,
        "keyed.t",
        0,
        clock=time.monotonic,
        max_wait=0.0,
        on_record=lambda record: None,
        on_snapshot=loaded.append,
    )
    task = asyncio.create_task(consumer.run())
    async with asyncio.timeout(5):
        while not until(consumer, loaded):
            await asyncio.sleep(0.005)
    task.cancel()
    return consumer, loaded


def test_a_page_that_fails_costs_no_other_page():
    store = FakeStore(fails_at=[1, 3, 3])
    _, loaded = asyncio.run(follow(store, lambda consumer, loaded: consumer.is_loaded))
    assert store.asked == [0, 1, 1, 2, 3, 3, 3]
    assert [record.key for record in loaded[0]] == ["k0", "k1", "k2", "k3"]


def test_dropped_history_is_loaded_anew_as_a_whole():
    store = FakeStore()
    store.drops = 1
    _, loaded = asyncio.run(follow(store, lambda consumer, loaded: len(loaded) == 2))
    assert store.asked == [0, 1, 2, 3] * 2


@pytest.mark.parametrize("fails", [0, 1])
def test_freshness_counts_from_when_a_good_read_was_sent(fails):
    store = FakeStore(fails_at=[0] * fails)
    consumer, _ = asyncio.run(follow(store, lambda consumer, loaded: store.reads > 2))
    assert consumer.get_staleness() < 1.0


class GrowingStore:
    """A partition that grows between two pages; the pages are no snapshot."""

    def __init__(self):
        self.log = [KeyedRecord(0, "m", b"v"), KeyedRecord(1, "y", b"v")]

    async def read_latest_page(self, topic, part, pages, *, timeout):
        if not pages.records:
            pages.end_offset = len(self.log)
            pages.records.append(self.log[0])
            # The first lies in the page that was read, the second in the next one.
            self.log += [KeyedRecord(2, "a", b"v"), KeyedRecord(3, "z", b"v")]
            return
        pages.records += [one for one in self.log if one.key > "m"]
        pages.is_complete = True

    async def read(self, topic, part, start, *, wait, timeout):
        await asyncio.sleep(0.005)
        records = tuple(
            (one.offset, bytes([len(one.key)]) + one.key.encode() + one.value)
            for one in self.log[start:]
        )
        return FetchResult(records, len(self.log), len(self.log))


async def read_growing_store():
    seen = []

    def note(records):
        for record in sorted(records, key=lambda one: one.offset):
            seen.append(record.offset)

    consumer = PartitionConsumer(
        GrowingStore(),
        "keyed.t",
        0,
        clock=time.monotonic,
        max_wait=0.0,
        on_record=lambda record: seen.append(record.offset),
        on_snapshot=note,
        ordered=True,
    )
    task = asyncio.create_task(consumer.run())
    async with asyncio.timeout(5):
        while len(set(seen)) < 4:
            await asyncio.sleep(0.005)
    task.cancel()
    return seen


def test_records_come_in_order_though_pages_are_no_snapshot():
    """Two owners' results would else be listed at other positions elsewhere."""
    assert asyncio.run(read_growing_store()) == [0, 1, 2, 3]
