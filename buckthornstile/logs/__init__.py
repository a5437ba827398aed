"""Log lines: changes of state for people, and one line for each decision."""

from buckthornstile.logs._event_lines import (
    EventLineHandler,
    log_event,
    set_up_event_lines,
)
from buckthornstile.logs._logs import hide_keys, log_change, set_up_logs

__all__ = [
    "EventLineHandler",
    "hide_keys",
    "log_change",
    "log_event",
    "set_up_event_lines",
    "set_up_logs",
]
