"""Tests consuming a partition: failed pages, dropped history, staleness, order."""

import asyncio
import time

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.platform import FetchResult, KeyedRecord, OffsetOutOfRangeError

PAGES = 4


class FakeStore:
    """Serves pages of one record each; fails at chosen pages and drops history."""

    def __init__(self, fails_at=()):
        self.fails_at = list(fails_at)
        self.requested_pages = []
        self.pending_drops = 0
        self.reads = 0

    async def read_latest_page(self, topic, part, pages, *, timeout):
        page_number = len(pages.records)
        self.requested_pages.append(page_number)
        if page_number in self.fails_at:
            self.fails_at.remove(page_number)
            raise PlatformUnavailableError("the store sent no response in time")
        pages.end_offset = pages.end_offset if pages.end_offset >= 0 else 10
        pages.records.append(KeyedRecord(page_number, f"k{page_number}", b"v"))
        pages.is_complete = page_number == PAGES - 1

    async def read(self, topic, part, start, *, wait, timeout):
        self.reads += 1
        await asyncio.sleep(0.005)
        if self.pending_drops:
            self.pending_drops -= 1
            raise OffsetOutOfRangeError(20)
        return FetchResult((), start, start)


async def consume(store, is_done):
    snapshots = []
    consumer = PartitionConsumer(
        store,
        "keyed.t",
        0,
        clock=time.monotonic,
        max_wait=0.0,
        on_record=lambda record: None,
        on_snapshot=snapshots.append,
    )
    task = asyncio.create_task(consumer.run())
    async with asyncio.timeout(5):
        while not is_done(consumer, snapshots):
            await asyncio.sleep(0.005)
    task.cancel()
    return consumer, snapshots


def test_only_failed_page_is_read_again():
    store = FakeStore(fails_at=[1, 3, 3])
    _, snapshots = asyncio.run(
        consume(store, lambda consumer, snapshots: consumer.is_loaded)
    )
    assert store.requested_pages == [0, 1, 1, 2, 3, 3, 3]
    assert [record.key for record in snapshots[0]] == ["k0", "k1", "k2", "k3"]


def test_snapshot_is_reloaded_after_history_is_dropped():
    store = FakeStore()
    store.pending_drops = 1
    _, snapshots = asyncio.run(
        consume(store, lambda consumer, snapshots: len(snapshots) == 2)
    )
    assert store.requested_pages == [0, 1, 2, 3] * 2


@pytest.mark.parametrize("failures", [0, 1])
def test_staleness_counts_from_sending_of_successful_read(failures):
    store = FakeStore(fails_at=[0] * failures)
    consumer, _ = asyncio.run(
        consume(store, lambda consumer, snapshots: store.reads > 2)
    )
    assert consumer.get_staleness() < 1.0


class GrowingStore:
    """A partition to which records are appended between two pages."""

    def __init__(self):
        self.records_in_log = [KeyedRecord(0, "m", b"v"), KeyedRecord(1, "y", b"v")]

    async def read_latest_page(self, topic, part, pages, *, timeout):
        if not pages.records:
            pages.end_offset = len(self.records_in_log)
            pages.records.append(self.records_in_log[0])
            # "a" belongs to the page that was just read, "z" to the next page.
            self.records_in_log += [
                KeyedRecord(2, "a", b"v"),
                KeyedRecord(3, "z", b"v"),
            ]
            return
        pages.records += [record for record in self.records_in_log if record.key > "m"]
        pages.is_complete = True

    async def read(self, topic, part, start, *, wait, timeout):
        await asyncio.sleep(0.005)
        records = tuple(
            (
                record.offset,
                bytes([len(record.key)]) + record.key.encode() + record.value,
            )
            for record in self.records_in_log[start:]
        )
        return FetchResult(records, len(self.records_in_log), len(self.records_in_log))


async def read_growing_store():
    offsets = []

    def record_snapshot(records):
        for record in sorted(records, key=lambda record: record.offset):
            offsets.append(record.offset)

    consumer = PartitionConsumer(
        GrowingStore(),
        "keyed.t",
        0,
        clock=time.monotonic,
        max_wait=0.0,
        on_record=lambda record: offsets.append(record.offset),
        on_snapshot=record_snapshot,
        ordered=True,
    )
    task = asyncio.create_task(consumer.run())
    async with asyncio.timeout(5):
        while len(set(offsets)) < 4:
            await asyncio.sleep(0.005)
    task.cancel()
    return offsets


def test_records_arrive_in_order_while_partition_grows():
    """Records are appended while the pages of the snapshot are read.

    Out of order, the results of two owners of a job would get different positions at
    different processes.
    """
    assert asyncio.run(read_growing_store()) == [0, 1, 2, 3]
