"""Writes an entry's records of the software versions that began streams."""

import asyncio
import contextlib
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, ProcessName
from buckthornstile.logs import log_event
from buckthornstile.platform import StoreClient, encode_keyed_record
from buckthornstile.stream_versions import (
    MAX_STREAMS,
    RecordBatches,
    StreamRecord,
    Ticket,
    compute_batch_interval,
)

STREAM_VERSION_TOPIC = "keyed.stream-versions"
"""Topic of the default versions and the records; its prefix makes the store retain each
key's latest record, so that an entry that has just started knows them."""
FIRST_RETRY_DELAY = 0.1
"""Seconds before a failed append is repeated.

The delay doubles with each further failure, up to the time between two batches.
"""
IDLE_CHECK_INTERVAL = 5.0
"""Seconds between two checks for batches that are over while no record is added."""


class StreamRecordWriter:
    """Writes records in batches, at a rate that all entries share.

    Args:
        name: Name of this process.
        store: Client of the store.
        clock: Returns the monotonic time in seconds.
        list_entries: Returns the entries that may be writing.
        max_record_bytes: Maximum size of a record in the store.
        writes_per_second: Write calls that the store accepts from all entries.

    Attributes:
        failing_since: Since when the store has accepted no append, or None.
    """

    def __init__(
        self,
        name: ProcessName,
        store: StoreClient,
        *,
        clock: Callable[[], float],
        list_entries: Callable[[], list[ProcessName]],
        max_record_bytes: int,
        writes_per_second: float,
    ) -> None:
        self.store = store
        self.clock = clock
        self.list_entries = list_entries
        self.writes_per_second = writes_per_second
        self.batches = RecordBatches(name, max_batch_bytes=max_record_bytes // 2)
        self.failing_since: float | None = None
        self.waiters: set[asyncio.Event] = set()
        self._has_pending = asyncio.Event()

    def has_room(self) -> bool:
        """Whether this entry's share of all records allows another one."""
        share = MAX_STREAMS // max(1, len(self.list_entries()))
        return self.batches.count_records() < share

    def add(self, record: StreamRecord) -> Ticket:
        """Adds a record to the next batch."""
        self._has_pending.set()
        return self.batches.add(record)

    async def write(self, record: StreamRecord, *, deadline: float) -> bool:
        """Returns whether the store has acknowledged a record before a deadline.

        Args:
            record: The record.
            deadline: Deadline in the event loop's time, in seconds.
        """
        ticket = self.add(record)
        is_confirmed = asyncio.Event()
        self.waiters.add(is_confirmed)
        try:
            async with asyncio.timeout_at(deadline):
                while not self.batches.is_confirmed(ticket):
                    is_confirmed.clear()
                    await is_confirmed.wait()
        except TimeoutError:
            return False
        finally:
            self.waiters.remove(is_confirmed)
        return True

    async def run(self) -> None:
        """Writes batches until cancelled."""
        retry_delay = FIRST_RETRY_DELAY
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_CHECK_INTERVAL):
                    await self._has_pending.wait()
            self._has_pending.clear()
            started_at = self.clock()
            if not await self._append_batch(started_at):
                continue
            # Records may have been added meanwhile, or the append is to be repeated.
            self._has_pending.set()
            interval = compute_batch_interval(
                len(self.list_entries()), self.writes_per_second
            )
            if self.failing_since is not None:
                await asyncio.sleep(min(interval, retry_delay))
                retry_delay *= 2
                continue
            retry_delay = FIRST_RETRY_DELAY
            await asyncio.sleep(max(0.0, started_at + interval - self.clock()))

    async def _append_batch(self, now: float) -> bool:
        """Appends the batch that is due, and returns whether there was one."""
        append = self.batches.get_append(now)
        if append is None:
            return False
        records = [encode_keyed_record(key, value) for key, value in append.pairs]
        try:
            await self.store.append(STREAM_VERSION_TOPIC, 0, records)
        except BuckthornstileError as error:
            self._set_failing(error.message)
            return True
        self._set_failing(None)
        self.batches.confirm(append)
        for waiter in self.waiters:
            waiter.set()
        return True

    def _set_failing(self, reason: str | None) -> None:
        is_failing = reason is not None
        if is_failing == (self.failing_since is not None):
            return
        log_event("stream_version.store", failing=is_failing, reason=reason)
        self.failing_since = self.clock() if is_failing else None
