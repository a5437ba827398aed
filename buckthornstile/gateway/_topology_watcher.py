"""Watches the records that operators, trainers and upstreams write to the store."""

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

OPERATOR_MAX_WAIT = 0.4
"""Maximum seconds of a long poll for operator records; limits the time for which a new
configuration can be unknown to this process."""
UPSTREAM_MAX_WAIT = 0.5
"""Maximum seconds of a long poll for upstream entries."""
UPSTREAM_POLL_INTERVAL = 0.12
"""Seconds between two polls; each upstream writes its entry about once per second."""
EXPIRY_OUTAGE_HEARTBEATS = 1.8
"""Length of a store outage, in heartbeat intervals, after which upstream entries may
have expired. An entry expires after three intervals, and one of them may have passed
before the outage."""
EXPIRY_CHECK_INTERVAL = 0.1
"""Seconds between two checks for expired entries whose grace period has passed."""


class TopologyWatcher:
    """Keeps a topology view up to date.

    ``configuration_applied_at`` is the time at which the configuration in effect was
    read.

    Args:
        store: The store.
        view: The view that is updated.
        clock: Returns the time in seconds; it must advance while the VM is suspended.
        on_change: Called after upstreams, evacuations, the configuration or named
            versions changed.
        heartbeat_interval: Seconds between two writes of an upstream's entry.
    """

    def __init__(
        self,
        store: StoreClient,
        view: TopologyView,
        *,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        heartbeat_interval: float,
    ) -> None:
        self.heartbeat_interval = heartbeat_interval
        self.view = view
        self.clock = clock
        self.on_change = on_change
        self.configuration_applied_at = clock()
        self._grace_until = 0.0
        self.operator_consumer = PartitionConsumer(
            store,
            OPERATOR_TOPIC,
            0,
            clock=clock,
            max_wait=OPERATOR_MAX_WAIT,
            on_record=self._apply_operator_record,
            on_snapshot=self._apply_operator_snapshot,
        )
        self.upstream_consumer = PartitionConsumer(
            store,
            UPSTREAM_TOPIC,
            0,
            clock=clock,
            max_wait=UPSTREAM_MAX_WAIT,
            poll_interval=UPSTREAM_POLL_INTERVAL,
            on_record=self._apply_upstream_record,
            on_snapshot=self._apply_upstream_snapshot,
        )

    def is_loaded(self) -> bool:
        """Whether a configuration and the upstreams have been read."""
        is_synced = (
            self.operator_consumer.is_loaded and self.upstream_consumer.is_loaded
        )
        return is_synced and self.view.configuration is not None

    async def run(self) -> None:
        """Consumes both topics until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.operator_consumer.run())
            group.create_task(self.upstream_consumer.run())
            group.create_task(self._remove_expired())

    def _apply_operator_snapshot(self, records: list[KeyedRecord]) -> None:
        failure_domains = {
            FailureDomain(record.key.removeprefix(EVACUATION_PREFIX))
            for record in records
            if record.key.startswith(EVACUATION_PREFIX)
        }
        self.view.replace_evacuations(failure_domains)
        for record in records:
            if not record.key.startswith(EVACUATION_PREFIX):
                self._apply_operator_record(record)
        self.on_change()

    def _apply_operator_record(self, record: KeyedRecord) -> None:
        try:
            self._apply_operator_value(record)
        except ValueError as error:
            log_event("operator.record_unreadable", key=record.key, reason=error)

    def _apply_operator_value(self, record: KeyedRecord) -> None:
        key, value = record.key, record.value
        if key.startswith(EVACUATION_PREFIX):
            failure_domain = FailureDomain(key.removeprefix(EVACUATION_PREFIX))
            self.view.apply_evacuation(failure_domain, value is not None)
            log_event(
                "evacuation.changed", zone=failure_domain, evacuated=value is not None
            )
            self.on_change()
        elif key == CONFIGURATION_KEY and value is not None:
            configuration = decode_configuration(value)
            if self.view.apply_configuration(configuration):
                self.configuration_applied_at = self.clock()
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

    def _apply_upstream_snapshot(self, records: list[KeyedRecord]) -> None:
        upstreams: dict[UpstreamId, Upstream] = {}
        for record in records:
            upstream = self._decode_upstream(record)
            if upstream is not None:
                upstreams[upstream.id] = upstream
        now = self.clock()
        until = self._get_grace_end(now)
        self.view.replace_upstreams(upstreams, now, until=until)
        self.on_change()

    def _apply_upstream_record(self, record: KeyedRecord) -> None:
        now = self.clock()
        name = UpstreamId(record.key)
        if record.value is None:
            until = self._get_grace_end(now)
            log_event("upstream.entry_gone", upstream=name, kept=max(0, until - now))
            self.view.remove_upstream(name, now, until=until)
            self.on_change()
            return
        upstream = self._decode_upstream(record)
        if upstream is None:
            self.view.remove_upstream(name, now)
            return
        previous = self.view.upstreams.get(name)
        if not self.view.apply_upstream(upstream, now):
            log_event(
                "upstream.entry_late",
                upstream=name,
                beat=upstream.sequence,
                known=previous is not None,
            )
            return
        if previous is None or _has_changed(previous, upstream):
            log_event(
                "upstream.changed",
                upstream=name,
                address=upstream.address,
                draining=upstream.is_draining,
                cold=upstream.cold_remaining,
                versions=",".join(map(str, upstream.versions.values())),
                software=upstream.software_version,
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

    def _get_grace_end(self, now: float) -> float:
        """Returns the end of the grace period for missing entries, or 0 for none.

        An entry that is missing after a long store outage may have expired only because
        its upstream could not write.
        """
        consumer = self.upstream_consumer
        disconnected_at = consumer.disconnected_at
        min_outage = EXPIRY_OUTAGE_HEARTBEATS * self.heartbeat_interval
        if (
            consumer.is_loaded
            and disconnected_at is not None
            and now - disconnected_at > min_outage
        ):
            self._grace_until = now + EXPIRY_GRACE
        return self._grace_until if self._grace_until > now else 0.0

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL)
            for name in self.view.remove_expired(self.clock()):
                log_event("upstream.lapsed", upstream=name)


def _has_changed(previous: Upstream, upstream: Upstream) -> bool:
    return (
        previous.is_draining != upstream.is_draining
        or previous.address != upstream.address
        or previous.versions != upstream.versions
        or previous.software_version != upstream.software_version
        or previous.started_at_ms != upstream.started_at_ms
    )
