"""The settings of the operators' commands."""

from pydantic import Field, field_validator

from buckthornstile.settings._common import CommonSettings, check_url, make_number


class OperatorSettings(CommonSettings):
    """Settings of the operators' commands."""

    platform_url: str = Field(
        default="",
        description="Base URL of the platform's services; for what uses the log.",
    )
    entries: str = Field(
        default="",
        description="Base URLs of entries to ask, separated by commas.",
    )
    wait_timeout: float = make_number(
        10.0, 0, 600, "s", "Time to wait until a change is in force on the entries."
    )
    operator: str = Field(
        default="",
        max_length=128,
        description="Who makes the change, for the history.",
        json_schema_extra={"unit": "characters"},
    )

    @field_validator("entries")
    @classmethod
    def _check_entries(cls, value: str) -> str:
        urls = [part.strip() for part in value.split(",") if part.strip()]
        return ",".join(check_url(url) for url in urls)

    def list_entries(self) -> tuple[str, ...]:
        """Lists the base URLs of the entries.

        Example:
            >>> settings = OperatorSettings(
            ...     platform_url="http://127.0.0.1:1", entries="http://127.0.0.2:2"
            ... )
            >>> settings.list_entries()
            ('http://127.0.0.2:2',)
        """
        return tuple(url for url in self.entries.split(",") if url)
