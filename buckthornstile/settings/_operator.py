"""Settings of the operators' commands."""

from pydantic import Field, field_validator

from buckthornstile.settings._common import (
    CommonSettings,
    check_address,
    check_url,
    make_number_field,
)


class OperatorSettings(CommonSettings):
    """Settings of the operators' commands."""

    store_address: str = Field(
        default="",
        description=(
            "Address of the platform's store, as IP:PORT, for commands that use "
            "the store."
        ),
    )
    store_timeout: float = make_number_field(
        2.0, 0.05, 60, "s", "Timeout of a call to the store."
    )
    entries: str = Field(
        default="",
        description="Base URLs of the entries to query, separated by commas.",
    )
    wait_timeout: float = make_number_field(
        10.0, 0, 600, "s", "Time to wait until a change is in effect on the entries."
    )
    operator: str = Field(
        default="",
        max_length=128,
        description="Name of the operator, recorded in the change history.",
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
        """Returns the base URLs of the entries.

        Example:
            >>> OperatorSettings(entries="http://127.0.0.2:2").list_entries()
            ('http://127.0.0.2:2',)
        """
        return tuple(url for url in self.entries.split(",") if url)
