"""The entry: the server process of the system."""

from buckthornstile.entry._daemon import Entry, run_entry

__all__ = ["Entry", "run_entry"]
