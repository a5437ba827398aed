"""Calls to the platform that only the holder of a duty may make."""

import asyncio
import json
from collections.abc import Mapping

from buckthornstile.base import BuckthornstileError, PlatformUnavailableError
from buckthornstile.http_client import ConnectionPool, HTTPRequest
from buckthornstile.platform._protocol_names import DUTY_HOLDER, DUTY_TERM


class DutyClient:
    """Reports to the platform in the name of the duty's holder.

    Args:
        address: Where the platform takes such calls, as ``IP:port``.

    Example:
        >>> DutyClient("127.0.0.1:1").address
        '127.0.0.1:1'
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = ConnectionPool(max_idle_per_peer=2)

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        *,
        holder: str,
        term: int,
        timeout: float,
    ) -> None:
        """Reports the requests of each account in a window.

        Raises:
            PlatformUnavailableError: It was refused or got no answer.
        """
        body = json.dumps({"window": window, "counts": dict(counts)}).encode()
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            (DUTY_HOLDER, holder),
            (DUTY_TERM, str(term)),
        ]
        request = HTTPRequest("POST", "/usage", headers, body)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._pool.send(self.address, request)
        except (TimeoutError, BuckthornstileError) as error:
            raise PlatformUnavailableError(f"usage report: {error}") from error
        if answer.status != 200:
            raise PlatformUnavailableError(
                f"usage report: status {answer.status}",
                may_have_taken_effect=answer.status not in (429, 503),
            )
