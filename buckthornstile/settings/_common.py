"""What the settings of all roles share: sources, ranges, units and addresses.

A check that involves two settings stands at the later one; an earlier setting
that is itself wrong is absent from the check's data, so it is skipped then.
"""

import ipaddress
from typing import Any
from urllib.parse import urlsplit

from pydantic import Field
from pydantic_settings import BaseSettings, SettingsConfigDict

ENVIRONMENT_PREFIX = "BUCKTHORNSTILE_"
MAX_PORT = 65535


def make_number(
    default: float, minimum: float, maximum: float, unit: str, description: str
) -> Any:
    """Makes the field of a number with its range and unit.

    Example:
        >>> make_number(1.0, 0, 9, "s", "A time.").default
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


def find_unit(extra: Any) -> str:
    """Finds the unit among a field's extra data.

    Example:
        >>> find_unit({"unit": "s"})
        's'
    """
    return str(extra.get("unit", "")) if isinstance(extra, dict) else ""


def check_url(value: str) -> str:
    """Checks a base URL, whose host must be an IP number.

    Example:
        >>> check_url("http://127.0.0.1:80/")
        'http://127.0.0.1:80'
    """
    try:
        parts = urlsplit(value)
        # Reading the port is what checks it.
        is_valid = parts.scheme in ("http", "https") and (parts.port or 1) > 0
        if parts.hostname is None:
            is_valid = False
        else:
            ipaddress.ip_address(parts.hostname)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("must be http://NUMBER:PORT or https://NUMBER:PORT")
    return value.rstrip("/")


def check_address(value: str) -> str:
    """Checks an address of the form ``NUMBER:PORT``; an empty one stands for none.

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
        raise ValueError("must be NUMBER:PORT, such as 127.0.0.1:7400")
    return value


class CommonSettings(BaseSettings):
    """What entries and operators' commands share."""

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        extra="forbid",
        frozen=True,
        validate_default=True,
        env_ignore_empty=True,
    )
