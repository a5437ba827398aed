"""The adapter of the platform's weight store."""

from pydantic import BaseModel, ValidationError

from buckthornstile.base import WeightVersion
from buckthornstile.platform._client import PlatformClient, make_malformed_error
from buckthornstile.ports import WeightManifest


class _Latest(BaseModel):
    manifest: WeightManifest | None


class HttpWeightStore:
    """The platform's weight store over HTTP.

    Args:
        client: The client to call the platform with.

    Example:
        >>> store = HttpWeightStore(PlatformClient("http://127.0.0.1:1"))
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def read_latest(self) -> WeightManifest | None:
        """Reads the newest manifest.

        Returns:
            The manifest, or None if nothing is published.

        Raises:
            PlatformUnavailableError: The store did not answer.
        """
        answer = await self.client.call_accepted("GET", "/weights")
        try:
            return _Latest.model_validate_json(answer).manifest
        except ValidationError as error:
            raise make_malformed_error(error) from error

    async def read_chunk(self, version: WeightVersion, index: int) -> bytes:
        """Reads one chunk.

        Args:
            version: The version of the weights.
            index: The chunk's place, from 0.

        Returns:
            The chunk, unchecked against the manifest's digest.

        Raises:
            PlatformUnavailableError: Rate limit, with ``retry_after`` if the
                store names it, or outage.
        """
        return await self.client.call_accepted(
            "GET", f"/weights/{version}/chunks/{index}"
        )
