"""The entry: authenticates, routes, streams back, owns lots, counts usage."""

from buckthornstile.entry._daemon import Entry, run_entry, serve_entry

__all__ = ["Entry", "run_entry", "serve_entry"]
