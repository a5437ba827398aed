"""Runs an entry on the users' platform: ``python -m buckthornstile.entry``."""

from buckthornstile.entry import run_entry
from buckthornstile.platform import read_node_settings

if __name__ == "__main__":
    run_entry(read_node_settings())
