"""Connects commands to the store and to entries."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.platform import StoreClient
from buckthornstile.settings import OperatorSettings

FetchJson = Callable[[str, float], Awaitable[dict[str, Any]]]
"""Fetches a JSON object from a URL, with a timeout in seconds."""


def make_store_client(settings: OperatorSettings) -> StoreClient:
    """Creates a client of the store.

    Args:
        settings: Settings of the operator's command.

    Raises:
        BuckthornstileError: ``store_address`` is not set.
    """
    if not settings.store_address:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "store_address is not set; set --store_address or "
            "BUCKTHORNSTILE_STORE_ADDRESS",
        )
    return StoreClient(settings.store_address)


async def fetch_json(url: str, timeout: float) -> dict[str, Any]:
    """Fetches a JSON object from an entry.

    Args:
        url: URL to fetch.
        timeout: Timeout of the request, in seconds.

    Returns:
        The decoded object.

    Raises:
        BuckthornstileError: ``CONNECTION_LOST``: there is no response, or it is not
            a JSON object.
    """
    client = AsyncHTTPClient()
    try:
        response = await client.fetch(
            url, connect_timeout=timeout, request_timeout=timeout
        )
        data = json.loads(response.body)
    except (TimeoutError, HTTPClientError, OSError, ValueError) as error:
        raise BuckthornstileError(
            ErrorCode.CONNECTION_LOST, f"request to {url} failed: {error}"
        ) from None
    if not isinstance(data, dict):
        raise BuckthornstileError(
            ErrorCode.CONNECTION_LOST, f"response from {url} is not a JSON object"
        )
    return data
