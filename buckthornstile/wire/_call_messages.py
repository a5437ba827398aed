"""Messages of one request: from its dispatch to its one end."""

from dataclasses import dataclass

from buckthornstile.base import (
    UNKNOWN_VERSION,
    AccountId,
    ErrorCode,
    IdempotencyKey,
    KeyId,
    LotId,
    Offset,
    RequestClass,
    RequestId,
    ServiceName,
    Verdict,
    WeightVersion,
)
from buckthornstile.wire._values import TokenRange


@dataclass(frozen=True, slots=True)
class Dispatch:
    """A request on its way from an entry to an agent; it holds no key.

    Args:
        request_id: The entry's incarnation and counter.
        account: The client account that the key stands for.
        key_id: The key's public id, or empty for an open route.
        configuration_offset: How far the entry's configuration has been read.
        request_class: Who waits on it.
        idempotency_key: The caller's name for the call, or empty.
        first_attempt_age: Seconds since the caller's first attempt.
        attempt: The caller's attempt, from 1.
        idempotent: Whether it may be repeated.
        timeout: Seconds until the caller's deadline.
        service: The service that it is for.
        method: The HTTP method.
        path: The path at the upstream.
        content_type: The body's media type.
        body: The body.
        stream: Whether the answer comes as server-sent events.
        expected_tokens: The work that it is likely to take, in tokens.
        lot: The trainer's lot, or empty.
        slot_group: The lot's group.
        slot_index: The sample within the group.
        attach: The trainer's attach number.
        minimum_version: The oldest weights that may make the sample.
        weight: The client account's share weight.
        slack: For a lot's sample, seconds that the lot can spare.
        home_stable_for: Seconds for which the upstreams that may hold a record
            of the idempotency key have been the same, as the entry sees it.
    """

    request_id: RequestId
    account: AccountId
    key_id: KeyId
    configuration_offset: Offset
    request_class: RequestClass
    service: ServiceName
    method: str
    path: str
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    first_attempt_age: float = 0.0
    attempt: int = 1
    idempotent: bool = False
    timeout: float = 60.0
    content_type: str = "application/json"
    body: bytes = b""
    stream: bool = False
    expected_tokens: int = 0
    lot: LotId = LotId("")
    slot_group: int = 0
    slot_index: int = 0
    attach: int = 0
    minimum_version: WeightVersion = UNKNOWN_VERSION
    weight: float = 1.0
    slack: float = 0.0
    home_stable_for: float = 0.0


@dataclass(frozen=True, slots=True)
class Started:
    """The head of an answer."""

    request_id: RequestId
    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class Chunk:
    """Some bytes of an answer; ``sequence`` counts from 0."""

    request_id: RequestId
    sequence: int
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The one explicit end of a request.

    Args:
        request_id: The request.
        verdict: Whether it may have run; ``RAN`` means that the answer is whole.
        code: Why it failed, or None.
        message: One sentence for a person.
        length: The answer's whole length, in bytes.
        digest: BLAKE2b-128 of the answer.
        labels: Which weight versions made which tokens.
        prompt_tokens: Tokens read.
        generated_tokens: Tokens made.
        retry_after: Seconds after which a retry may succeed; 0 for unknown.
        queue_wait: Seconds that it waited in the agent's queue.
        replayed: Whether another request made this answer, and was counted.
    """

    request_id: RequestId
    verdict: Verdict
    code: ErrorCode | None = None
    message: str = ""
    length: int = 0
    digest: bytes = b""
    labels: tuple[TokenRange, ...] = ()
    prompt_tokens: int = 0
    generated_tokens: int = 0
    retry_after: float = 0.0
    queue_wait: float = 0.0
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer in one message, in place of head, chunks and end.

    Args:
        request_id: The request.
        status: The HTTP status.
        content_type: The body's media type.
        body: The whole body.
        digest: BLAKE2b-128 of the body, taken where the upstream's answer ended.
        labels: Which weight versions made which tokens.
        prompt_tokens: Tokens read.
        generated_tokens: Tokens made.
        queue_wait: Seconds that it waited in the agent's queue.
        replayed: Whether another request made this answer, and was counted.
    """

    request_id: RequestId
    status: int
    content_type: str
    body: bytes
    digest: bytes
    labels: tuple[TokenRange, ...] = ()
    prompt_tokens: int = 0
    generated_tokens: int = 0
    queue_wait: float = 0.0
    replayed: bool = False

    def split(self) -> tuple[Started, Chunk, End]:
        """Gives the messages that it stands for."""
        return (
            Started(self.request_id, self.status, self.content_type),
            Chunk(self.request_id, 0, self.body),
            End(
                self.request_id,
                Verdict.RAN,
                length=len(self.body),
                digest=self.digest,
                labels=self.labels,
                prompt_tokens=self.prompt_tokens,
                generated_tokens=self.generated_tokens,
                queue_wait=self.queue_wait,
                replayed=self.replayed,
            ),
        )


@dataclass(frozen=True, slots=True)
class Cancel:
    """The caller has gone, or another attempt has won."""

    request_id: RequestId
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Seal:
    """Asks the agent never to start a request that it has not started yet.

    With an idempotency key it concerns every attempt under that key so far,
    and the request id only names the question.
    """

    request_id: RequestId
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    account: AccountId = AccountId("")
    first_attempt_age: float = 0.0


@dataclass(frozen=True, slots=True)
class Sealed:
    """The agent's answer: what has become of the request by now.

    Args:
        request_id: The request, or the question.
        verdict: Whether it may have run.
        is_open: Whether it still runs.
        is_counted: Whether it ran to its end, and the agent counted its usage.
        prompt_tokens: Tokens read.
        generated_tokens: Tokens made.
    """

    request_id: RequestId
    verdict: Verdict
    is_open: bool = False
    is_counted: bool = False
    prompt_tokens: int = 0
    generated_tokens: int = 0
