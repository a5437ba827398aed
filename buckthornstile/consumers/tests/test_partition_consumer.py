"""Tests consuming a partition: failed pages, dropped history, staleness, order."""

import asyncio
import time

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.platform import FetchResult, KeyedRecord, OffsetOutOfRangeError

PAGE_COUNT = 4


class FakeStore:
    """Serves snapshot pages of one record each.

    A page's requests fail as many times as its number occurs in ``fails_at``. The next
    ``pending_drops`` reads fail because the store no longer has the records.
    """

    def __init__(self, fails_at=()):
        self.fails_at = list(fails_at)
        self.requested_pages = []
        self.pending_drops = 0
        self.reads = 0

    async def read_latest_page(self, topic, part, latest, *, timeout):
        page_number = len(latest.records)
        self.requested_pages.append(page_number)
        if page_number in self.fails_at:
            self.fails_at.remove(page_number)
            raise PlatformUnavailableError("the store sent no response in time")
        latest.end_offset = latest.end_offset if latest.end_offset >= 0 else 10
        latest.records.append(KeyedRecord(page_number, f"k{page_number}", b"v"))
        latest.is_complete = page_number == PAGE_COUNT - 1

    async def read(self, topic, part, start, *, wait, timeout, max_kilobytes):
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
def test_staleness_is_small_after_successful_reads(failures):
    store = FakeStore(fails_at=[0] * failures)
    consumer, _ = asyncio.run(
        consume(store, lambda consumer, snapshots: store.reads > 2)
    )
    assert consumer.get_staleness() < 1.0


def test_age_of_a_read_is_counted_from_when_it_was_sent():
    """Another entry may pass the response on late, and this one may wake late."""
    store, delay = FakeStore(), 0.3
    read, sent_times = store.read, []

    async def read_late(*arguments, **options):
        sent_times.append(time.monotonic())
        result = await read(*arguments, **options)
        await asyncio.sleep(delay)
        return result

    store.read = read_late
    consumer, _ = asyncio.run(
        consume(store, lambda consumer, snapshots: consumer.synced_at > 0)
    )
    assert consumer.synced_at <= sent_times[0]
    assert consumer.get_staleness() >= delay


def test_snapshot_alone_does_not_count_as_read_to_the_end():
    """Records may have been appended since its first page, if a later one failed."""
    store = FakeStore(fails_at=[1])
    store.read = lambda *arguments, **options: asyncio.sleep(60)
    consumer, _ = asyncio.run(
        consume(store, lambda consumer, snapshots: consumer.is_loaded and snapshots)
    )
    assert consumer.synced_at < 0


class GrowingStore:
    """A partition to which records are appended between two pages."""

    def __init__(self):
        self.records_in_log = [KeyedRecord(0, "m", b"v"), KeyedRecord(1, "y", b"v")]

    async def read_latest_page(self, topic, part, latest, *, timeout):
        if not latest.records:
            latest.end_offset = len(self.records_in_log)
            latest.records.append(self.records_in_log[0])
            # "a" belongs to the page that was just read, "z" to the next page.
            self.records_in_log += [
                KeyedRecord(2, "a", b"v"),
                KeyedRecord(3, "z", b"v"),
            ]
            return
        latest.records += [record for record in self.records_in_log if record.key > "m"]
        latest.is_complete = True

    async def read(self, topic, part, start, *, wait, timeout, max_kilobytes):
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

    If they were applied out of order, the results that two owners stored for a job
    could get different positions in different processes.
    """
    assert asyncio.run(read_growing_store()) == [0, 1, 2, 3]


class SlowStore(FakeStore):
    """A partition with a backlog, whose larger responses do not arrive in time."""

    def __init__(self, backlog, kilobytes_in_time):
        super().__init__()
        self.end = 10 + backlog
        self.kilobytes_in_time = kilobytes_in_time

    async def read(self, topic, part, start, *, wait, timeout, max_kilobytes):
        await asyncio.sleep(0.001)
        if start < self.end and max_kilobytes > self.kilobytes_in_time:
            raise PlatformUnavailableError("the store did not respond in time")
        records = [(start, b"\x01kv")] if start < self.end else []
        return FetchResult(tuple(records), self.end, start + len(records))


def test_backlog_is_read_though_full_responses_do_not_arrive_in_time():
    store = SlowStore(backlog=5, kilobytes_in_time=300)
    consumer, _ = asyncio.run(
        consume(store, lambda consumer, snapshots: consumer.synced_at > 0)
    )
    assert consumer.end_offset == store.end


def test_caller_that_gives_up_waiting_for_a_read_is_forgotten():
    async def run():
        consumer = PartitionConsumer(
            FakeStore(), "t", 0, clock=time.monotonic, max_wait=0.1
        )
        assert not await consumer.wait_until_synced(0.01)
        assert consumer._sync_waiters == []

    asyncio.run(run())
