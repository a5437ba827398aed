"""Event log that writes JSON lines, at a bounded rate and without blocking."""

import json
import os
import sys
import time
from collections import deque
from collections.abc import Callable

import logbook

from buckthornstile.base import ProcessName
from buckthornstile.metrics import CounterName, Counters

MAX_LINES_PER_SECOND = 150
"""Rate limit of the log, in lines per second; lines beyond it are only counted."""
MAX_BURST_LINES = 600
"""Number of lines that may be written at once after a quiet period."""
MAX_VALUE_LENGTH = 200
"""Number of characters to which a field's text is truncated."""
MAX_RECENT_EVENTS = 1000
"""Number of latest events that a process keeps in memory for operators' queries."""
EVENTS_COUNTER = CounterName("events")
DROPPED_LINES_COUNTER = CounterName("log_lines_left_out")
_LOGGER = logbook.Logger("buckthornstile.events")


class EventLogHandler(logbook.Handler):
    """Writes events to a file descriptor, and never waits for its reader.

    Every event is counted by its name. Lines beyond the rate limit are dropped, as are
    lines that a full pipe does not accept. The field ``left_out`` of the next line that
    is written holds the number of lines dropped before it.

    Args:
        process: Name of this process, which each line holds.
        descriptor: File descriptor to write to, by default standard output; it is
            set to non-blocking mode.
        clock: Returns the monotonic time in seconds; used for the rate limit.
    """

    def __init__(
        self,
        process: ProcessName,
        *,
        descriptor: int | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(level=logbook.DEBUG)
        self.process = process
        self.descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self.clock = clock
        self.dropped_count = 0
        self.counters = Counters()
        self._recent: deque[dict[str, object]] = deque(maxlen=MAX_RECENT_EVENTS)
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock()
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Counts the event, and writes its line or counts the line as dropped."""
        event = record.extra["event"]
        self.counters.increment(EVENTS_COUNTER, event=event)
        fields: dict[str, object] = {
            "time": f"{time.time():.3f}",
            "process": self.process,
            "event": event,
            **record.extra["event_fields"],
        }
        self._recent.append(fields)
        now = self.clock()
        refilled = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(float(MAX_BURST_LINES), refilled)
        self._refilled_at = now
        if self._tokens < 1:
            self._count_dropped_line()
            return
        if self.dropped_count:
            fields["left_out"] = self.dropped_count
        line = json.dumps(fields, default=str, ensure_ascii=False) + "\n"
        try:
            written = os.write(self.descriptor, line.encode())
        except OSError:
            self._count_dropped_line()
            return
        self._tokens -= 1
        # A line that was written only in part is included in the next ``left_out``. It
        # has no line break, so the next line is appended to it, and neither can be
        # parsed.
        self.dropped_count = 0 if written == len(line.encode()) else 1

    def list_recent(self, subject: str = "") -> list[dict[str, object]]:
        """Returns the latest events, including those whose lines were dropped.

        Args:
            subject: A value of one of the event's fields, such as an id, a process or
                an error code; one item of a comma-separated value; or a prefix of the
                event's name. Empty for all events.
        """
        return [fields for fields in self._recent if _matches(fields, subject)]

    def count_events(self, subject: str = "") -> dict[str, int]:
        """Returns the number of events of each name that starts with ``subject``."""
        counts = self.counters.items().get(EVENTS_COUNTER, {})
        found = {
            dict(labels).get("event", "other"): int(count)
            for labels, count in counts.items()
        }
        return {
            event: count
            for event, count in sorted(found.items())
            if event.startswith(subject)
        }

    def _count_dropped_line(self) -> None:
        self.dropped_count += 1
        self.counters.increment(DROPPED_LINES_COUNTER)


def _matches(fields: dict[str, object], subject: str) -> bool:
    if not subject or str(fields["event"]).startswith(subject):
        return True
    return any(subject in str(value).split(",") for value in fields.values())


def log_event(event: str, **fields: object) -> None:
    """Logs an event.

    Args:
        event: The event's name, with a dot between its parts. Names of events must not
            change.
        **fields: Names and values of the event's fields. The event of a decision has
            the request's id, the inputs with their age or version, and the outcome. No
            field may hold an API key.

    Example:
        >>> log_event("route.refused", request="9c41", reason="no upstream")
    """
    limited = {name: _limit_value(value) for name, value in fields.items()}
    _LOGGER.debug("", extra={"event": event, "event_fields": limited})


def _limit_value(value: object) -> object:
    """Returns the value of a field with its precision or its length limited.

    Floats are rounded to 4 decimals. Integers, booleans and None are returned as they
    are. Any other value is converted to a text, which is truncated.
    """
    if isinstance(value, int | float | bool) or value is None:
        return round(value, 4) if isinstance(value, float) else value
    return str(value)[:MAX_VALUE_LENGTH]


def set_up_event_logging(process: ProcessName) -> EventLogHandler:
    """Installs and returns a handler that writes events to standard output."""
    handler = EventLogHandler(process)
    handler.push_application()
    return handler
