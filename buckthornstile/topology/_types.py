"""What operators configure and what upstreams say of themselves."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    ServiceName,
    UpstreamId,
    WeightVersion,
)

ModelName = NewType("ModelName", str)
"""A model whose weights engines load."""


class RouteKind(Enum):
    """What the system may do with a request of a route."""

    IDEMPOTENT = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    ROLLOUT = "rollout"


@dataclass(frozen=True, slots=True)
class Route:
    """One host and path prefix, and how its requests are served.

    Times are in seconds. ``services`` pairs each service with its share of the
    requests. ``allows_anonymous`` routes need no key.
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
    """A group of upstreams; ``cold_rate`` is requests a second a cold one bears."""

    name: ServiceName
    health_path: str = ""
    max_connections: int = 100
    cold_start: float = 0.0
    cold_rate: float = 0.0
    models: tuple[ModelName, ...] = ()


@dataclass(frozen=True, slots=True)
class PlatformAccount:
    """A client account with the keys that are its own."""

    name: AccountId
    keys: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send (bytes) and how long it may take (seconds)."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 32 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class PlatformConfiguration:
    """One whole version of what operators configured."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, Service] = field(default_factory=dict)
    accounts: tuple[PlatformAccount, ...] = ()
    limits: ClientLimits = ClientLimits()


@dataclass(frozen=True, slots=True)
class Upstream:
    """One back end as it last described itself.

    ``started_at_ms`` is the millisecond of its start: the same id with another
    ``started_at_ms`` is another incarnation. ``sequence`` counts what it wrote of
    itself since then. ``cold_remaining`` is in seconds.
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

    @property
    def address(self) -> str:
        """The address as ``IP:port``."""
        return f"{self.host}:{self.port}"
