"""Upstreams that stated that they leave, in responses or to other entries."""

import dataclasses
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import ProcessName, UpstreamId
from buckthornstile.gateway._rate_records import (
    MAX_LEAVING_STATEMENTS,
    LeavingStatement,
    RateRecord,
)
from buckthornstile.logs import log_event
from buckthornstile.messages import ResponseHead
from buckthornstile.topology import TopologyView, Upstream

PUBLICATION_TIME = 3.0
"""Seconds after a statement during which each presence record carries it: several
records in a row may be lost or read late."""
REPETITION_INTERVAL = 2.0
"""Seconds between two publications after that, while the upstream is still listed, for
entries that have started since."""


@dataclass(slots=True)
class _Publication:
    statement: LeavingStatement
    published_at: float


class LeavingUpstreams:
    """Records departures in the topology view, and exchanges them between entries.

    An entry publishes only what it learned from a response. It does not publish what
    another entry had told it before, so that the number of records does not grow with
    the number of entries that know.

    Args:
        name: Name of this process.
        view: The topology view, which excludes the upstreams that leave.
        clock: Returns the time in seconds.

    Attributes:
        counts: Number of departures that became known, by source: ``response`` or
            ``entry``.
    """

    def __init__(
        self, name: str, view: TopologyView, clock: Callable[[], float]
    ) -> None:
        self.name = name
        self.view = view
        self.clock = clock
        self.counts = Counter(response=0, entry=0)
        self._publications: dict[UpstreamId, _Publication] = {}

    def record_response(self, upstream: Upstream, head: ResponseHead) -> None:
        """Records that an upstream stated in a response that it leaves."""
        now = self.clock()
        started_at_ms = upstream.started_at_ms
        is_new = self.view.record_leaving(upstream.id, started_at_ms, now)
        publication = self._publications.get(upstream.id)
        is_published = (
            publication is not None
            and publication.statement.started_at_ms >= started_at_ms
        )
        if is_published:
            return
        # Also if another entry told it: that entry may be gone soon.
        self._publications[upstream.id] = _Publication(
            LeavingStatement(started_at_ms, now), now
        )
        if len(self._publications) > MAX_LEAVING_STATEMENTS:
            del self._publications[next(iter(self._publications))]
        if is_new:
            self._report(
                upstream.id, "response", address=upstream.address, status=head.status
            )

    def add_departures(self, record: RateRecord | None) -> RateRecord | None:
        """Returns the record to publish, with the departures that are due.

        Args:
            record: The record that would be published without departures, or None.
        """
        now = self.clock()
        departures = {}
        for upstream_id, publication in list(self._publications.items()):
            statement = publication.statement
            if now - statement.stated_at > PUBLICATION_TIME:
                if not self._is_listed(upstream_id, statement):
                    del self._publications[upstream_id]
                    continue
                if now - publication.published_at < REPETITION_INTERVAL:
                    continue
            publication.published_at = now
            departures[upstream_id] = LeavingStatement(
                statement.started_at_ms, statement.stated_at - now
            )
        if not departures:
            return record
        return dataclasses.replace(
            record or RateRecord(ProcessName(self.name)), departures=departures
        )

    def apply_record(self, record: RateRecord) -> None:
        """Applies the departures that another process knows."""
        if record.name == self.name:
            return
        now = self.clock()
        for upstream_id, statement in record.departures.items():
            if self.view.record_leaving(
                upstream_id, statement.started_at_ms, now + statement.stated_at
            ):
                self._report(
                    upstream_id,
                    "entry",
                    reported_by=record.name,
                    age=round(-statement.stated_at, 3),
                )

    def _is_listed(self, upstream_id: UpstreamId, statement: LeavingStatement) -> bool:
        listed = self.view.upstreams.get(upstream_id)
        return listed is not None and listed.started_at_ms == statement.started_at_ms

    def _report(self, upstream_id: UpstreamId, source: str, **fields: object) -> None:
        self.counts[source] += 1
        listed = self.view.upstreams.get(upstream_id)
        log_event(
            "upstream.leaving",
            upstream=upstream_id,
            source=source,
            listed=listed is not None,
            draining=listed is not None and listed.is_draining,
            **fields,
        )
