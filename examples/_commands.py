"""Runs the product's own commands, as an operator does."""

import asyncio
import json
import sys
from collections.abc import Sequence
from typing import Any

COMMAND_TIMEOUT = 30.0  # seconds


async def run_command(*words: str, flags: Sequence[str] = ()) -> dict[str, Any]:
    """Runs ``python -m buckthornstile …`` with ``--json``.

    Args:
        words: The command and its arguments.
        flags: Settings, such as ``--platform_url=…``.

    Returns:
        What it printed.

    Raises:
        RuntimeError: Its exit status is not zero, or it took too long.
    """
    command = [sys.executable, "-m", "buckthornstile", *words, *flags, "--json"]
    process = await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT):
            output, complaint = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    name = " ".join(words)
    if process.returncode != 0:
        raise RuntimeError(f"{name}: {complaint.decode()}{output.decode()}")
    return json.loads(output)
