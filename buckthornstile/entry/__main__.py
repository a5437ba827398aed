"""Runs an entry: ``python -m buckthornstile.entry``.

The environment variable ``BUCKTHORNSTILE_CONFIG`` holds the path of its settings file.
"""

from buckthornstile.entry import run_entry
from buckthornstile.platform import read_node_settings

if __name__ == "__main__":
    run_entry(read_node_settings())
