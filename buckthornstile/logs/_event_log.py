"""One structured line for each decision, bounded and without blocking."""

import json
import os
import sys
import time
from collections import deque
from collections.abc import Callable

import logbook

from buckthornstile.base import ProcessName
from buckthornstile.metrics import CounterName, Counters

LINES_PER_SECOND = 150
"""Lines a second that a process writes; further ones are counted only."""
BURST_LINES = 600
MAX_VALUE_LENGTH = 200
RECENT_LINES = 1000
"""Events that are kept for operators who ask the process itself."""
EVENTS = CounterName("events")
LEFT_OUT = CounterName("log_lines_left_out")
_LOGGER = logbook.Logger("buckthornstile.events")


class EventLogHandler(logbook.Handler):
    """Writes event lines to a descriptor and never waits for its reader.

    Each event is counted by its name. Lines beyond the rate, and those that a full
    pipe does not take, are left out; the next line that is written says how many in
    ``left_out``.

    Args:
        process: The name that each line carries.
        descriptor: Where to write; it is set to not block.
        clock: Gives the steady time in seconds.
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
        self.left_out = 0
        self.counters = Counters()
        self._recent: deque[dict[str, object]] = deque(maxlen=RECENT_LINES)
        self._tokens = float(BURST_LINES)
        self._filled_at = clock()
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Counts the event and writes its line, or counts the line as left out."""
        event = record.extra["event"]
        self.counters.increment(EVENTS, event=event)
        fields: dict[str, object] = {
            "time": f"{time.time():.3f}",
            "process": self.process,
            "event": event,
            **record.extra["event_fields"],
        }
        self._recent.append(fields)
        now = self.clock()
        filled = self._tokens + (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(float(BURST_LINES), filled)
        self._filled_at = now
        if self._tokens < 1:
            self._leave_out()
            return
        if self.left_out:
            fields["left_out"] = self.left_out
        line = json.dumps(fields, default=str, ensure_ascii=False) + "\n"
        try:
            written = os.write(self.descriptor, line.encode())
        except OSError:
            self._leave_out()
            return
        self._tokens -= 1
        # A torn line would hide the next one: end it with that one's own start.
        self.left_out = 0 if written == len(line.encode()) else 1

    def list_recent(self, subject: str = "") -> list[dict[str, object]]:
        """Lists the newest events, also those whose lines were left out.

        Args:
            subject: An id, process or code that they name, or an event's first
                words; empty for all.
        """
        return [fields for fields in self._recent if _names(fields, subject)]

    def count_events(self, subject: str = "") -> dict[str, int]:
        """Counts all events by their names, which begin with the subject."""
        counts = self.counters.items().get(EVENTS, {})
        found = {
            dict(labels).get("event", "other"): int(count)
            for labels, count in counts.items()
        }
        return {
            event: count
            for event, count in sorted(found.items())
            if event.startswith(subject)
        }

    def _leave_out(self) -> None:
        self.left_out += 1
        self.counters.increment(LEFT_OUT)


def _names(fields: dict[str, object], subject: str) -> bool:
    if not subject or str(fields["event"]).startswith(subject):
        return True
    return any(subject in str(value).split(",") for value in fields.values())


def log_event(event: str, **fields: object) -> None:
    """Writes one line about a decision.

    Args:
        event: What was decided, as a stable dotted name.
        **fields: The request's id, the inputs with their age or version, and the
            outcome; never a key.

    Example:
        >>> log_event("route.refused", request="9c41", reason="no upstream")
    """
    shown = {name: _shorten(value) for name, value in fields.items()}
    _LOGGER.debug("", extra={"event": event, "event_fields": shown})


def _shorten(value: object) -> object:
    if isinstance(value, int | float | bool) or value is None:
        return round(value, 4) if isinstance(value, float) else value
    return str(value)[:MAX_VALUE_LENGTH]


def set_up_event_logging(process: ProcessName) -> EventLogHandler:
    """Sends event lines of this process to standard output."""
    handler = EventLogHandler(process)
    handler.push_application()
    return handler
