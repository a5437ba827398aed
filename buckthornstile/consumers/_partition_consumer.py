"""Consumes a partition of the store and tracks how stale its records are."""

import asyncio
import random
from collections.abc import Callable

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    MAX_READ_KILOBYTES,
    FetchResult,
    KeyedRecord,
    LatestRecords,
    OffsetOutOfRangeError,
    StoreClient,
    decode_keyed_record,
)

INITIAL_RETRY_DELAY = 0.05
"""Seconds before a failed read is retried; doubles up to ``MAX_RETRY_DELAY``."""
MAX_RETRY_DELAY = 0.4
"""Maximum delay in seconds. A store that is reachable again must be read well before
the consumer's records reach a staleness limit."""
READ_TIMEOUT = 0.7
"""Seconds in which the store must respond, beyond the requested wait; ten times the
usual response time of a slow store."""

MIN_READ_KILOBYTES = 64
"""Size that a read requests at least, in kilobytes."""
FAST_READ_TIME = 0.2
"""Seconds within which a response must arrive for the next read to request more."""
PAGE_TIMEOUT = 3.0
"""Seconds for reading one page of the latest records: up to 1.4 MB on a slow link."""

OnRecord = Callable[[KeyedRecord], None]
OnSnapshot = Callable[[list[KeyedRecord]], None]


