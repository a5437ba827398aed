"""Shares crashes under requests with all entries through a topic of the store."""

import asyncio
import json
from collections import deque
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, UpstreamId, parse_json
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.gateway._fingerprint import Fingerprint
from buckthornstile.gateway._quarantine import Crash, IncarnationDigest, Quarantine
from buckthornstile.logs import log_event
from buckthornstile.platform import KeyedRecord, StoreClient, encode_keyed_record

CRASH_TOPIC = "keyed.crashes"
"""Topic of the crashes; its prefix makes the store retain each key's latest record, so
that an entry that has just started knows what is in quarantine."""
CRASH_MAX_WAIT = 1.0
"""Maximum seconds of a long poll for crashes."""
APPEND_RETRY_DELAY = 0.2
"""Seconds before a failed append is retried."""
MAX_PENDING = 1000
"""Number of records that wait for the store; the oldest are dropped."""
MAX_RECORDS_PER_APPEND = 200
EXPIRY_INTERVAL = 10.0
"""Seconds between two checks for crashes that need not be remembered any longer."""


class CrashLog:
    """Records crashes in the quarantine and in the store.

    A crash counts at once in this process, also while the store is away. Each crash is
    a key of its own, so that entries never overwrite what others have recorded.

    Args:
        store: Client of the store.
        quarantine: Counts the crashes.
        clock: Returns the monotonic time in seconds.
        wall_clock: Returns the seconds since the epoch.
        is_cleaner: Whether this process deletes an expired crash of a key; one entry
            deletes each.
    """

    def __init__(
        self,
        store: StoreClient,
        quarantine: Quarantine,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        is_cleaner: Callable[[str], bool],
    ) -> None:
        self.store = store
        self.quarantine = quarantine
        self.wall_clock = wall_clock
        self.is_cleaner = is_cleaner
        self.consumer = PartitionConsumer(
            store,
            CRASH_TOPIC,
            0,
            clock=clock,
            max_wait=CRASH_MAX_WAIT,
            on_record=self._apply,
            on_snapshot=self._apply_snapshot,
        )
        self._pending: deque[tuple[str, bytes]] = deque(maxlen=MAX_PENDING)
        self._has_pending = asyncio.Event()

    def get_remaining_time(self, fingerprint: Fingerprint) -> float:
        """Returns the seconds for which a request is still refused, or 0."""
        return self.quarantine.get_remaining_time(fingerprint, self.wall_clock())

    def record_crash(
        self, crash: Crash, *, upstream: UpstreamId, request_id: str
    ) -> None:
        """Records that an upstream ended while it ran a request."""
        now = self.wall_clock()
        if not self.quarantine.add(crash, now):
            return
        log_event(
            "request.crashed_upstream",
            request=request_id,
            fingerprint=crash.fingerprint,
            upstream=upstream,
            crashes=len(self.quarantine.list_crashes(crash.fingerprint)),
            refused_for=self.get_remaining_time(crash.fingerprint),
        )
        self._append(_encode_key(crash), json.dumps([now]).encode())

    def record_success(self, fingerprint: Fingerprint) -> None:
        """Records that an upstream has answered a request, which so crashes none."""
        for crash in self.quarantine.list_crashes(fingerprint):
            self.quarantine.remove(crash)
            self._append(_encode_key(crash), b"")

    async def run(self) -> None:
        """Consumes and appends records until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.consumer.run())
            group.create_task(self._append_pending())
            group.create_task(self._delete_expired())

    def _append(self, key: str, value: bytes) -> None:
        self._pending.append((key, value))
        self._has_pending.set()

    async def _append_pending(self) -> None:
        while True:
            await self._has_pending.wait()
            batch = list(self._pending)[:MAX_RECORDS_PER_APPEND]
            records = [encode_keyed_record(key, value) for key, value in batch]
            try:
                await self.store.append(CRASH_TOPIC, 0, records)
            except BuckthornstileError as error:
                log_event("crashes.append_failed", reason=error.message)
                await asyncio.sleep(APPEND_RETRY_DELAY)
                continue
            for entry in batch:
                if self._pending and self._pending[0] == entry:
                    self._pending.popleft()
            if not self._pending:
                self._has_pending.clear()

    async def _delete_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            for crash in self.quarantine.list_expired(self.wall_clock()):
                key = _encode_key(crash)
                if self.is_cleaner(key):
                    self._append(key, b"")
                self.quarantine.remove(crash)

    def _apply_snapshot(self, records: list[KeyedRecord]) -> None:
        pending = {key for key, _ in self._pending}
        known = {record.key for record in records if record.value is not None}
        self.quarantine.retain(lambda crash: _encode_key(crash) in known | pending)
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        try:
            crash = _decode_key(record.key)
            if record.value is None:
                self.quarantine.remove(crash)
                return
            (at,) = parse_json(record.value)
            self.quarantine.add(crash, min(float(at), self.wall_clock()))
        except (ValueError, TypeError, OverflowError) as error:
            log_event("crashes.unreadable", key=record.key, reason=error)


def _encode_key(crash: Crash) -> str:
    return f"{crash.fingerprint}/{crash.incarnation}"


def _decode_key(key: str) -> Crash:
    fingerprint, incarnation = key.split("/")
    return Crash(Fingerprint(fingerprint), IncarnationDigest(incarnation))
