"""Tells other entries that this one lives, and takes in what they tell."""

import asyncio
import contextlib
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, ProcessName
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.duties import UsageCounter, UsageTotals
from buckthornstile.gateway import (
    PRESENCE_INTERVAL,
    PRESENCE_TOPIC,
    LoadedVersions,
    PresenceRecord,
    PresenceTable,
    decode_presence,
)
from buckthornstile.logs import log_event
from buckthornstile.platform import StoreClient
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import TopologyView

SETTLE_TIME = 0.3
"""Seconds after the first reading of presence records until they are acted on."""
PRESENCE_WAIT = 0.4
PRESENCE_PAUSE = 0.1
APPEND_TIMEOUT = 0.5
"""Seconds; a second try, by another way to the store, must come before others take
this process as gone."""
RETRY_PAUSE = 0.2
"""Seconds before a record is made again that the store did not take."""


class PresencePublisher:
    """Appends this process's presence records and reads those of all.

    Args:
        name: This process's name.
        settings: Its settings.
        store: The store.
        view: Takes what others saw engines hold.
        clock: The time in seconds; it must go on while suspended.
        wall_clock: Seconds since the epoch.
        list_unpublished_versions: Gives what engines hold before their entries say so.
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
    ) -> None:
        self.name = name
        self.settings = settings
        self.store = store
        self.view = view
        self.clock = clock
        self.wall_clock = wall_clock
        self.list_unpublished_versions = list_unpublished_versions
        self.is_leaving = False
        self.address = settings.peer_address
        self.presence = PresenceTable(clock)
        self.counter = UsageCounter(settings.usage_window)
        self.totals = UsageTotals(settings.usage_window)
        self.consumer = PartitionConsumer(
            store,
            PRESENCE_TOPIC,
            0,
            clock=clock,
            max_wait=PRESENCE_WAIT,
            poll_interval=PRESENCE_PAUSE,
            on_raw_record=self._apply,
            on_caught_up=self.presence.on_caught_up,
        )
        self._news = asyncio.Event()

    def is_presence_known(self) -> bool:
        """Whether the entries that live are known well enough to act on."""
        if self.consumer.reconnected_at < 0:
            return False
        return self.clock() - self.consumer.reconnected_at > SETTLE_TIME

    def request_publish(self) -> None:
        """Asks for a record at once, since there is news."""
        self._news.set()

    async def run(self) -> None:
        """Appends records until cancelled."""
        while True:
            is_stored = await self.publish()
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    PRESENCE_INTERVAL if is_stored else RETRY_PAUSE
                ):
                    await self._news.wait()

    async def publish(self) -> bool:
        """Appends one record; a failure is logged and the next one makes it good.

        Returns:
            Whether the store took it.
        """
        now = self.wall_clock()
        record = PresenceRecord(
            self.name,
            self.settings.process,
            is_leaving=self.is_leaving,
            counts=self.counter.get_counts(now),
            versions=self.list_unpublished_versions(),
            failure_domain=self.settings.failure_domain,
            address=self.address,
            made_at=now,
        )
        try:
            await self.store.append(
                PRESENCE_TOPIC, 0, [record.encode()], timeout=APPEND_TIMEOUT
            )
        except BuckthornstileError as error:
            log_event("presence.append_failed", reason=error.message)
            return False
        return True

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            record = decode_presence(data)
        except ValueError as error:
            log_event("presence.unreadable", offset=offset, reason=error)
            return
        self.presence.apply(record)
        self.totals.apply(record.name, record.counts, record.made_at)
        for upstream_id, (started_at_ms, versions) in record.versions.items():
            self.view.record_versions(upstream_id, started_at_ms, versions)
