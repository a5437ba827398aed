"""Log lines: one for each change of state, never with a key."""

from buckthornstile.logs._logs import hide_keys, log_change, set_up_logs

__all__ = ["hide_keys", "log_change", "set_up_logs"]
