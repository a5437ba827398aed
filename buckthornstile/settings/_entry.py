"""Settings of an entry.

On the users' platform the settings are read from the file that the platform writes
(``buckthornstile.platform.read_node_settings``), otherwise from flags and environment
variables.
"""

from typing import Literal

from pydantic import Field, ValidationInfo, field_validator

from buckthornstile.base import FailureDomain, ProcessName, check_name
from buckthornstile.settings._common import (
    CommonSettings,
    check_address,
    make_number_field,
)
from buckthornstile.shares import ShareMode

EMPTY_ADDRESS_NOTE = "Empty for no listener."
LOWER_BOUND_SETTINGS = {
    "max_timeout": ("default_timeout", "s"),
    "max_append_bytes": ("max_record_bytes", "bytes"),
    "max_buffered_bytes": ("max_response_bytes", "bytes"),
    "usage_due": ("usage_window", "s"),
}
"""Settings with another setting as their lower bound, and the unit of both."""


class EntrySettings(CommonSettings):
    """Settings of an entry."""

    process: ProcessName = Field(
        description="Name of the process, unique in the deployment."
    )
    failure_domain: FailureDomain = Field(
        description="Failure domain of the process's VM."
    )
    store_address: str = Field(
        description="Address of the platform's store, as IP:PORT."
    )
    client_address: str = Field(
        default="",
        description=(
            f"Address for clients of the platform's protocol. {EMPTY_ADDRESS_NOTE}"
        ),
    )
    ready_address: str = Field(
        default="",
        description=(
            f"Address for readiness checks of the load balancer. {EMPTY_ADDRESS_NOTE}"
        ),
    )
    metrics_address: str = Field(
        default="",
        description=f"Address where metrics are served. {EMPTY_ADDRESS_NOTE}",
    )
    peer_address: str = Field(
        default="",
        description=(
            "Address to which other entries forward requests about jobs, and calls to "
            "the store when they cannot reach it. Required if more than 12 entries "
            "run. Port 0 selects a free port."
        ),
    )
    api_address: str = Field(
        default="",
        description=(
            f"Address for callers, trainers and operators. Port 0 selects a free "
            f"port. {EMPTY_ADDRESS_NOTE}"
        ),
    )
    duty_address: str = Field(
        default="",
        description="Address to which usage reports are sent. Empty for no reports.",
    )
    store_parts: int = make_number_field(
        1,
        1,
        1024,
        "partitions",
        "Maximum number of partitions of a topic in the store.",
    )
    store_write_rate: float = make_number_field(
        800.0,
        1,
        1_000_000,
        "calls/s",
        "Write calls that the store accepts from all entries together.",
    )
    max_record_bytes: int = make_number_field(
        256 << 10, 1024, 64 << 20, "bytes", "Maximum size of a record in the store."
    )
    max_append_bytes: int = make_number_field(
        2 << 20, 4096, 256 << 20, "bytes", "Maximum size of one append to the store."
    )
    heartbeat: float = make_number_field(
        1.0,
        0.05,
        60,
        "s",
        "Interval between two heartbeats of an upstream in the store.",
    )
    stop_grace: float = make_number_field(
        8.0, 0, 3600, "s", "Time from SIGTERM until the platform sends SIGKILL."
    )
    key_bound: float = make_number_field(
        5.0, 0.5, 3600, "s", "Maximum time until a withdrawn key is rejected."
    )
    fails_closed: bool = Field(
        default=True,
        description="Whether keys that were not checked in time are rejected.",
    )
    turn_bound: float = make_number_field(
        3.0,
        0.3,
        300,
        "s",
        "Minimum time for the lease to pass to another process and back.",
    )
    usage_window: float = make_number_field(
        5.0, 0.1, 86_400, "s", "Length of a usage window."
    )
    usage_due: float = make_number_field(
        10.0,
        0.1,
        86_400,
        "s",
        "Time from the end of a usage window until its report is due.",
    )
    result_lifetime: float = make_number_field(
        120.0, 1, 86_400, "s", "Time for which the results of a job can be read."
    )
    job_end_bound: float = make_number_field(
        0.0,
        0,
        3600,
        "s",
        "Maximum time from the end of a job by its client until the last request for "
        "it reaches an upstream: an entry that read the job's records longer ago than "
        "0.6 of it sends none. 0 for no bound.",
    )
    cold_overage: float = make_number_field(
        1.0,
        0.01,
        100,
        "times",
        "Factor applied to the request rate of a cold upstream.",
    )
    cold_slack: float = make_number_field(
        0.0,
        0,
        10_000,
        "requests/s",
        "Requests allowed beyond the request rate of a cold upstream.",
    )
    cold_rate: float = make_number_field(
        0.0,
        0,
        100_000,
        "requests/s",
        "Request rate of a cold upstream whose service sets none. 0 for no limit.",
    )
    placement: Literal["auto", "work", "load"] = Field(
        default="auto",
        description=(
            "How upstreams are chosen: by expected work (work), by load (load), or by "
            "work for the services whose upstreams report how slow they are (auto)."
        ),
    )
    default_timeout: float = make_number_field(
        60.0, 0.1, 3600, "s", "Timeout of a call that sets none."
    )
    max_timeout: float = make_number_field(
        600.0, 0.1, 86_400, "s", "Maximum timeout that a caller may set."
    )
    max_body_bytes: int = make_number_field(
        4 << 20, 1024, 256 << 20, "bytes", "Maximum size of the body of a call or lot."
    )
    max_response_bytes: int = make_number_field(
        8 << 20,
        1024,
        256 << 20,
        "bytes",
        "Maximum size of an upstream's response that is not a stream.",
    )
    max_buffered_bytes: int = make_number_field(
        64 << 20,
        4096,
        64 << 30,
        "bytes",
        "Maximum size of all upstreams' responses that are read at a time; beyond it, "
        "the largest are aborted.",
    )
    max_client_bytes: int = make_number_field(
        40 << 20,
        1 << 20,
        64 << 30,
        "bytes",
        "Maximum size of all that is held for clients at a time: bodies being read, "
        "requests that wait or run, and responses that are not yet taken.",
    )
    max_client_connections: int = make_number_field(
        2048,
        16,
        1_000_000,
        "connections",
        "Maximum number of clients' connections; at most half of the descriptors that "
        "the operating system allows the process are used.",
    )
    min_body_rate: float = make_number_field(
        0.0,
        0,
        1e9,
        "bytes/s",
        "Minimum rate of a request's body, as an average over each body_grace. 0 "
        "requires only that some bytes arrive.",
    )
    body_grace: float = make_number_field(
        20.0,
        0.1,
        3600,
        "s",
        "Time over which the rate of a body is measured; the operator's idle timeout "
        "if that is longer.",
    )
    max_upstream_body_bytes: int = make_number_field(
        64 << 20,
        4096,
        64 << 30,
        "bytes",
        "Maximum size of the bodies of this entry's requests that are open at one "
        "upstream; one larger body is sent alone.",
    )
    max_open_calls: int = make_number_field(
        2048, 1, 1_000_000, "calls", "Maximum number of calls open or queued at a time."
    )
    admission: Literal["auto", "on", "off"] = Field(
        default="auto",
        description=(
            "Whether calls and streams wait in the entry for a free upstream, in the "
            "order of priority and fair shares, or are refused at once if none will "
            "be free in time: always (`on`), never (`off`), or only for services whose "
            "upstreams refused requests for lack of slots within the last 5 s and are "
            "no model engines (`auto`)."
        ),
    )
    max_lots: int = make_number_field(
        256,
        1,
        100_000,
        "lots",
        "Maximum number of lots attached to the entry at a time.",
    )
    share_engines: ShareMode = Field(
        default=ShareMode.OFF,
        description=(
            "Whether the owners of jobs divide the engines among themselves; auto: "
            "while several wait for engines that refused runs or report slowdowns."
        ),
    )
    tls_certificate: str = Field(
        default="", description="Path of the TLS certificate for api_address."
    )
    tls_key: str = Field(
        default="", description="Path of the private key of tls_certificate."
    )

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
            raise ValueError("must be IP:PORT, such as 127.0.0.1:7400")
        return check_address(value)

    @field_validator(
        "max_timeout", "max_append_bytes", "max_buffered_bytes", "usage_due"
    )
    @classmethod
    def _check_lower_bound(cls, value: float, info: ValidationInfo) -> float:
        other, unit = LOWER_BOUND_SETTINGS[str(info.field_name)]
        minimum = info.data.get(other)
        if minimum is not None and value < minimum:
            raise ValueError(f"must be at least {other}, {minimum} {unit}")
        return value

    @field_validator("tls_key")
    @classmethod
    def _check_tls(cls, value: str, info: ValidationInfo) -> str:
        if bool(value) != bool(info.data.get("tls_certificate")):
            raise ValueError("must be set together with tls_certificate")
        return value
