"""Follows a partition of the store and keeps track of how fresh it is."""

import asyncio
import random
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, PlatformUnavailableError
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    KeyedRecord,
    LatestRecords,
    OffsetOutOfRangeError,
    StoreClient,
    decode_keyed_record,
)

FIRST_RETRY = 0.05
"""Seconds before a failed read is made again; doubles up to the longest."""
LONGEST_RETRY = 0.4
"""Seconds; the store's return must be noticed well within the tightest bound."""
READ_TIMEOUT = 0.7
"""Seconds beyond the wait asked for; ten times a slow store's usual answer."""

PAGE_TIMEOUT = 3.0
"""Seconds for a page of the newest records, up to 1.4 MB on a slow link."""

OnRecord = Callable[[KeyedRecord], None]
OnSnapshot = Callable[[list[KeyedRecord]], None]


class PartitionConsumer:
    """Follows one partition.

    ``synced_at`` is the time at which the newest successful read was sent: whatever
    the store acknowledged before is known.

    Args:
        store: The store.
        topic: The topic.
        part: Its partition.
        clock: Gives the time in seconds; it must go on while suspended.
        max_wait: Seconds that the store may hold a read without a record.
        poll_interval: Seconds between two reads, to fetch several records at once.
        on_record: Called with each record of a keyed topic.
        on_snapshot: Called with the newest record of each key, at the start and after
            history was dropped; None for a topic without keys.
        on_raw_record: Called with offset and bytes, for a topic without keys.
        on_caught_up: Called after each read that reached the end.
        ordered: Whether records must come in the order of their offsets: pages
            then give only what lies before the end that the first one told.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        part: int,
        *,
        clock: Callable[[], float],
        max_wait: float,
        poll_interval: float = 0.0,
        on_record: OnRecord | None = None,
        on_snapshot: OnSnapshot | None = None,
        on_raw_record: Callable[[int, bytes], None] | None = None,
        on_caught_up: Callable[[], None] | None = None,
        ordered: bool = False,
    ) -> None:
        self.store = store
        self.topic = topic
        self.part = part
        self.clock = clock
        self.max_wait = max_wait
        self.poll_interval = poll_interval
        self.on_record = on_record
        self.on_snapshot = on_snapshot
        self.on_raw_record = on_raw_record
        self.on_caught_up = on_caught_up
        self.ordered = ordered
        self.synced_at = -1e9
        self.end_offset = 0
        self.disconnected_at: float | None = clock()
        self.reconnected_at = -1e9
        self._next: int | None = None
        self._pages: LatestRecords | None = None
        self._read_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self._hurry = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether the partition was read once to its end."""
        return self._next is not None

    def get_staleness(self) -> float:
        """Seconds since the newest successful read was sent."""
        return self.clock() - self.synced_at

    async def wait_until_synced(self, timeout: float) -> bool:
        """Waits for a read that is sent from now on to succeed."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._read_waiters.append((self.clock(), waiter))
        self._hurry.set()
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Follows the partition until cancelled."""
        retry = FIRST_RETRY
        while True:
            sent_at = self.clock()
            try:
                await self._read_once()
            except OffsetOutOfRangeError as error:
                log_event("store.history_dropped", topic=self.topic, part=self.part)
                self._next = None if self.on_snapshot else error.first_offset
                continue
            except (BuckthornstileError, ValueError, KeyError, TypeError) as error:
                self._note_failure(error)
                await asyncio.sleep(retry * random.uniform(0.7, 1.3))
                retry = min(LONGEST_RETRY, retry * 2)
                continue
            retry = FIRST_RETRY
            self._note_success(sent_at)
            if self.poll_interval and not self._read_waiters:
                await self._sleep(self.poll_interval)

    async def _sleep(self, seconds: float) -> None:
        self._hurry.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._hurry.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> None:
        wait = 0.0 if self._read_waiters else self.max_wait
        if self._next is None:
            if self.on_snapshot is None:
                self._next = 0
            else:
                self._next = await self._load()
                if not self.ordered:
                    return
                wait = 0.0
        data = await self.store.read(
            self.topic, self.part, self._next, wait=wait, timeout=READ_TIMEOUT
        )
        for offset, record in data.records:
            self._apply(offset, record)
        self._next = max(self._next, data.next_offset)
        self.end_offset = data.end_offset

    async def _load(self) -> int:
        """Reads the newest record of each key; pages that were read are kept.

        Returns:
            The offset to read on from.
        """
        assert self.on_snapshot is not None
        pages = self._pages = self._pages or LatestRecords()
        while not pages.is_complete:
            await self.store.read_latest_page(
                self.topic, self.part, pages, timeout=PAGE_TIMEOUT
            )
        self._pages = None
        records = pages.records
        if self.ordered:
            # Later pages show later records, but not all that lie between.
            records = [record for record in records if record.offset < pages.end_offset]
        self.on_snapshot(records)
        self.end_offset = pages.end_offset
        return pages.end_offset

    def _apply(self, offset: int, record: bytes) -> None:
        if self.on_raw_record is not None:
            self.on_raw_record(offset, record)
            return
        try:
            decoded = decode_keyed_record(offset, record)
        except ValueError as error:
            log_event("store.record_unreadable", topic=self.topic, reason=error)
            return
        assert self.on_record is not None
        self.on_record(decoded)

    def _note_failure(self, error: Exception) -> None:
        if self.disconnected_at is None:
            self.disconnected_at = self.clock()
            log_event(
                "store.lost",
                topic=self.topic,
                part=self.part,
                reason=error,
                age=self.get_staleness(),
            )
        if not isinstance(error, PlatformUnavailableError):
            log_event("store.read_failed", topic=self.topic, reason=repr(error))

    def _note_success(self, sent_at: float) -> None:
        if self.disconnected_at is not None:
            log_event(
                "store.regained",
                topic=self.topic,
                part=self.part,
                away=self.clock() - self.disconnected_at,
            )
            self.disconnected_at = None
            self.reconnected_at = self.clock()
        if self._next is None or self._next < self.end_offset:
            return
        self.synced_at = sent_at
        kept = []
        for asked_at, waiter in self._read_waiters:
            if asked_at > sent_at:
                kept.append((asked_at, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._read_waiters = kept
        if self.on_caught_up is not None:
            self.on_caught_up()
