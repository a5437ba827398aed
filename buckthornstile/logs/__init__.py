"""Structured event log, with one JSON line for each event."""

from buckthornstile.logs._event_log import (
    EventLogHandler,
    log_event,
    set_up_event_logging,
)
from buckthornstile.logs._redaction import redact_keys

__all__ = ["EventLogHandler", "redact_keys", "log_event", "set_up_event_logging"]
