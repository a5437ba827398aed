"""What the system asks of the platform, one small typed port each.

No decision lives behind a port: an adapter only translates.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    Incarnation,
    Offset,
    OrderId,
    ProcessName,
    RequestClass,
    RequestId,
    Role,
    ServiceName,
    Term,
    TrainerId,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.records import UsageSeal


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record of the log, still encoded."""

    offset: Offset
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive entries of the log.

    Args:
        entries: In offset order, without gaps.
        first_retained: The first offset that the log still keeps.
        next_offset: The offset that the next append would get.
    """

    entries: tuple[LogEntry, ...]
    first_retained: Offset
    next_offset: Offset


class LogPort(Protocol):
    """The platform's append-only log."""

    async def append(self, data: bytes) -> Offset:
        """Appends one record.

        Raises:
            PlatformUnavailableError: It failed, or timed out and may yet take
                effect.
        """
        ...

    async def read(
        self, first: Offset, *, limit: int = 500, wait: float = 0.0
    ) -> LogPage:
        """Reads from an offset on, waiting up to ``wait`` seconds for a record.

        Reading from before the first retained offset starts at that offset.

        Raises:
            PlatformUnavailableError: The log did not answer.
        """
        ...


class VmState(Enum):
    """What the VM list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM that runs a process of the system.

    Args:
        process: The name of our process on it.
        role: What that process does.
        failure_domain: Where the VM is.
        address: The IP number on which the process listens for its peers.
        port: The TCP port for its peers.
        state: Live or leaving.
        upstream: For an agent, the upstream that it stands beside.
        service: For an agent, the service that the upstream belongs to.
        seconds_left: For a leaving VM, the notice that is left.
    """

    process: ProcessName
    role: Role
    failure_domain: FailureDomain
    address: str
    port: int
    state: VmState = VmState.LIVE
    upstream: UpstreamId = UpstreamId("")
    service: ServiceName = ServiceName("")
    seconds_left: float | None = None


class VmListPort(Protocol):
    """The platform's lagging list of VMs: discovery, never proof of life."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """Lists VMs; may be seconds old."""
        ...


@dataclass(frozen=True, slots=True)
class UpstreamOrder:
    """An order to start or stop upstreams in one failure domain.

    Args:
        order_id: Idempotency key: the platform carries out an id once, if it
            honours it at all.
        term: The fencing number.
        action: ``start`` or ``stop``.
        failure_domain: Where.
        service: Which service's upstreams.
        count: How many.
        upstream: For a stop, the one to stop; empty for any.
    """

    order_id: OrderId
    term: Term
    action: str
    failure_domain: FailureDomain
    service: ServiceName
    count: int = 1
    upstream: UpstreamId = UpstreamId("")


class UpstreamOrderPort(Protocol):
    """The platform's interface for ordering upstreams by failure domain."""

    async def order(self, order: UpstreamOrder, *, timeout: float) -> None:
        """Sends an order.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
            BuckthornstileError: Refused, with ``TERM_OLD`` for an old term.
        """
        ...

    async def list_orders(self) -> tuple[OrderId, ...]:
        """Lists the orders that the platform has carried out."""
        ...


class UsageReportPort(Protocol):
    """The platform's interface for usage reports."""

    async def report(self, seal: UsageSeal, *, timeout: float) -> None:
        """Reports a sealed window, with the window as idempotency key.

        Raises:
            PlatformUnavailableError: No answer; it may have taken effect.
        """
        ...


@dataclass(frozen=True, slots=True)
class WeightManifest:
    """A published set of weights: its version, chunk count and digests."""

    version: WeightVersion
    chunk_count: int
    chunk_bytes: int
    digests: tuple[str, ...] = ()


class WeightStorePort(Protocol):
    """The platform's rate-limited store of weights."""

    async def read_latest(self) -> WeightManifest | None:
        """Reads the newest manifest, or None if nothing is published."""
        ...

    async def read_chunk(self, version: WeightVersion, index: int) -> bytes:
        """Reads one chunk.

        Raises:
            PlatformUnavailableError: Rate limit or outage.
        """
        ...


@dataclass(frozen=True, slots=True)
class EngineState:
    """What a model engine reports of itself, with a lag.

    Args:
        incarnation: Changes when the engine restarts.
        version: The weights that it serves.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        cache_tokens: Tokens in its prefix cache.
    """

    incarnation: Incarnation
    version: WeightVersion
    running: int = 0
    waiting: int = 0
    cache_tokens: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One call to an upstream; it holds no key.

    Args:
        request_id: The system's id, by which the call can be cancelled.
        method: The HTTP method.
        path: The path at the upstream.
        content_type: The body's media type.
        body: The body.
        stream: Whether the answer comes as server-sent events.
        priority: 0 is served first.
        timeout: Seconds after which the caller no longer wants an answer.
        idempotent: Whether it may be repeated if its answer is lost.
    """

    request_id: RequestId
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool = False
    priority: int = 0
    timeout: float = 60.0
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The start of an upstream's answer."""

    status: int
    content_type: str
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Some bytes of an upstream's answer, in order."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of an answer that the upstream itself declared whole."""

    length: int


class UpstreamPort(Protocol):
    """A plain service or model engine, behind its own protocol."""

    def call(
        self, call: UpstreamCall
    ) -> AsyncIterator[AnswerHead | AnswerPart | AnswerEnd]:
        """Makes a call and yields its answer.

        The iterator yields one head, any parts, and one end.

        Raises:
            BuckthornstileError: With ``verdict`` NOT_RUN only if no byte of
                the request left for the upstream.
        """
        ...

    async def cancel(self, request_id: RequestId) -> None:
        """Asks the upstream to stop work on a call."""
        ...

    async def close(self) -> None:
        """Closes idle connections."""
        ...


class EnginePort(UpstreamPort, Protocol):
    """A model engine."""

    async def read_state(self) -> EngineState:
        """Reads version, incarnation and load."""
        ...

    async def load_version(self, version: WeightVersion, *, term: Term) -> None:
        """Orders the engine to serve another version of the weights.

        Raises:
            BuckthornstileError: The swap failed or the term is too old.
        """
        ...


@dataclass(frozen=True, slots=True)
class TrainerReport:
    """What the platform says of a trainer."""

    trainer: TrainerId
    version: WeightVersion


class TrainerPort(Protocol):
    """The platform's interface to trainers and their current versions."""

    async def list_trainers(self) -> tuple[TrainerReport, ...]:
        """Lists trainers with the version that each one trains now."""
        ...


@dataclass(frozen=True, slots=True)
class ScoreRequest:
    """A sample to be scored by a scoring service."""

    account: AccountId
    request_class: RequestClass
    prompt: str
    text: str


class ScoringPort(Protocol):
    """A scoring service."""

    async def score(self, request: ScoreRequest, *, timeout: float) -> float:
        """Scores one sample."""
        ...


@dataclass(frozen=True, slots=True)
class PlatformPorts:
    """All ports to the platform, as one process uses them."""

    log: LogPort
    vm_list: VmListPort
    orders: UpstreamOrderPort
    usage_reports: UsageReportPort
    weights: WeightStorePort
    trainers: TrainerPort | None = field(default=None)
