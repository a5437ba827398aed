"""An operator plans a sheet, applies it and checks the state of the entries.

Run it with ``python -m examples.apply_sheet SHEET STORE_ADDRESS URL,URL``.
"""

import json
import subprocess
import sys
from typing import Any

NOT_IN_EFFECT_STATUS = 5
"""Exit status of a change that was accepted but is not yet in effect on all entries."""


def run_command(*arguments: str) -> tuple[int, dict[str, Any]]:
    """Runs an operator's command and returns its exit status and JSON output."""
    command = [sys.executable, "-m", "buckthornstile", *arguments, "--json"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.returncode, json.loads(completed.stdout)


def apply_sheet(sheet: str, store: str, entries: str) -> dict[str, str]:
    """Plans a sheet, applies it and prints the state of the entries.

    Returns:
        The new keys in clear text, by name; no later command shows them again.

    Raises:
        RuntimeError: The plan or the change failed.
    """
    flags = [f"--store_address={store}", f"--entries={entries}"]
    status, plan = run_command("config", "plan", sheet, flags[0])
    if status:
        raise RuntimeError(plan["message"])
    added = len(plan["added"]) + len(plan["new_keys"])
    print(f"{added} to add, {len(plan['changed'])} to change")
    status, applied = run_command(
        "config", "apply", sheet, *flags, "--operator=planner"
    )
    if status not in (0, NOT_IN_EFFECT_STATUS):
        raise RuntimeError(applied["message"])
    behind = applied["in_force"]["behind"]
    print(f"revision {applied['revision']}, not yet in effect on {behind or 'none'}")
    _, output = run_command("status", flags[1])
    for url, state in output["entries"].items():
        upstreams = len(state["upstreams"])
        revision = state["configuration"]["revision"]
        print(f"{url} has revision {revision} and knows {upstreams} upstreams")
    return applied["keys"]


if __name__ == "__main__":
    for name, api_key in apply_sheet(*sys.argv[1:4]).items():
        print(f"new key {name}, to hand to its holder: {api_key}")
