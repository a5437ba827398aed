"""Client for the reports that only the holder of a duty may send to the platform."""

import asyncio
import json
from collections.abc import Callable, Mapping

from buckthornstile.base import BuckthornstileError, PlatformUnavailableError
from buckthornstile.http_client import ConnectionPool, HTTPRequest, ResponseLimit
from buckthornstile.platform._protocol_names import DUTY_HOLDER_HEADER, DUTY_TERM_HEADER

MAX_REPORT_RESPONSE_BYTES = 64 << 10


class DutyClient:
    """Sends reports to the platform on behalf of a duty's holder.

    Args:
        address: Address at which the platform accepts reports, as ``IP:port``.

    Example:
        >>> DutyClient("127.0.0.1:1").address
        '127.0.0.1:1'
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = ConnectionPool(
            max_idle_per_peer=2,
            limit=ResponseLimit(max_response_bytes=MAX_REPORT_RESPONSE_BYTES),
        )

    async def report_usage(
        self,
        window: int,
        counts: Mapping[str, int],
        *,
        holder: str,
        term: int,
        timeout: float,
        before_send: Callable[[], None] | None = None,
    ) -> None:
        """Reports how many requests each client account sent in a usage window.

        Args:
            window: Number of the usage window.
            counts: Number of requests of each client account.
            holder: The duty's holder.
            term: The holder's term; the platform refuses reports of earlier terms.
            timeout: Seconds to wait for the response.
            before_send: Called just before the report is written; raises if it must no
                longer be sent.

        Raises:
            PlatformUnavailableError: The report was refused or got no response.
        """
        body = json.dumps({"window": window, "counts": dict(counts)}).encode()
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            (DUTY_HOLDER_HEADER, holder),
            (DUTY_TERM_HEADER, str(term)),
        ]
        request = HTTPRequest("POST", "/usage", headers, body)
        try:
            async with asyncio.timeout(timeout):
                response = await self._pool.send(
                    self.address, request, before_send=before_send
                )
        except (TimeoutError, BuckthornstileError) as error:
            raise PlatformUnavailableError(f"usage report failed: {error}") from error
        if response.status != 200:
            raise PlatformUnavailableError(
                f"usage report failed: status {response.status}",
                may_have_taken_effect=response.status not in (429, 503),
            )
