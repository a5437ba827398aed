"""The settings of each role, with ranges and units.

A check that involves two settings stands at the later one; an earlier setting
that is itself wrong is absent from the check's data, so it is skipped then.
"""

import ipaddress
from enum import Enum
from typing import Any, Literal
from urllib.parse import urlsplit

from pydantic import Field, SecretStr, ValidationInfo, field_validator
from pydantic_settings import BaseSettings, SettingsConfigDict

from buckthornstile.base import (
    FailureDomain,
    ProcessName,
    check_name,
)

ENVIRONMENT_PREFIX = "BUCKTHORNSTILE_"
MINIMUM_SECRET_LENGTH = 16


class LogFormat(Enum):
    """How log lines are written."""

    HUMAN = "human"
    JSON = "json"


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


class CommonSettings(BaseSettings):
    """What daemons and operators' commands share."""

    model_config = SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX,
        extra="forbid",
        frozen=True,
        validate_default=True,
        env_ignore_empty=True,
    )

    platform_url: str = Field(description="Base URL of the platform's services.")
    platform_timeout: float = make_number(
        2.0,
        0.05,
        60,
        "s",
        "Time after which a call to the platform counts as unanswered.",
    )
    log_format: LogFormat = Field(
        default=LogFormat.HUMAN, description="Human or JSON lines on stderr."
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="Least level of the lines that are written."
    )

    @field_validator("platform_url")
    @classmethod
    def _check_platform_url(cls, value: str, info: ValidationInfo) -> str:
        # Only a role that needs no platform has a default, which is empty.
        is_optional = not cls.model_fields["platform_url"].is_required()
        return value if is_optional and not value else check_url(value)


class DaemonSettings(CommonSettings):
    """What entries and agents share."""

    process: ProcessName = Field(
        description="The process's name, unique in the deployment."
    )
    failure_domain: FailureDomain = Field(
        description="The failure domain that its VM is in."
    )
    address: str = Field(
        default="127.0.0.1", description="IP number on which it listens."
    )
    peer_port: int = make_number(
        7401,
        0,
        65535,
        "port",
        "TCP port for the system's own processes; 0 takes a free one.",
    )
    deployment_secret: SecretStr = Field(
        min_length=MINIMUM_SECRET_LENGTH,
        description="Secret that all its processes share; safer in a variable.",
        json_schema_extra={"unit": "characters"},
    )
    tls_certificate: str = Field(default="", description="Path of the certificate.")
    tls_key: str = Field(default="", description="Path of the certificate's key.")
    tls_ca: str = Field(
        default="", description="Path of the authority that peers are checked by."
    )
    heartbeat_interval: float = make_number(
        1.0, 0.05, 30, "s", "Time between two heartbeats to a peer."
    )
    heartbeat_timeout: float = make_number(
        3.0, 0.1, 120, "s", "Silence after which a peer counts as dead."
    )
    connect_timeout: float = make_number(
        1.0, 0.05, 30, "s", "Time for a connection to be made and proved."
    )
    log_wait: float = make_number(
        1.0, 0, 30, "s", "Time that one read of the platform's log waits for a record."
    )
    max_body_bytes: int = make_number(
        4 << 20, 1024, 256 << 20, "bytes", "Largest request body."
    )
    max_answer_bytes: int = make_number(
        16 << 20, 1024, 1 << 30, "bytes", "Largest answer of an upstream."
    )
    max_open_requests: int = make_number(
        2048, 1, 1_000_000, "requests", "Requests that may be open at once."
    )
    queue_length: int = make_number(
        512, 1, 100_000, "requests", "Requests that may wait at once."
    )
    stop_timeout: float = make_number(
        30.0, 0, 3600, "s", "Time that a planned stop leaves to open requests."
    )

    @field_validator("process", "failure_domain")
    @classmethod
    def _check_name(cls, value: str, info: ValidationInfo) -> str:
        check_name(str(info.field_name), value)
        return value

    @field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        try:
            ipaddress.ip_address(value)
        except ValueError as error:
            raise ValueError("must be an IP number") from error
        return value

    @field_validator("tls_ca")
    @classmethod
    def _check_tls(cls, value: str, info: ValidationInfo) -> str:
        paths = [info.data.get("tls_certificate"), info.data.get("tls_key"), value]
        if any(paths) and not all(paths):
            raise ValueError(
                "must be set together with tls_certificate and tls_key, or none of them"
            )
        return value

    @field_validator("heartbeat_timeout")
    @classmethod
    def _check_heartbeat(cls, value: float, info: ValidationInfo) -> float:
        interval = info.data.get("heartbeat_interval")
        if interval is not None and value < 2 * interval:
            raise ValueError(
                f"must be at least twice heartbeat_interval, {2 * interval} s"
            )
        return value
