"""Polls entries until a configuration change is in effect on them."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.commands._clients import FetchJson, fetch_json
from buckthornstile.commands._submit import Sleep, SubmitResult

POLL_INTERVAL_S = 0.2
"""Time between two status requests to the same entry, in seconds."""

STATUS_TIMEOUT_S = 2.0
"""Timeout of one status request, in seconds."""


@dataclass(frozen=True, slots=True)
class PropagationStatus:
    """The result of waiting until a change is in effect.

    Args:
        asked: Number of entries that were queried.
        behind: Entries on which the change is not yet in effect, or that did not
            respond.
        waited: Time that was spent waiting, in seconds.
    """

    asked: int = 0
    behind: tuple[str, ...] = ()
    waited: float = 0.0


async def wait_until_propagated(
    entries: Sequence[str],
    result: SubmitResult,
    *,
    timeout: float,
    fetch: FetchJson = fetch_json,
    clock: Callable[[], float] = time.monotonic,
    sleep: Sleep = asyncio.sleep,
) -> PropagationStatus:
    """Waits until a change is in effect on every entry, or until a timeout.

    Args:
        entries: Base URLs of the entries.
        result: Result of submitting the change.
        timeout: Maximum time to wait, in seconds.
        fetch: Fetches a JSON object from a URL, with a timeout in seconds.
        clock: Returns the current time, in seconds.
        sleep: Waits for the given number of seconds.

    Returns:
        The number of queried entries, and those on which the change is not yet in
        effect.
    """
    started_at = clock()
    behind: tuple[str, ...] = tuple(entries)
    for _ in range(max(1, int(timeout / POLL_INTERVAL_S) + 1)):
        results = await asyncio.gather(
            *(_check_entry(url, result, fetch) for url in entries)
        )
        behind = tuple(dict.fromkeys(name for names in results for name in names))
        if not behind or clock() - started_at >= timeout:
            break
        await sleep(POLL_INTERVAL_S)
    return PropagationStatus(len(entries), behind, clock() - started_at)


async def _check_entry(url: str, result: SubmitResult, fetch: FetchJson) -> list[str]:
    try:
        status = await fetch(f"{url}/v1/status", STATUS_TIMEOUT_S)
    except BuckthornstileError:
        return [f"{url} (no answer)"]
    return list_outdated_entries(url, status, result)


def list_outdated_entries(
    url: str, status: dict[str, Any], result: SubmitResult
) -> list[str]:
    """Returns an entry's URL if its status shows that a change is not yet in effect.

    Args:
        url: Base URL of the entry.
        status: Status of the entry, with ``configuration.revision``.
        result: Result of submitting the change.

    Returns:
        The base URL of the entry, or an empty list if the change is in effect.

    Example:
        >>> result = SubmitResult(2, 7, True)
        >>> status = {"configuration": {"revision": 2}}
        >>> list_outdated_entries("http://127.0.0.1:1", status, result)
        []
    """
    configuration = status.get("configuration")
    revision = configuration.get("revision") if isinstance(configuration, dict) else 0
    if not isinstance(revision, int) or revision < result.revision:
        return [url]
    return []
