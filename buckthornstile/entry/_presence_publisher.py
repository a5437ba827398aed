"""Publishes the presence of this entry and reads that of the others."""

import asyncio
import contextlib
from collections.abc import Callable

from buckthornstile.admission import AdmissionRecord, decode_admission_record
from buckthornstile.base import BuckthornstileError, ProcessName
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.duties import UsageCounter, UsageTotals
from buckthornstile.gateway import (
    PRESENCE_INTERVAL,
    PRESENCE_TOPIC,
    LoadedVersions,
    PresenceRecord,
    PresenceTable,
    RateRecord,
    decode_presence,
    decode_rate_record,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import StoreClient
from buckthornstile.settings import EntrySettings
from buckthornstile.shares import ShareRecord, decode_share_record
from buckthornstile.topology import TopologyView

PRESENCE_GRACE_PERIOD = 0.3
"""Seconds between the first read of all presence records and their first use."""
PRESENCE_POLL_TIMEOUT = 0.4
"""Seconds for which a long poll of presence records may wait."""
PRESENCE_POLL_INTERVAL = 0.1
"""Seconds between two reads of presence records."""
APPEND_TIMEOUT = 0.5
"""Seconds; short enough for a second attempt, on another path to the store, before
other entries consider this process gone."""
RETRY_DELAY = 0.2
"""Seconds between a failed append and the next attempt, which has a new record."""


class PresencePublisher:
    """Appends presence records of this process and reads those of all entries.

    Args:
        name: Name of this process.
        settings: Settings of this process.
        store: Client of the store.
        view: The topology view, which receives the model versions that engines have
            loaded according to other entries.
        clock: Returns the time in seconds; it must advance while the machine is
            suspended.
        wall_clock: Returns seconds since the epoch.
        list_unpublished_versions: Returns the model versions that engines have loaded
            and that their registrations don't show yet.
        make_rate_record: Returns the record about upstreams' rate limits and
            departures to publish with each presence record, or None.
        on_rate_record: Called with each such record of any entry, this one included.
        make_share_record: Returns the record about this entry's work to publish with
            each presence record, or None.
        on_share_record: Called with each such record of any entry, this one included.
        make_admission_record: Returns the record about the admission of calls to
            publish with each presence record, or None.
        on_admission_record: Called with each such record of any entry.
    """

    def __init__(
        self,
        name: ProcessName,
        settings: EntrySettings,
        store: StoreClient,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        list_unpublished_versions: Callable[[], LoadedVersions],
        make_rate_record: Callable[[], RateRecord | None],
        on_rate_record: Callable[[RateRecord], None],
        make_admission_record: Callable[[], AdmissionRecord | None],
        on_admission_record: Callable[[AdmissionRecord], None],
        make_share_record: Callable[[], ShareRecord | None] = lambda: None,
        on_share_record: Callable[[ShareRecord], None] = lambda record: None,
    ) -> None:
        self.name = name
        self.settings = settings
        self.store = store
        self.view = view
        self.clock = clock
        self.wall_clock = wall_clock
        self.list_unpublished_versions = list_unpublished_versions
        self.make_rate_record = make_rate_record
        self.on_rate_record = on_rate_record
        self.make_share_record = make_share_record
        self.on_share_record = on_share_record
        self.make_admission_record = make_admission_record
        self.on_admission_record = on_admission_record
        self.is_leaving = False
        self.peer_address = settings.peer_address
        self.presence = PresenceTable(clock)
        self.usage_counter = UsageCounter(settings.usage_window)
        self.usage_totals = UsageTotals(settings.usage_window)
        self.consumer = PartitionConsumer(
            store,
            PRESENCE_TOPIC,
            0,
            clock=clock,
            max_wait=PRESENCE_POLL_TIMEOUT,
            poll_interval=PRESENCE_POLL_INTERVAL,
            on_raw_record=self._apply,
            on_caught_up=self.presence.on_caught_up,
        )
        self._publish_requested = asyncio.Event()

    def is_presence_known(self) -> bool:
        """Whether the presence records read so far show which entries are live."""
        if self.consumer.reconnected_at < 0:
            return False
        return self.clock() - self.consumer.reconnected_at > PRESENCE_GRACE_PERIOD

    def request_publish(self) -> None:
        """Requests that a record is published now, before the interval has passed."""
        self._publish_requested.set()

    async def run(self) -> None:
        """Appends a record in each interval and on request, until cancelled.

        After an append that failed on the direct path, the next attempt is sent through
        another entry: others must not consider this process gone before it has noticed
        that the path is lost.
        """
        avoids_direct_path = False
        while True:
            # A request that arrives during the append asks for another record.
            self._publish_requested.clear()
            is_stored = await self.publish(avoids_direct_path=avoids_direct_path)
            avoids_direct_path = not (is_stored or avoids_direct_path)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    PRESENCE_INTERVAL if is_stored else RETRY_DELAY
                ):
                    await self._publish_requested.wait()

    async def publish(self, *, avoids_direct_path: bool = False) -> bool:
        """Appends one record.

        A failure is only logged, as the next record holds the same counts.

        Args:
            avoids_direct_path: Whether to send the append through another entry.

        Returns:
            Whether the store accepted the record.
        """
        now = self.wall_clock()
        record = PresenceRecord(
            self.name,
            self.settings.process,
            is_leaving=self.is_leaving,
            counts=self.usage_counter.get_counts(now),
            versions=self.list_unpublished_versions(),
            failure_domain=self.settings.failure_domain,
            address=self.peer_address,
            made_at=now,
        )
        records = [record.encode()]
        rate_record = self.make_rate_record()
        if rate_record is not None:
            records.append(rate_record.encode())
        share_record = self.make_share_record()
        if share_record is not None:
            records.append(share_record.encode())
        admission_record = self._encode_admission_record()
        if admission_record is not None:
            records.append(admission_record)
        try:
            await self.store.append(
                PRESENCE_TOPIC,
                0,
                records,
                timeout=APPEND_TIMEOUT,
                avoids_direct_path=avoids_direct_path,
            )
        except BuckthornstileError as error:
            log_event("presence.append_failed", reason=error.message)
            return False
        return True

    def _encode_admission_record(self) -> bytes | None:
        try:
            record = self.make_admission_record()
            return record.encode() if record is not None else None
        except Exception as error:
            # The presence of this entry must be published anyway.
            log_event("admission.record_failed", reason=repr(error))
            return None

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            share_record = decode_share_record(data)
            if share_record is not None:
                self.on_share_record(share_record)
                return
            admission_record = decode_admission_record(data)
            if admission_record is not None:
                self.on_admission_record(admission_record)
                return
            rate_record = decode_rate_record(data)
            if rate_record is not None:
                self._apply_rate_record(offset, rate_record)
                return
            record = decode_presence(data)
        except ValueError as error:
            log_event("presence.unreadable", offset=offset, reason=error)
            return
        self.presence.apply(record)
        self.usage_totals.apply(record.name, record.counts, record.made_at)
        for upstream_id, (started_at_ms, versions) in record.versions.items():
            self.view.record_versions(upstream_id, started_at_ms, versions)

    def _apply_rate_record(self, offset: int, record: RateRecord) -> None:
        if record.unreadable_count:
            reason = f"{record.unreadable_count} malformed departures"
            log_event("presence.unreadable", offset=offset, reason=reason)
        self.on_rate_record(record)
