"""Messages by which processes prove themselves and keep up with one another."""

from dataclasses import dataclass

from buckthornstile.base import (
    NO_OFFSET,
    NO_TERM,
    UNKNOWN_VERSION,
    FailureDomain,
    Incarnation,
    Offset,
    ProcessName,
    Role,
    ServiceName,
    Term,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.wire._values import RelayedRecord


@dataclass(frozen=True, slots=True)
class Challenge:
    """The listener's first message: a nonce to prove the secret over."""

    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """The dialler's identity and its proof of the deployment secret."""

    process: ProcessName
    role: Role
    incarnation: Incarnation
    failure_domain: FailureDomain
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The listener's identity and its proof of the deployment secret."""

    process: ProcessName
    role: Role
    incarnation: Incarnation
    failure_domain: FailureDomain
    upstream: UpstreamId
    service: ServiceName
    proof: bytes


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Proof of life, load and progress; sent by both ends.

    Args:
        sequence: Counts this sender's heartbeats.
        sent_at: The sender's own clock, echoed by nobody; for logs only.
        configuration_offset: How far the sender's configuration has been read.
        state: ``serving``, ``draining`` or ``loading``.
        engine_incarnation: The life of the upstream engine.
        version: The weights that it serves.
        limit: Concurrent requests that the agent allows its upstream.
        running: Requests at the upstream.
        queued: Requests in the agent's queue.
        queued_tokens: Their expected work.
        tokens_per_second: The upstream's recent speed.
        term: The newest control term that the sender knows.
        log_lag: Seconds since the sender last stood at the log's end.
        fetched_version: The newest weights that the agent holds whole.
        background_tokens: Expected work in the queue that nobody waits on; it is
            not part of ``queued`` and ``queued_tokens``.
    """

    sequence: int
    sent_at: float
    configuration_offset: Offset
    state: str = "serving"
    engine_incarnation: Incarnation = Incarnation("")
    version: WeightVersion = UNKNOWN_VERSION
    limit: float = 0.0
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    tokens_per_second: float = 0.0
    term: Term = NO_TERM
    log_lag: float = 0.0
    fetched_version: WeightVersion = UNKNOWN_VERSION
    background_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Relay:
    """Records of the log that the receiver has not read yet."""

    records: tuple[RelayedRecord, ...]


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Asks for the records from an offset on; -1 asks for a snapshot too."""

    first: Offset = NO_OFFSET


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender stops: no new work, please; open requests go on."""

    reason: str = ""
