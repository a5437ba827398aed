"""Types of client requests, upstream calls and responses, without wire formats."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from enum import Enum

from buckthornstile.base import AccountId, UpstreamId
from buckthornstile.topology import ModelName, Route

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One attempt of a client to send a request.

    ``headers`` are those that are forwarded to an upstream. ``remaining_time`` is the
    time for which the client still waits, in seconds, or None. ``wait`` is the time
    for which a read of results may be held, in seconds. ``last_event_id`` is the id
    of the last event that the client already has, or None, and ``resumed_request`` the
    id of the request that brought its first event, or empty. ``key`` is the client's
    API key, or None.
    """

    id: str
    method: str
    host: str
    path: str
    query: str
    headers: Headers
    body: bytes
    key: str | None = None
    remaining_time: float | None = None
    wait: float = 0.0
    last_event_id: int | None = None
    resumed_request: str = ""

    @property
    def target(self) -> str:
        """Path and query as the client sent them."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclass(frozen=True, slots=True)
class KeyDecision:
    """The client account that the key of a request stands for.

    Attributes:
        account: The client account, or None if no key is needed or the key was refused.
        version: Version of the configuration under which this was decided.
    """

    account: AccountId | None
    version: int


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a client; ``retry_after`` is in seconds."""

    status: int
    body: bytes = b""
    headers: Headers = ()
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class StreamingResponse:
    """A response to a client whose body arrives in chunks.

    ``chunks`` ends when the response is complete and raises an error if the response
    cannot be completed. ``retry_after`` is in seconds. ``count_buffered`` returns the
    number of bytes that are held for the client beyond the chunk being written.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]
    retry_after: float | None = None
    count_buffered: Callable[[], int] = lambda: 0


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """A request as it is sent to one upstream.

    ``remaining_time`` is in seconds. ``urgency`` ranges from 0 (most urgent) to 9.
    ``last_event_id`` requests only the events after that one. ``version`` is the only
    version that may run the request, or None for any.
    """

    id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    upstream: UpstreamId
    remaining_time: float
    account: AccountId | None = None
    urgency: int | None = None
    last_event_id: int | None = None
    version: int | None = None


@dataclass(frozen=True, slots=True)
class PrefixBlock:
    """A block of a prompt prefix that engines cache.

    ``hash`` is in hexadecimal; ``tokens`` is the number of tokens.
    """

    hash: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationSizes:
    """Numbers of tokens that a generation request states; 0 if it states none."""

    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0


@dataclass(frozen=True, slots=True)
class GenerationHints:
    """Hints about a generation request that are sent to a model engine with the body.

    ``expected_tokens`` is the estimated length of the response, or 0 if unknown.
    """

    model: ModelName
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int = 0
    prefix: tuple[PrefixBlock, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports with a response.

    ``running`` and ``waiting`` are numbers of requests; ``slots`` is the number of
    requests that the upstream can run at the same time. ``slowdown`` is the time that
    work takes there at the moment, relative to the usual time, or None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's response.

    ``is_refusal`` guarantees that the request was not run. ``version`` is the version
    that produced the first event, or None. ``signature`` is the value of the signature
    header, or empty. ``other_upstream`` is the id of the upstream that responded, if
    the request was addressed to another one, or None. ``rate_limit`` is the number of
    requests per second that the upstream accepts from all processes together, or None
    for no limit. ``is_leaving`` tells whether the upstream is about to stop and should
    get no new requests.
    """

    status: int
    headers: Headers
    is_refusal: bool = False
    has_content_encoding: bool = False
    signature: str = ""
    load: UpstreamLoad | None = None
    version: int | None = None
    other_upstream: UpstreamId | None = None
    rate_limit: float | None = None
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """An event of a stream, with the version that produced it."""

    id: int
    data: str
    version: int


class LoadOrderResult(Enum):
    """Outcome of a load order, as the upstream's response states it."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    OTHER_UPSTREAM = "other_upstream"
    INVALID = "invalid"


class LoadMode(Enum):
    """Treatment of running requests while an engine loads a version."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to an upstream to load a version of a model.

    ``expected_orders`` is the number of orders that the upstream must have accepted so
    far; otherwise it rejects the order, so that a delayed order has no effect.
    ``holder`` is the VM of the lease holder that sends the order, and ``term`` the term
    of its lease.
    """

    upstream: UpstreamId
    model: ModelName
    version: int
    mode: LoadMode
    holder: str
    term: int
    expected_orders: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Report of an engine about its state.

    ``versions`` holds the version that is loaded of each model. ``is_busy`` is whether
    the engine is still loading. ``order_count`` is the number of load orders that it
    has accepted.
    """

    versions: dict[ModelName, int] = field(default_factory=dict)
    is_busy: bool = False
    order_count: int = 0


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A request with its route, ready to be sent.

    ``deadline`` is a time of the event loop's clock, in seconds. ``before_send`` is
    called just before each send and raises ``CONFIGURATION_OLD`` if the known keys and
    upstreams are too stale, ``JOB_UNVERIFIED`` if the records of its job are, or the
    error of a key that is no longer valid.
    ``is_item_call`` is whether an item of a job needs the request, which is then still
    owed if upstreams crashed while they ran it. ``check_after_wait`` is called after
    the request has waited for a free upstream and raises if its key has become invalid.
    ``may_be_resumed`` is whether the client may resume the stream that responds with a
    request of its own.
    """

    request: ClientRequest
    route: Route
    account: AccountId | None
    deadline: float
    before_send: Callable[[], None] | None = None
    is_item_call: bool = False
    check_after_wait: Callable[[], object] | None = None
    may_be_resumed: bool = False
