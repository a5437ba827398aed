"""Follows what operators, trainers and upstreams write to the store."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import FailureDomain, UpstreamId
from buckthornstile.consumers import PartitionConsumer
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    UPSTREAM_TOPIC,
    VERSION_PREFIX,
    KeyedRecord,
    StoreClient,
    decode_configuration,
    decode_named_version,
    decode_upstream,
)
from buckthornstile.topology import EXPIRY_GRACE, TopologyView, Upstream

OPERATOR_WAIT = 0.4
"""Seconds that a read is held: bounds how old a configuration can be unknown."""
UPSTREAM_WAIT = 0.5
UPSTREAM_PAUSE = 0.12
"""Seconds between reads; all upstreams write about once a second."""
LAPSE_BEATS = 1.8
"""Heartbeats without the store after which entries may have lapsed: they do after
three, of which one may have passed before."""
EXPIRY_PERIOD = 0.1
"""Seconds between two looks for lapsed entries whose grace has passed."""


class TopologyWatcher:
    """Keeps a topology view up to date.

    Args:
        store: The store.
        view: The view to keep.
        clock: Gives the time in seconds; it must go on while suspended.
        on_change: Called after upstreams or named versions changed.
        heartbeat: Seconds between two writes of an upstream.
    """

    def __init__(
        self,
        store: StoreClient,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        heartbeat: float,
    ) -> None:
        self.heartbeat = heartbeat
        self.view = view
        self.clock = clock
        self.on_change = on_change
        self._lapse_until = 0.0
        self.operator = PartitionConsumer(
            store,
            OPERATOR_TOPIC,
            0,
            clock=clock,
            max_wait=OPERATOR_WAIT,
            on_record=self._apply_operator,
            on_snapshot=self._apply_all_operator,
        )
        self.upstreams = PartitionConsumer(
            store,
            UPSTREAM_TOPIC,
            0,
            clock=clock,
            max_wait=UPSTREAM_WAIT,
            poll_interval=UPSTREAM_PAUSE,
            on_record=self._apply_upstream_record,
            on_snapshot=self._apply_all_upstreams,
        )

    def is_loaded(self) -> bool:
        """Whether a configuration and the upstreams are known."""
        is_read = self.operator.is_loaded and self.upstreams.is_loaded
        return is_read and self.view.configuration is not None

    async def run(self) -> None:
        """Follows both topics until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operator.run())
            group.create_task(self.upstreams.run())
            group.create_task(self._expire_lapsed())

    def _apply_all_operator(self, records: list[KeyedRecord]) -> None:
        zones = {
            FailureDomain(record.key.removeprefix(EVACUATION_PREFIX))
            for record in records
            if record.key.startswith(EVACUATION_PREFIX)
        }
        self.view.replace_evacuations(zones)
        for record in records:
            if not record.key.startswith(EVACUATION_PREFIX):
                self._apply_operator(record)
        self.on_change()

    def _apply_operator(self, record: KeyedRecord) -> None:
        try:
            self._decode_operator(record)
        except ValueError as error:
            log_event("operator.record_unreadable", key=record.key, reason=error)

    def _decode_operator(self, record: KeyedRecord) -> None:
        key, value = record.key, record.value
        if key.startswith(EVACUATION_PREFIX):
            zone = FailureDomain(key.removeprefix(EVACUATION_PREFIX))
            self.view.apply_evacuation(zone, value is not None)
            log_event("evacuation.changed", zone=zone, evacuated=value is not None)
            self.on_change()
        elif key == CONFIGURATION_KEY and value is not None:
            configuration = decode_configuration(value)
            if self.view.apply_configuration(configuration):
                log_event(
                    "configuration.applied",
                    version=configuration.version,
                    routes=len(configuration.routes),
                    offset=record.offset,
                )
                self.on_change()
        elif key.startswith(VERSION_PREFIX) and value is not None:
            model, version = decode_named_version(value)
            if self.view.apply_target_version(model, version):
                log_event("version.named", model=model, version=version)
                self.on_change()

    def _apply_all_upstreams(self, records: list[KeyedRecord]) -> None:
        upstreams: dict[UpstreamId, Upstream] = {}
        for record in records:
            upstream = self._decode_upstream(record)
            if upstream is not None:
                upstreams[upstream.id] = upstream
        now = self.clock()
        until = self._get_lapse_end(now)
        self.view.replace_upstreams(upstreams, now, until=until)
        self.on_change()

    def _apply_upstream_record(self, record: KeyedRecord) -> None:
        now = self.clock()
        name = UpstreamId(record.key)
        if record.value is None:
            until = self._get_lapse_end(now)
            log_event("upstream.entry_gone", upstream=name, kept=max(0, until - now))
            self.view.remove_upstream(name, now, until=until)
            self.on_change()
            return
        upstream = self._decode_upstream(record)
        if upstream is None:
            self.view.remove_upstream(name, now)
            return
        known = self.view.upstreams.get(name)
        if not self.view.apply_upstream(upstream, now):
            log_event(
                "upstream.entry_late",
                upstream=name,
                beat=upstream.sequence,
                known=known is not None,
            )
            return
        if known is None or _differs(known, upstream):
            log_event(
                "upstream.changed",
                upstream=name,
                address=upstream.address,
                draining=upstream.is_draining,
                cold=upstream.cold_remaining,
                versions=",".join(map(str, upstream.versions.values())),
            )
        self.on_change()

    def _decode_upstream(self, record: KeyedRecord) -> Upstream | None:
        if record.value is None:
            return None
        try:
            return decode_upstream(record.key, record.value)
        except ValueError as error:
            log_event("upstream.entry_unreadable", upstream=record.key, reason=error)
            return None

    def _get_lapse_end(self, now: float) -> float:
        """Until when a missing entry may have lapsed while the store was away."""
        consumer = self.upstreams
        lost_at = consumer.disconnected_at
        outage = LAPSE_BEATS * self.heartbeat
        if consumer.is_loaded and lost_at is not None and now - lost_at > outage:
            self._lapse_until = now + EXPIRY_GRACE
        return self._lapse_until if self._lapse_until > now else 0.0

    async def _expire_lapsed(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD)
            for name in self.view.remove_expired(self.clock()):
                log_event("upstream.lapsed", upstream=name)


def _differs(known: Upstream, upstream: Upstream) -> bool:
    return (
        known.is_draining != upstream.is_draining
        or known.address != upstream.address
        or known.versions != upstream.versions
        or known.started_at_ms != upstream.started_at_ms
    )
