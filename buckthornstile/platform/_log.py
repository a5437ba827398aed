"""The adapter of the platform's log."""

from pydantic import Base64Bytes, BaseModel, ValidationError

from buckthornstile.base import Offset
from buckthornstile.platform._client import PlatformClient, make_malformed_error
from buckthornstile.ports import LogEntry, LogPage


class _Appended(BaseModel):
    offset: int


class _Entry(BaseModel):
    offset: int
    data: Base64Bytes


class _Page(BaseModel):
    entries: list[_Entry]
    first_retained: int
    next_offset: int


class HttpLog:
    """The platform's log over HTTP.

    Args:
        client: The client to call the platform with.

    Example:
        >>> log = HttpLog(PlatformClient("http://127.0.0.1:1"))
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def append(self, data: bytes) -> Offset:
        """Appends one record.

        Args:
            data: The encoded record.

        Returns:
            The record's offset.

        Raises:
            PlatformUnavailableError: It failed, or timed out and may yet take
                effect.
        """
        answer = await self.client.call_accepted("POST", "/log", body=data)
        try:
            return Offset(_Appended.model_validate_json(answer).offset)
        except ValidationError as error:
            raise make_malformed_error(error) from error

    async def read(
        self, first: Offset, *, limit: int = 500, wait: float = 0.0
    ) -> LogPage:
        """Reads from an offset on, waiting for a record if there is none.

        Args:
            first: The first offset wanted.
            limit: The most entries to read.
            wait: Seconds to wait for a record.

        Returns:
            The page.

        Raises:
            PlatformUnavailableError: The log did not answer.
        """
        answer = await self.client.call_accepted(
            "GET",
            f"/log?first={first}&limit={limit}&wait={wait}",
            timeout=self.client.timeout + wait,
        )
        try:
            page = _Page.model_validate_json(answer)
        except ValidationError as error:
            raise make_malformed_error(error) from error
        entries = (LogEntry(Offset(e.offset), e.data) for e in page.entries)
        return LogPage(
            entries=tuple(entries),
            first_retained=Offset(page.first_retained),
            next_offset=Offset(page.next_offset),
        )
