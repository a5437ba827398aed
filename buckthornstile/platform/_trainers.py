"""The adapter of the platform's interface to trainers."""

from pydantic import BaseModel, ValidationError

from buckthornstile.platform._client import PlatformClient, make_malformed_error
from buckthornstile.ports import TrainerReport


class _TrainerList(BaseModel):
    trainers: list[TrainerReport]


class HttpTrainers:
    """The platform's interface to trainers, over HTTP.

    Args:
        client: The client to call the platform with.

    Example:
        >>> trainers = HttpTrainers(PlatformClient("http://127.0.0.1:1"))
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def list_trainers(self) -> tuple[TrainerReport, ...]:
        """Lists trainers with the version that each one trains now.

        Returns:
            One report for each trainer.

        Raises:
            PlatformUnavailableError: The platform did not answer.
        """
        answer = await self.client.call_accepted("GET", "/trainers")
        try:
            return tuple(_TrainerList.model_validate_json(answer).trainers)
        except ValidationError as error:
            raise make_malformed_error(error) from error
