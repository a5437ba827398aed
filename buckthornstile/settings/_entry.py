"""The settings of an entry.

On the users' platform they come from the file that the platform writes
(``buckthornstile.platform.read_node_settings``), else from flags and variables.
"""

from pydantic import Field, ValidationInfo, field_validator

from buckthornstile.base import FailureDomain, ProcessName, check_name
from buckthornstile.settings._common import (
    CommonSettings,
    check_address,
    make_number,
)

NO_PORT = "An empty one serves none."
LEAST_SETTINGS = {
    "max_timeout": ("default_timeout", "s"),
    "max_append_bytes": ("max_record_bytes", "bytes"),
    "usage_due": ("usage_window", "s"),
}
"""Settings that may not be below another one, with the unit of both."""


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    process: ProcessName = Field(
        description="The process's name, unique in the deployment."
    )
    failure_domain: FailureDomain = Field(
        description="The failure domain that its VM is in."
    )
    store_address: str = Field(description="The platform's store, as NUMBER:PORT.")
    client_address: str = Field(
        default="",
        description=f"Where clients of the platform's protocol connect. {NO_PORT}",
    )
    ready_address: str = Field(
        default="", description=f"Where the balancer asks for readiness. {NO_PORT}"
    )
    metrics_address: str = Field(
        default="", description=f"Where metrics are served. {NO_PORT}"
    )
    peer_address: str = Field(
        default="",
        description=(
            "Where other entries pass on requests about jobs, needed where more than "
            "12 entries run, and calls to the store that they cannot reach; port 0 "
            "takes a free one."
        ),
    )
    api_address: str = Field(
        default="",
        description=(
            f"Where callers, trainers and operators connect; port 0 takes a free "
            f"one. {NO_PORT}"
        ),
    )
    duty_address: str = Field(
        default="",
        description="Where the platform takes usage reports; an empty one gets none.",
    )
    store_parts: int = make_number(
        1, 1, 1024, "partitions", "Partitions that a topic of the store may have."
    )
    max_record_bytes: int = make_number(
        256 << 10, 1024, 64 << 20, "bytes", "Longest record that the store takes."
    )
    max_append_bytes: int = make_number(
        2 << 20, 4096, 256 << 20, "bytes", "Most that one append to the store takes."
    )
    heartbeat: float = make_number(
        1.0, 0.05, 60, "s", "Time between two writes of an upstream to the store."
    )
    stop_grace: float = make_number(
        8.0, 0, 3600, "s", "Time between SIGTERM and the platform's SIGKILL."
    )
    key_bound: float = make_number(
        5.0, 0.5, 3600, "s", "Time within which a withdrawn key must stop working."
    )
    fails_closed: bool = Field(
        default=True,
        description="Whether keys are refused that have not been checked in time.",
    )
    turn_bound: float = make_number(
        3.0, 0.3, 300, "s", "Time in which the lease may not change there and back."
    )
    usage_window: float = make_number(
        5.0, 0.1, 86_400, "s", "Length of a usage window."
    )
    usage_due: float = make_number(
        10.0, 0.1, 86_400, "s", "Time after a window's end until its report is due."
    )
    result_lifetime: float = make_number(
        120.0, 1, 86_400, "s", "Time for which a job's results stay readable."
    )
    cold_overage: float = make_number(
        1.0, 0.01, 100, "times", "Part of a cold upstream's rate that is used."
    )
    cold_slack: float = make_number(
        0.0, 0, 10_000, "requests/s", "Requests beyond a cold upstream's rate."
    )
    cold_rate: float = make_number(
        0.0,
        0,
        100_000,
        "requests/s",
        "What a cold upstream bears whose service names no rate; 0 for any number.",
    )
    default_timeout: float = make_number(
        60.0, 0.1, 3600, "s", "Deadline of a call that names none."
    )
    max_timeout: float = make_number(
        600.0, 0.1, 86_400, "s", "Longest deadline that a caller may name."
    )
    max_body_bytes: int = make_number(
        4 << 20, 1024, 256 << 20, "bytes", "Largest body of a call or lot."
    )
    max_open_calls: int = make_number(
        2048, 1, 1_000_000, "calls", "Calls that may be open or queued at once."
    )
    max_lots: int = make_number(
        256, 1, 100_000, "lots", "Lots that trainers may follow here at once."
    )
    tls_certificate: str = Field(
        default="", description="Path of the certificate for api_address."
    )
    tls_key: str = Field(default="", description="Path of the certificate's key.")

    @field_validator("process", "failure_domain")
    @classmethod
    def _check_name(cls, value: str, info: ValidationInfo) -> str:
        check_name(str(info.field_name), value)
        return value

    @field_validator(
        "store_address",
        "client_address",
        "ready_address",
        "metrics_address",
        "peer_address",
        "api_address",
        "duty_address",
    )
    @classmethod
    def _check_address(cls, value: str, info: ValidationInfo) -> str:
        if info.field_name == "store_address" and not value:
            raise ValueError("must be NUMBER:PORT, such as 127.0.0.1:7400")
        return check_address(value)

    @field_validator("max_timeout", "max_append_bytes", "usage_due")
    @classmethod
    def _check_least(cls, value: float, info: ValidationInfo) -> float:
        other, unit = LEAST_SETTINGS[str(info.field_name)]
        least = info.data.get(other)
        if least is not None and value < least:
            raise ValueError(f"must be at least {other}, {least} {unit}")
        return value

    @field_validator("tls_key")
    @classmethod
    def _check_tls(cls, value: str, info: ValidationInfo) -> str:
        if bool(value) != bool(info.data.get("tls_certificate")):
            raise ValueError("must be set together with tls_certificate")
        return value
