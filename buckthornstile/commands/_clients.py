"""Reaches the store and entries from a command."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.platform import StoreClient
from buckthornstile.settings import OperatorSettings

Fetch = Callable[[str, float], Awaitable[dict[str, Any]]]


def make_store_client(settings: OperatorSettings) -> StoreClient:
    """Makes a client of the store.

    Args:
        settings: The operator's settings.

    Raises:
        BuckthornstileError: ``store_address`` is not set.
    """
    if not settings.store_address:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "store_address is not set; give --store_address or "
            "BUCKTHORNSTILE_STORE_ADDRESS",
        )
    return StoreClient(settings.store_address)


async def fetch_json(url: str, timeout: float) -> dict[str, Any]:
    """Fetches a JSON object from an entry.

    Args:
        url: The address.
        timeout: Seconds to wait.

    Returns:
        The object.

    Raises:
        BuckthornstileError: ``CONNECTION_LOST``: no answer or a useless one.
    """
    client = AsyncHTTPClient()
    try:
        answer = await client.fetch(
            url, connect_timeout=timeout, request_timeout=timeout
        )
        data = json.loads(answer.body)
    except (TimeoutError, HTTPClientError, OSError, ValueError) as error:
        raise BuckthornstileError(
            ErrorCode.CONNECTION_LOST, f"{url} gave no useful answer: {error}"
        ) from None
    if not isinstance(data, dict):
        raise BuckthornstileError(
            ErrorCode.CONNECTION_LOST, f"{url} did not answer with an object"
        )
    return data
