"""The progress of an item over its runs, and the outcomes of runs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import groupby

from buckthornstile.base import SoftwareVersion
from buckthornstile.jobs import StoredProgress, VersionSpan
from buckthornstile.messages import StreamEvent


class RunOutcome(Enum):
    """Outcome of a run at an upstream."""

    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    BROKEN = "broken"
    TIMED_OUT = "silent"
    SLOW = "slow"
    TOO_LONG = "too_long"
    STALE_VERSION = "too_old"
    OTHER_VERSION = "other_version"
    STOPPED = "stopped"
    NOT_SENT = "not_sent"


UNTIMED_OUTCOMES = frozenset(
    {
        RunOutcome.REFUSED,
        RunOutcome.UNPROCESSABLE,
        RunOutcome.FAILED,
        RunOutcome.NOT_SENT,
    }
)
"""Outcomes of runs whose time tells nothing about the work of the item."""


@dataclass(slots=True)
class ItemProgress:
    """Progress of an item over all its runs.

    Attributes:
        events: Events that the runs have produced so far.
        software_version: Version of the software that produced them, or None before the
            first run.
        migrations: Number of times that the item was moved from a slow upstream.
        last_status: Status of the last response that was neither a refusal nor 422 nor
            500, or 0.
        stop: Ends the current run unless it is complete, or None without a run.
    """

    events: list[StreamEvent] = field(default_factory=list)
    software_version: SoftwareVersion | None = None
    migrations: int = 0
    last_status: int = 0
    stop: Callable[[], None] | None = None

    def get_last_event_id(self) -> int | None:
        """Returns the id of the last complete event, or None."""
        return self.events[-1].id if self.events else None

    def make_snapshot(self) -> StoredProgress:
        """Returns the events so far, to be stored."""
        return StoredProgress(tuple(self.events), self.software_version)

    def list_version_spans(self) -> tuple[VersionSpan, ...]:
        """Returns the versions that produced the events, in order."""
        return tuple(
            VersionSpan(version, len(list(events)))
            for version, events in groupby(self.events, lambda event: event.version)
        )

    def is_mixed(self) -> bool:
        """Whether several versions produced the events."""
        return any(event.version != self.events[0].version for event in self.events)

    def render_text(self) -> str:
        """Returns the text of the item, joined from the data of all events."""
        return "\n".join(event.data for event in self.events)
