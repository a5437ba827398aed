"""Log lines: one structured line for each decision."""

from buckthornstile.logs._event_lines import (
    EventLineHandler,
    log_event,
    set_up_event_lines,
)
from buckthornstile.logs._secrets import hide_keys

__all__ = ["EventLineHandler", "hide_keys", "log_event", "set_up_event_lines"]
