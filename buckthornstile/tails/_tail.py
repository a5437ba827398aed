"""Follows a partition of the store and keeps track of how fresh it is."""

import asyncio
import random
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, PlatformUnavailableError
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    HistoryDroppedError,
    NewestPages,
    StoreClient,
    StoredRecord,
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

OnRecord = Callable[[StoredRecord], None]
OnNewest = Callable[[list[StoredRecord]], None]


class Tail:
    """Follows one partition.

    ``fresh_at`` is the time at which the newest successful read was sent: whatever
    the store acknowledged before is known.

    Args:
        store: The store.
        topic: The topic.
        part: Its partition.
        clock: Gives the time in seconds; it must go on while suspended.
        wait: Seconds that the store may hold a read without a record.
        pause: Seconds between two reads, to fetch several records at once.
        on_record: Called with each record of a keyed topic.
        on_newest: Called with the newest record of each key, at the start and after
            history was dropped; None for a topic without keys.
        on_raw: Called with offset and bytes, for a topic without keys.
        on_read: Called after each read that reached the end.
        in_order: Whether records must come in the order of their offsets: pages
            then give only what lies before the end that the first one told.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        part: int,
        *,
        clock: Callable[[], float],
        wait: float,
        pause: float = 0.0,
        on_record: OnRecord | None = None,
        on_newest: OnNewest | None = None,
        on_raw: Callable[[int, bytes], None] | None = None,
        on_read: Callable[[], None] | None = None,
        in_order: bool = False,
    ) -> None:
        self.store = store
        self.topic = topic
        self.part = part
        self.clock = clock
        self.wait = wait
        self.pause = pause
        self.on_record = on_record
        self.on_newest = on_newest
        self.on_raw = on_raw
        self.on_read = on_read
        self.in_order = in_order
        self.fresh_at = -1e9
        self.end = 0
        self.lost_at: float | None = clock()
        self.returned_at = -1e9
        self._next: int | None = None
        self._pages: NewestPages | None = None
        self._read_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self._hurry = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether the partition was read once to its end."""
        return self._next is not None

    def get_age(self) -> float:
        """Seconds since the newest successful read was sent."""
        return self.clock() - self.fresh_at

    async def wait_until_fresh(self, timeout: float) -> bool:
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
            except HistoryDroppedError as error:
                log_event("store.history_dropped", topic=self.topic, part=self.part)
                self._next = None if self.on_newest else error.first
                continue
            except (BuckthornstileError, ValueError, KeyError, TypeError) as error:
                self._note_failure(error)
                await asyncio.sleep(retry * random.uniform(0.7, 1.3))
                retry = min(LONGEST_RETRY, retry * 2)
                continue
            retry = FIRST_RETRY
            self._note_success(sent_at)
            if self.pause and not self._read_waiters:
                await self._sleep(self.pause)

    async def _sleep(self, seconds: float) -> None:
        self._hurry.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._hurry.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> None:
        wait = 0.0 if self._read_waiters else self.wait
        if self._next is None:
            if self.on_newest is None:
                self._next = 0
            else:
                self._next = await self._load()
                if not self.in_order:
                    return
                wait = 0.0
        data = await self.store.read(
            self.topic, self.part, self._next, wait=wait, timeout=READ_TIMEOUT
        )
        for offset, record in data.records:
            self._apply(offset, record)
        self._next = max(self._next, data.next_offset)
        self.end = data.end

    async def _load(self) -> int:
        """Reads the newest record of each key; pages that were read are kept.

        Returns:
            The offset to read on from.
        """
        assert self.on_newest is not None
        pages = self._pages = self._pages or NewestPages()
        while not pages.is_whole:
            await self.store.read_newest_page(
                self.topic, self.part, pages, timeout=PAGE_TIMEOUT
            )
        self._pages = None
        records = pages.records
        if self.in_order:
            # Later pages show later records, but not all that lie between.
            records = [record for record in records if record.offset < pages.end]
        self.on_newest(records)
        self.end = pages.end
        return pages.end

    def _apply(self, offset: int, record: bytes) -> None:
        if self.on_raw is not None:
            self.on_raw(offset, record)
            return
        try:
            decoded = decode_keyed_record(offset, record)
        except ValueError as error:
            log_event("store.record_unreadable", topic=self.topic, reason=error)
            return
        assert self.on_record is not None
        self.on_record(decoded)

    def _note_failure(self, error: Exception) -> None:
        if self.lost_at is None:
            self.lost_at = self.clock()
            log_event(
                "store.lost",
                topic=self.topic,
                part=self.part,
                reason=error,
                age=self.get_age(),
            )
        if not isinstance(error, PlatformUnavailableError):
            log_event("store.read_failed", topic=self.topic, reason=repr(error))

    def _note_success(self, sent_at: float) -> None:
        if self.lost_at is not None:
            log_event(
                "store.regained",
                topic=self.topic,
                part=self.part,
                away=self.clock() - self.lost_at,
            )
            self.lost_at = None
            self.returned_at = self.clock()
        if self._next is None or self._next < self.end:
            return
        self.fresh_at = sent_at
        kept = []
        for asked_at, waiter in self._read_waiters:
            if asked_at > sent_at:
                kept.append((asked_at, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._read_waiters = kept
        if self.on_read is not None:
            self.on_read()
