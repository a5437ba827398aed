"""Makes what the commands reach the platform, entries and daemons by.

The imports are late, so that a command loads only what it uses.
"""

import importlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.ports import LogPort
from buckthornstile.settings import OperatorSettings

Fetch = Callable[[str, float], Awaitable[dict[str, Any]]]


def make_log_port(settings: OperatorSettings) -> LogPort:
    """Makes the port to the platform's log.

    Args:
        settings: The operator's settings.

    Returns:
        The port.

    Raises:
        BuckthornstileError: ``platform_url`` is not set.
    """
    if not settings.platform_url:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "platform_url is not set; give --platform_url or "
            "BUCKTHORNSTILE_PLATFORM_URL",
        )
    platform = importlib.import_module("buckthornstile.platform")
    ports = platform.make_platform_ports(
        settings.platform_url, timeout=settings.platform_timeout
    )
    log: LogPort = ports.log
    return log


def load_daemon(module: str, function: str) -> Callable[[Any], Any]:
    """Loads the function that runs a daemon.

    Args:
        module: The subject's name in this package.
        function: The function's name.

    Returns:
        The function.
    """
    loaded: Callable[[Any], Any] = getattr(
        importlib.import_module(f"buckthornstile.{module}"), function
    )
    return loaded


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
