"""Runs the product's commands, as an operator does."""

import asyncio
import json
import sys
from collections.abc import Sequence
from typing import Any

COMMAND_TIMEOUT = 30.0  # seconds


async def run_command(*arguments: str, flags: Sequence[str] = ()) -> dict[str, Any]:
    """Runs ``python -m buckthornstile …`` with ``--json``.

    Args:
        *arguments: The command and its arguments.
        flags: Settings, such as ``--platform_url=…``.

    Returns:
        The JSON output of the command.

    Raises:
        RuntimeError: The exit status is not zero.
        TimeoutError: The command ran longer than ``COMMAND_TIMEOUT``.
    """
    command = [sys.executable, "-m", "buckthornstile", *arguments, *flags, "--json"]
    process = await asyncio.create_subprocess_exec(
        *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT):
            output, error_output = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    name = " ".join(arguments)
    if process.returncode != 0:
        raise RuntimeError(f"{name}: {error_output.decode()}{output.decode()}")
    return json.loads(output)
