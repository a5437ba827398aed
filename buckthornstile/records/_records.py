"""The records of the platform's append-only log."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    Incarnation,
    Offset,
    OrderId,
    ProcessName,
    RequestClass,
    ServiceName,
    Term,
    UpstreamId,
    WeightVersion,
    WindowStart,
)
from buckthornstile.records._configuration import (
    ConfigurationChange,
    ConfigurationSnapshot,
)

MAX_RECORD_BYTES = 1 << 20


class _Record(BaseModel):
    model_config = ConfigDict(frozen=True)


class LeaseClaim(_Record):
    """A claim to the control lease; its offset is the new term.

    Args:
        holder: The entry that claims.
        incarnation: That entry's incarnation.
        follows: The term that the claimer believes to be over; the fold
            rejects the claim if another term came between.
        duration: How long the lease lasts without renewal, in seconds.
        follows_sequence: The last renewal of that term that the claimer has
            read; the fold rejects the claim if a later one came between.

    Example:
        >>> LeaseClaim(holder="e1", incarnation="i", follows=-1, duration=6).kind
        'lease.claim'
    """

    kind: Literal["lease.claim"] = "lease.claim"
    holder: ProcessName
    incarnation: Incarnation
    follows: Term
    duration: float = Field(gt=0, le=3600)
    follows_sequence: int = 0


class LeaseRenewal(_Record):
    """The holder's renewal of its term.

    Example:
        >>> LeaseRenewal(holder="e1", incarnation="i", term=4, sequence=1).term
        4
    """

    kind: Literal["lease.renewal"] = "lease.renewal"
    holder: ProcessName
    incarnation: Incarnation
    term: Term
    sequence: int


class LeaseRelease(_Record):
    """The holder's end of its term, at a planned stop.

    Example:
        >>> LeaseRelease(holder="e1", incarnation="i", term=4).kind
        'lease.release'
    """

    kind: Literal["lease.release"] = "lease.release"
    holder: ProcessName
    incarnation: Incarnation
    term: Term


class UsageLine(_Record):
    """What one client account used in one class of requests.

    Args:
        account: The client account.
        service: The service that served it.
        request_class: Who waited on it.
        requests: Requests that ran.
        prompt_tokens: Tokens read.
        generated_tokens: Tokens made.

    Example:
        >>> UsageLine(account="a", service="s", request_class="waited").requests
        0
    """

    account: AccountId
    service: ServiceName
    request_class: RequestClass
    requests: int = Field(default=0, ge=0)
    prompt_tokens: int = Field(default=0, ge=0)
    generated_tokens: int = Field(default=0, ge=0)


class UsageBatch(_Record):
    """Totals of one entry's finished requests, appended by that entry.

    The ranges of two batches of one entry never overlap in part: a batch that
    is appended again after a timeout is the same to the byte.

    Args:
        entry: The incarnation of the entry whose requests these are.
        ranges: First and last request counter, inclusive, of each range covered.
        lines: The totals over exactly these counters.

    Example:
        >>> UsageBatch(entry="e1-1", ranges=((0, 9),)).ranges
        ((0, 9),)
    """

    kind: Literal["usage.batch"] = "usage.batch"
    entry: Incarnation
    ranges: tuple[tuple[int, int], ...]
    lines: tuple[UsageLine, ...] = ()


class RecoveredUsage(_Record):
    """The usage of one request of an entry that is gone.

    Example:
        >>> line = UsageLine(account="a", service="s", request_class="waited")
        >>> RecoveredUsage(counter=3, line=line).counter
        3
    """

    counter: int = Field(ge=0)
    line: UsageLine


class UsageRecovery(_Record):
    """Requests that an agent finished for an entry that is gone, one by one.

    The fold counts each counter once, whether a batch of the entry that covers
    it comes before or after.

    Args:
        entry: The incarnation of the entry that is gone.
        requests: Its requests that the log may not hold yet.
        appended_by: The agent.

    Example:
        >>> UsageRecovery(entry="e1-1", requests=(), appended_by="a1").kind
        'usage.recovery'
    """

    kind: Literal["usage.recovery"] = "usage.recovery"
    entry: Incarnation
    requests: tuple[RecoveredUsage, ...]
    appended_by: ProcessName


class UsageSeal(_Record):
    """The figures of one window, fixed; the first valid seal wins.

    Args:
        window: The window's start, in seconds since the epoch.
        duration: The window's length, in seconds.
        term: The sealing holder's term.
        through: The last offset whose batches the figures cover.
        lines: The figures.

    Example:
        >>> UsageSeal(window=0, duration=60, term=1, through=9).kind
        'usage.seal'
    """

    kind: Literal["usage.seal"] = "usage.seal"
    window: WindowStart
    duration: int
    term: Term
    through: Offset
    lines: tuple[UsageLine, ...] = ()


class UsageReported(_Record):
    """The platform has taken the report of a sealed window.

    Example:
        >>> UsageReported(window=0, term=1).kind
        'usage.reported'
    """

    kind: Literal["usage.reported"] = "usage.reported"
    window: WindowStart
    term: Term


class OrderIntent(_Record):
    """An order that the holder is about to send.

    Args:
        order_id: Deterministic, so that a successor makes the same one.
        term: The holder's term.
        action: What is ordered.
        failure_domain: Where upstreams are ordered or released.
        service: For which service.
        upstream: The one upstream concerned, or empty.
        count: Upstreams to start or stop.
        version: The weight version to load, for a swap.
        started: When the intent was made, in seconds since the epoch.

    Example:
        >>> OrderIntent(order_id="o", term=1, action="start", count=2).count
        2
    """

    kind: Literal["order.intent"] = "order.intent"
    order_id: OrderId
    term: Term
    action: Literal["start", "stop", "load_version"]
    failure_domain: FailureDomain = FailureDomain("")
    service: ServiceName = ServiceName("")
    upstream: UpstreamId = UpstreamId("")
    count: int = 0
    version: WeightVersion = WeightVersion(-1)
    started: float = 0.0


class OrderOutcome(_Record):
    """How an order ended, as the platform or agent reported it.

    Example:
        >>> OrderOutcome(order_id="o", term=1, outcome="done").detail
        ''
    """

    kind: Literal["order.outcome"] = "order.outcome"
    order_id: OrderId
    term: Term
    outcome: Literal["done", "refused", "abandoned"]
    detail: str = ""


class ControlSnapshot(_Record):
    """The lease, open orders and unreported windows, re-appended whole.

    A fold that starts from it needs no record before ``through``.

    Args:
        term: The term of the holder that wrote it.
        through: The last offset that it covers.
        state: The fold's state, as the control fold writes and reads it.

    Example:
        >>> ControlSnapshot(term=1, through=7, state={}).through
        7
    """

    kind: Literal["control.snapshot"] = "control.snapshot"
    term: Term
    through: Offset
    state: dict[str, object]


class UnreadableRecord(_Record):
    """A record of a newer or broken schema; every fold passes over it.

    Example:
        >>> UnreadableRecord(reason="not JSON").kind
        'unreadable'
    """

    kind: Literal["unreadable"] = "unreadable"
    reason: str


Record = (
    ConfigurationChange
    | ConfigurationSnapshot
    | LeaseClaim
    | LeaseRenewal
    | LeaseRelease
    | UsageBatch
    | UsageRecovery
    | UsageSeal
    | UsageReported
    | OrderIntent
    | OrderOutcome
    | ControlSnapshot
    | UnreadableRecord
)
_ADAPTER: TypeAdapter[Record] = TypeAdapter(
    Annotated[Record, Field(discriminator="kind")]
)


def encode_record(record: Record) -> bytes:
    """Encodes a record as the JSON that the log stores.

    Args:
        record: The record.

    Returns:
        UTF-8 JSON, at most :data:`MAX_RECORD_BYTES` long.

    Raises:
        ValueError: The record is too large.

    Example:
        >>> encode_record(UsageReported(window=0, term=1))
        b'{"kind":"usage.reported","window":0,"term":1}'
    """
    data = _ADAPTER.dump_json(record)
    if len(data) > MAX_RECORD_BYTES:
        raise ValueError(
            f"record has {len(data)} bytes; it must have at most {MAX_RECORD_BYTES}"
        )
    return data


def decode_record(data: bytes) -> Record:
    """Decodes a record; never raises, whatever the bytes.

    Args:
        data: What the log holds at one offset.

    Returns:
        The record, or :class:`UnreadableRecord` with the reason.

    Example:
        >>> decode_record(b"?").kind
        'unreadable'
    """
    try:
        return _ADAPTER.validate_json(data)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        return UnreadableRecord(reason=str(first["msg"]))
