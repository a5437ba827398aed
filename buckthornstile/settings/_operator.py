"""The settings of the operators' commands."""

from pydantic import Field, field_validator

from buckthornstile.settings._common import (
    CommonSettings,
    check_address,
    check_url,
    make_number,
)


class OperatorSettings(CommonSettings):
    """Settings of the operators' commands."""

    store_address: str = Field(
        default="",
        description="The platform's store, as NUMBER:PORT; for what reads it.",
    )
    store_timeout: float = make_number(
        2.0, 0.05, 60, "s", "Time after which a call to the store is unanswered."
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

    @field_validator("store_address")
    @classmethod
    def _check_store_address(cls, value: str) -> str:
        return check_address(value)

    @field_validator("entries")
    @classmethod
    def _check_entries(cls, value: str) -> str:
        urls = [part.strip() for part in value.split(",") if part.strip()]
        return ",".join(check_url(url) for url in urls)

    def list_entries(self) -> tuple[str, ...]:
        """Lists the base URLs of the entries.

        Example:
            >>> OperatorSettings(entries="http://127.0.0.2:2").list_entries()
            ('http://127.0.0.2:2',)
        """
        return tuple(url for url in self.entries.split(",") if url)
