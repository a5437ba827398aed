"""The adapter of the platform's interface for usage reports."""

from buckthornstile.platform._client import PlatformClient
from buckthornstile.records import UsageSeal


class HttpUsageReports:
    """The platform's interface for usage reports, over HTTP.

    Args:
        client: The client to call the platform with.

    Example:
        >>> reports = HttpUsageReports(PlatformClient("http://127.0.0.1:1"))
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def report(self, seal: UsageSeal, *, timeout: float) -> None:
        """Reports a sealed window, once.

        Args:
            seal: The window's seal; its window is the idempotency key.
            timeout: Seconds to wait for the answer.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
        """
        body = seal.model_dump_json().encode()
        await self.client.call_accepted("POST", "/usage", body=body, timeout=timeout)
