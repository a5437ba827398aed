"""The settings of an agent."""

from enum import Enum

from pydantic import Field, ValidationInfo, field_validator

from buckthornstile.base import ServiceName, UpstreamId, check_name
from buckthornstile.settings._common import DaemonSettings, check_url, make_number


class UpstreamKind(Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


class AgentSettings(DaemonSettings):
    """Settings of an agent."""

    upstream: UpstreamId = Field(description="The upstream that it stands beside.")
    service: ServiceName = Field(description="The service of that upstream.")
    upstream_url: str = Field(description="Base URL of the upstream.")
    upstream_kind: UpstreamKind = Field(
        default=UpstreamKind.SERVICE, description="Model engine or plain service."
    )
    initial_limit: int = make_number(
        2,
        1,
        10_000,
        "requests",
        "Concurrent requests to an upstream that just started.",
    )
    maximum_limit: int = make_number(
        64, 1, 10_000, "requests", "Concurrent requests that the limit may grow to."
    )
    state_interval: float = make_number(
        0.5, 0.05, 60, "s", "Time between two reads of the engine's state."
    )
    guard_memory: float = make_number(
        900.0, 1, 86_400, "s", "Time for which a finished request's id is remembered."
    )
    guard_capacity: int = make_number(
        200_000, 100, 10_000_000, "requests", "Request ids that are remembered at most."
    )
    max_finished_samples: int = make_number(
        4096, 1, 1_000_000, "samples", "Finished samples kept until acknowledged."
    )
    finished_sample_age: float = make_number(
        600.0, 1, 86_400, "s", "Time for which an unacknowledged sample is kept."
    )

    @field_validator("upstream", "service")
    @classmethod
    def _check_upstream_name(cls, value: str, info: ValidationInfo) -> str:
        check_name(str(info.field_name), value)
        return value

    @field_validator("upstream_url")
    @classmethod
    def _check_upstream_url(cls, value: str) -> str:
        return check_url(value)

    @field_validator("maximum_limit")
    @classmethod
    def _check_limit(cls, value: int, info: ValidationInfo) -> int:
        initial = info.data.get("initial_limit")
        if initial is not None and value < initial:
            raise ValueError(f"must be at least initial_limit, {initial}")
        return value
