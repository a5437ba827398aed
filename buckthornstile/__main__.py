"""Runs the command line."""

import sys

from buckthornstile.agent import run_agent
from buckthornstile.entry import run_entry
from buckthornstile.settings import AgentSettings, EntrySettings, load_settings

if __name__ == "__main__":
    flags = dict(a[2:].replace("-", "_", 1).split("=", 1) for a in sys.argv[2:])
    flags = {k.replace("-", "_"): v for k, v in flags.items()}
    if sys.argv[1] == "entry":
        run_entry(load_settings(EntrySettings, flags))
    else:
        run_agent(load_settings(AgentSettings, flags))
