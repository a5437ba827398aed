"""Types for the operators' configuration and for the upstreams' records."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    WeightVersion,
)

ModelName = NewType("ModelName", str)
"""Name of a model whose weights the engines load."""


class RouteKind(Enum):
    """Way in which the requests of a route may be executed.

    ``ROLLOUT`` requests submit jobs.
    """

    IDEMPOTENT = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class Route:
    """A host and a path prefix, with the way in which their requests are served.

    Args:
        name: The route's name.
        host: Host name to which the requests are sent.
        path_prefix: Prefix of the paths that the route serves.
        kind: How its requests may be executed.
        services: The services, each with its share of the requests.
        timeout: Time limit of a request, in seconds.
        target_latency: Expected latency of a request, in seconds; the delay of a hedged
            attempt is a fraction of it.
        priority: Priority of the requests; a lower number is more urgent.
        max_attempts: Number of attempts that a request may have.
        allows_anonymous: Whether requests need no key.
        is_streaming: Whether responses are streams.
        is_resumable: Whether a broken stream may be continued by another attempt.
        requires_single_version: Whether one weight version must produce the whole
            response.
        result_deadline: Deadline for a result, in seconds.
        retention: Time after which an unfinished job may be abandoned, in seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[tuple[ServiceName, float], ...]
    timeout: float
    target_latency: float
    priority: int = 5
    max_attempts: int = 1
    allows_anonymous: bool = False
    is_streaming: bool = False
    is_resumable: bool = False
    requires_single_version: bool = False
    result_deadline: float = 0.0
    retention: float = 0.0


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same requests.

    Args:
        name: The service's name.
        health_path: Path of the upstreams' health check.
        max_connections: Maximum number of connections to one upstream.
        cold_start: Time for which an upstream is cold after its start, in seconds.
        cold_rate: Requests per second that a cold upstream may receive.
        models: The models that the upstreams serve.
    """

    name: ServiceName
    health_path: str = ""
    max_connections: int = 100
    cold_start: float = 0.0
    cold_rate: float = 0.0
    models: tuple[ModelName, ...] = ()


@dataclass(frozen=True, slots=True)
class PlatformAccount:
    """A client account with its keys."""

    name: AccountId
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on a client's requests: sizes in bytes, timeouts in seconds."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 32 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """A complete version of the configuration that operators wrote."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, Service] = field(default_factory=dict)
    accounts: tuple[PlatformAccount, ...] = ()
    limits: ClientLimits = ClientLimits()


@dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream as described by its last record in the store.

    Args:
        id: The upstream's id.
        service: The service that it belongs to.
        host: Its IP address.
        port: Its port.
        failure_domain: Its failure domain.
        slots: Number of requests that it can serve at once.
        is_draining: Whether it accepts no new requests.
        cold_remaining: Time for which it is still cold, in seconds.
        started_at_ms: Time of its start, in milliseconds since the epoch. The same id
            with another start time is another incarnation.
        sequence: Number of the record, counted since the start.
        versions: Weight version of each model that it holds.
        software_version: Version of its software. What two versions of a service
            produce does not fit together in one stream.
    """

    id: UpstreamId
    service: ServiceName
    host: str
    port: int
    failure_domain: FailureDomain
    slots: int
    is_draining: bool = False
    cold_remaining: float = 0.0
    started_at_ms: int = 0
    sequence: int = 0
    versions: dict[ModelName, WeightVersion] = field(default_factory=dict)
    software_version: SoftwareVersion = SoftwareVersion("")

    @property
    def address(self) -> str:
        """The address, as ``IP:port``."""
        return f"{self.host}:{self.port}"
