"""Requests of clients, and what upstreams answer, in the product's own types."""

from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from enum import Enum

from buckthornstile.base import AccountId, UpstreamId
from buckthornstile.topology import ModelName, Route

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """One attempt of a client.

    ``headers`` are those that go on to an upstream. ``remaining_time`` is the seconds
    that the client still waits, or None. ``wait`` is how long a read of results may
    be held, in seconds; ``last_event_id`` the last event a client already has.
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

    @property
    def target(self) -> str:
        """Path and query as the client sent them."""
        return f"{self.path}?{self.query}" if self.query else self.path


@dataclass(frozen=True, slots=True)
class Response:
    """What a client is answered; ``retry_after`` is in seconds."""

    status: int
    body: bytes = b""
    headers: Headers = ()
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class StreamingResponse:
    """An answer whose body arrives in parts.

    ``chunks`` ends when the answer is whole, and raises if it never will be.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """A request as it goes to one upstream.

    ``urgency`` runs from 0, the most urgent, to 9. ``last_event_id`` asks for the
    events after that one only.
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
    """A part of a prompt that engines keep: its hash, in hexadecimal, and tokens."""

    hash: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationHints:
    """What a model engine is told of a request beside its body.

    ``expected_tokens`` estimates the length of the answer, or is 0.
    """

    model: ModelName
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int = 0
    prefix: tuple[PrefixBlock, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What an upstream says of its load at an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's answer.

    ``is_refusal`` promises that the request was not run. ``version`` is that of
    the weights that made the first event.
    """

    status: int
    headers: Headers
    is_refusal: bool = False
    has_content_encoding: bool = False
    signature: str = ""
    load: UpstreamLoad | None = None
    version: int | None = None
    other_upstream: UpstreamId | None = None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream, with the version of the weights that made it."""

    id: int
    data: str
    version: int


class LoadOrderResult(Enum):
    """What an upstream says to an order."""

    ACCEPTED = "accepted"
    ALREADY_HOLDS = "already_holds"
    CONFLICT = "conflict"
    OTHER_UPSTREAM = "other_upstream"
    INVALID = "invalid"


class LoadMode(Enum):
    """What becomes of running requests while an engine loads a version."""

    FINISH_FIRST = "finish_first"
    CONTINUE = "continue"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load a version of a model.

    ``expected_orders`` is the count of orders that the upstream must have taken so
    far, so that an order carried out late does nothing.
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
    """An engine's own report of its state."""

    versions: dict[ModelName, int] = field(default_factory=dict)
    is_busy: bool = False
    order_count: int = 0


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A request with its route, ready to be sent; ``deadline`` is loop time.

    ``before_send`` is called last before each send, and raises ``CONFIGURATION_OLD`` if
    what is known of keys and upstreams has become too old.
    """

    request: ClientRequest
    route: Route
    account: AccountId | None
    deadline: float
    before_send: Callable[[], None] | None = None
