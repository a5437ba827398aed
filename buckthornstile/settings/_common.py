"""Base class, field helpers and address checks of all settings.

A check that involves two settings belongs to the setting that is declared later. If the
earlier one is invalid, pydantic does not pass its value to the check, which is skipped.
"""

import ipaddress
from typing import Any
from urllib.parse import urlsplit

from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

ENVIRONMENT_PREFIX = "BUCKTHORNSTILE_"
MAX_PORT = 65535


def make_number_field(
    default: float, minimum: float, maximum: float, unit: str, description: str
) -> Any:
    """Returns the pydantic field of a numeric setting.

    Args:
        default: Default value.
        minimum: Smallest allowed value.
        maximum: Largest allowed value.
        unit: Unit of the value.
        description: Meaning of the setting, for the reference page.

    Example:
        >>> make_number_field(1.0, 0, 9, "s", "A time.").default
        1.0
    """
    return Field(
        default=default,
        ge=minimum,
        le=maximum,
        allow_inf_nan=False,
        description=description,
        json_schema_extra={"unit": unit},
    )


def get_unit(json_schema_extra: Any) -> str:
    """Returns the unit of a setting, or an empty string if it has none.

    Args:
        json_schema_extra: Extra data of the setting's field.

    Example:
        >>> get_unit({"unit": "s"})
        's'
    """
    return (
        str(json_schema_extra.get("unit", ""))
        if isinstance(json_schema_extra, dict)
        else ""
    )


def check_url(value: str) -> str:
    """Checks a base URL and returns it without its trailing slash.

    Args:
        value: URL, whose host must be an IP address.

    Raises:
        ValueError: The URL is malformed, is not http or https, or its host is not an
            IP address.

    Example:
        >>> check_url("http://127.0.0.1:80/")
        'http://127.0.0.1:80'
    """
    try:
        parts = urlsplit(value)
        # Access to ``parts.port`` raises ValueError for an invalid port.
        is_valid = parts.scheme in ("http", "https") and (parts.port or 1) > 0
        if parts.hostname is None:
            is_valid = False
        else:
            ipaddress.ip_address(parts.hostname)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("must be http://IP:PORT or https://IP:PORT")
    return value.rstrip("/")


def check_address(value: str) -> str:
    """Checks an address of the form ``IP:PORT`` and returns it.

    Args:
        value: IP address and port, or an empty string for no address.

    Raises:
        ValueError: The address does not have this form.

    Example:
        >>> check_address("127.0.0.1:7400")
        '127.0.0.1:7400'
    """
    if not value:
        return value
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
        is_valid = port.isdigit() and int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("must be IP:PORT, such as 127.0.0.1:7400")
    return value


class CommonSettings(BaseSettings):
    """Base class of the settings of entries and of operators' commands."""

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        extra="forbid",
        frozen=True,
        validate_default=True,
        env_ignore_empty=True,
    )