class PartitionConsumer:
    """Consumes one partition.

    ``synced_at`` is the time at which the latest read that reached the partition's end
    was sent. All records that the store acknowledged before then have been consumed.

    Args:
        store: Client of the store.
        topic: Name of the topic.
        part: Number of the partition.
        clock: Returns the time in seconds; must also advance during suspend.
        max_wait: Maximum seconds for which the store holds a read until a new record
            arrives (long poll).
        poll_interval: Seconds to wait between two reads, so that one read fetches
            several records.
        on_record: Called with each record of a keyed topic.
        on_snapshot: Called with the latest record of each key, at the start and after
            the store dropped records that were not read yet; None for a topic without
            keys.
        on_raw_record: Called with offset and bytes of each record of a topic without
            keys.
        on_caught_up: Called after each read that reached the partition's end.
        on_loss: Called when the store has dropped records that were not read yet.
        ordered: Whether records must arrive in the order of their offsets. The
            snapshot then holds only records before the end offset of its first page.
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
        on_loss: Callable[[], None] | None = None,
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
        self.on_loss = on_loss
        self.ordered = ordered
        self.synced_at = -1e9
        self.end_offset = 0
        self.disconnected_at: float | None = clock()
        self.reconnected_at = -1e9
        self._next_offset: int | None = None
        self._latest_records: LatestRecords | None = None
        self._read_kilobytes = MAX_READ_KILOBYTES
        self._sync_waiters: list[tuple[float, asyncio.Future[None]]] = []
        self._read_requested = asyncio.Event()

    @property
    def is_loaded(self) -> bool:
        """Whether the snapshot was read or, without keys, a first read was started."""
        return self._next_offset is not None

    @property
    def is_caught_up(self) -> bool:
        """Whether all records before ``end_offset`` were consumed."""
        return self._next_offset is not None and self._next_offset >= self.end_offset

    def get_staleness(self) -> float:
        """Returns the seconds since ``synced_at``."""
        return self.clock() - self.synced_at

    async def wait_until_synced(self, timeout: float) -> bool:
        """Waits until a read that is sent after this call reaches the partition's end.

        Args:
            timeout: Seconds to wait.

        Returns:
            Whether such a read succeeded in time.
        """
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sync_waiters.append((self.clock(), waiter))
        self._read_requested.set()
        try:
            async with asyncio.timeout(timeout):
                await waiter
        except TimeoutError:
            return False
        finally:
            # While the store is away, callers that gave up must not add up.
            self._sync_waiters = [
                entry for entry in self._sync_waiters if entry[1] is not waiter
            ]
        return True

    async def run(self) -> None:
        """Consumes the partition until cancelled."""
        retry_delay = INITIAL_RETRY_DELAY
        while True:
            sent_at = self.clock()
            try:
                await self._read_once()
            except OffsetOutOfRangeError as error:
                log_event("store.history_dropped", topic=self.topic, part=self.part)
                self._next_offset = None if self.on_snapshot else error.first_offset
                if self.on_loss is not None:
                    self.on_loss()
                continue
            except Exception as error:
                self._record_failure(error)
                await asyncio.sleep(retry_delay * random.uniform(0.7, 1.3))
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)
                continue
            retry_delay = INITIAL_RETRY_DELAY
            self._record_success(sent_at)
            if self.poll_interval and not self._sync_waiters:
                await self._sleep(self.poll_interval)

    async def _sleep(self, seconds: float) -> None:
        self._read_requested.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._read_requested.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> None:
        # After a failure, the records must not become older by a long poll as well.
        is_late = self._sync_waiters or self.disconnected_at is not None
        wait = 0.0 if is_late else self.max_wait
        if self._next_offset is None:
            if self.on_snapshot is None:
                self._next_offset = 0
            else:
                self._next_offset = await self._load_snapshot()
                wait = 0.0
        data = await self._read(self._next_offset, wait)
        for offset, record in data.records:
            self._apply(offset, record)
        self._next_offset = max(self._next_offset, data.next_offset)
        self.end_offset = data.end_offset

    async def _read(self, start_offset: int, wait: float) -> FetchResult:
        """Reads records, as many as arrive in time."""
        started_at = self.clock()
        try:
            result = await self.store.read(
                self.topic,
                self.part,
                start_offset,
                wait=wait,
                timeout=READ_TIMEOUT,
                max_kilobytes=self._read_kilobytes,
            )
        except PlatformUnavailableError:
            # A response that was too large to arrive in time would be so again.
            self._read_kilobytes = max(MIN_READ_KILOBYTES, self._read_kilobytes // 2)
            raise
        # A record may be larger than what a read requests.
        is_too_small = not result.records and result.next_offset < result.end_offset
        if is_too_small or self.clock() - started_at < FAST_READ_TIME:
            self._read_kilobytes = min(MAX_READ_KILOBYTES, 2 * self._read_kilobytes)
        return result

    async def _load_snapshot(self) -> int:
        """Reads the latest record of each key, page by page.

        After a failed page, the next call continues with that page.

        Returns:
            The offset to continue reading from.
        """
        assert self.on_snapshot is not None
        latest_records = self._latest_records = self._latest_records or LatestRecords()
        while not latest_records.is_complete:
            await self.store.read_latest_page(
                self.topic, self.part, latest_records, timeout=PAGE_TIMEOUT
            )
        self._latest_records = None
        records = latest_records.records
        if self.ordered:
            # Later pages contain some of the records that were appended since the
            # first page, but not all of them.
            records = [
                record
                for record in records
                if record.offset < latest_records.end_offset
            ]
        self.on_snapshot(records)
        self.end_offset = latest_records.end_offset
        return latest_records.end_offset

    def _apply(self, offset: int, record: bytes) -> None:
        try:
            self._pass_on(offset, record)
        except Exception as error:
            # Reading the record again would fail again, and no later one be read.
            log_event(
                "store.record_failed",
                topic=self.topic,
                part=self.part,
                offset=offset,
                reason=repr(error),
            )

    def _pass_on(self, offset: int, record: bytes) -> None:
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

    def _record_failure(self, error: Exception) -> None:
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

    def _record_success(self, sent_at: float) -> None:
        if self.disconnected_at is not None:
            log_event(
                "store.regained",
                topic=self.topic,
                part=self.part,
                away=self.clock() - self.disconnected_at,
            )
            self.disconnected_at = None
            self.reconnected_at = self.clock()
        if not self.is_caught_up:
            return
        self.synced_at = sent_at
        remaining = []
        for registered_at, waiter in self._sync_waiters:
            if registered_at > sent_at:
                remaining.append((registered_at, waiter))
            elif not waiter.done():
                waiter.set_result(None)
        self._sync_waiters = remaining
        if self.on_caught_up is not None:
            self.on_caught_up()
