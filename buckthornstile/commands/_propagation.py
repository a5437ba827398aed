"""Asks entries whether a change is in force on them."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.commands._clients import Fetch, fetch_json
from buckthornstile.commands._submit import Sleep, SubmitResult

POLL_INTERVAL = 0.2
"""Time between two questions to the same entry, in seconds."""

FETCH_TIMEOUT = 2.0
"""Time to wait for one answer, in seconds."""


@dataclass(frozen=True, slots=True)
class PropagationStatus:
    """Where a change is in force.

    Args:
        asked: Entries that were asked.
        behind: Processes on which it is not yet, or that gave no answer.
        waited: Seconds that it took.
    """

    asked: int = 0
    behind: tuple[str, ...] = ()
    waited: float = 0.0


async def wait_until_propagated(
    entries: Sequence[str],
    result: SubmitResult,
    *,
    timeout: float,
    fetch: Fetch = fetch_json,
    clock: Callable[[], float] = time.monotonic,
    sleep: Sleep = asyncio.sleep,
) -> PropagationStatus:
    """Waits until every entry has a change, or time is up.

    Args:
        entries: The entries' base URLs.
        result: The change's revision and offset.
        timeout: Seconds to wait at most.
        fetch: Fetches a JSON object.
        clock: Gives the time in seconds.
        sleep: Waits that many seconds.

    Returns:
        Where it is in force.
    """
    started = clock()
    behind: tuple[str, ...] = tuple(entries)
    for _ in range(max(1, int(timeout / POLL_INTERVAL) + 1)):
        found = await asyncio.gather(*(_ask(url, result, fetch) for url in entries))
        behind = tuple(dict.fromkeys(name for names in found for name in names))
        if not behind or clock() - started >= timeout:
            break
        await sleep(POLL_INTERVAL)
    return PropagationStatus(len(entries), behind, clock() - started)


async def _ask(url: str, result: SubmitResult, fetch: Fetch) -> list[str]:
    try:
        status = await fetch(f"{url}/v1/status", FETCH_TIMEOUT)
    except BuckthornstileError:
        return [f"{url} (no answer)"]
    return find_outdated_processes(url, status, result)


def find_outdated_processes(
    url: str, status: dict[str, Any], result: SubmitResult
) -> list[str]:
    """Finds the processes that a status shows without the change.

    Args:
        url: The entry's base URL.
        status: Its status, with ``configuration.revision``.
        result: The change's revision and offset.

    Returns:
        The names of the processes.

    Example:
        >>> result = SubmitResult(2, 7, True)
        >>> status = {"configuration": {"revision": 2}}
        >>> find_outdated_processes("http://127.0.0.1:1", status, result)
        []
    """
    configuration = status.get("configuration")
    revision = configuration.get("revision") if isinstance(configuration, dict) else 0
    if not isinstance(revision, int) or revision < result.revision:
        return [url]
    return []
