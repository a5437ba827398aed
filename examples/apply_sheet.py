"""An operator's morning: plan the sheet, apply it, and look that all is well.

Run it with ``python -m examples.apply_sheet SHEET STORE_ADDRESS URL,URL``.
"""

import json
import subprocess
import sys
from typing import Any

NOT_IN_FORCE = 5  # exit status: accepted, but not yet in force everywhere


def run(*words: str) -> tuple[int, dict[str, Any]]:
    """Runs a command of the product, and gives its exit status and output."""
    command = [sys.executable, "-m", "buckthornstile", *words, "--json"]
    ended = subprocess.run(command, capture_output=True, text=True, check=False)
    return ended.returncode, json.loads(ended.stdout)


def apply_morning_sheet(sheet: str, store: str, entries: str) -> dict[str, str]:
    """Plans a sheet, applies it and shows the entries' state.

    Returns:
        The new keys in clear, which no later command shows again.

    Raises:
        RuntimeError: The sheet was refused.
    """
    flags = [f"--store_address={store}", f"--entries={entries}"]
    status, plan = run("config", "plan", sheet, flags[0])
    if status:
        raise RuntimeError(plan["message"])
    added = len(plan["added"]) + len(plan["new_keys"])
    print(f"{added} to add, {len(plan['changed'])} to change")
    status, applied = run("config", "apply", sheet, *flags, "--operator=planner")
    if status not in (0, NOT_IN_FORCE):
        raise RuntimeError(applied["message"])
    behind = applied["in_force"]["behind"]
    print(f"revision {applied['revision']}, not yet in force on {behind or 'none'}")
    _, answer = run("status", flags[1])
    for url, state in answer["entries"].items():
        upstreams = len(state["upstreams"])
        revision = state["configuration"]["revision"]
        print(f"{url} has revision {revision} and knows {upstreams} upstreams")
    return applied["keys"]


if __name__ == "__main__":
    for name, clear in apply_morning_sheet(*sys.argv[1:4]).items():
        print(f"give to the holder of {name}: {clear}")
