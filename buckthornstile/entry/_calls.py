"""A caller's request, and the filters that it passes before it is sent.

``authenticate → classify → admit``: each filter returns the request or raises
an error with a code. Nothing here waits or does I/O.
"""

import dataclasses
import json
from collections.abc import Mapping
from dataclasses import dataclass

from buckthornstile.base import (
    OPEN_ROUTE_KEY,
    AccountId,
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    KeyId,
    RequestClass,
    ServiceName,
)
from buckthornstile.configuration import Configuration, hash_key
from buckthornstile.samples import hash_prefix

KEY_PREFIX = "Bearer "
MAX_IDEMPOTENCY_KEY_LENGTH = 200
DEFAULT_EXPECTED_TOKENS = 32
PREFIX_CHARACTERS = 256
COMPLETIONS_PATH = "/v1/completions"


@dataclass(frozen=True, slots=True)
class Call:
    """One call, as the filters fill it in.

    Args:
        method: The HTTP method.
        path: The path with its query.
        body: The body.
        content_type: The body's media type.
        timeout: Seconds until the caller's deadline.
        stream: Whether the answer comes as server-sent events.
        idempotency_key: The caller's name for the call, or empty.
        attempt: The caller's attempt, from 1.
        first_attempt_age: Seconds since the caller's first attempt.
        expected_tokens: The work that it is likely to take, in tokens.
        prefix: Hash of the prompt's beginning, or empty.
        account: The client account, once authenticated.
        key_id: The key's public id, or empty for an open route.
        weight: The account's share weight.
        maximum_open: The account's bound on open requests.
        service: The service that serves it, once classified.
        request_class: Who waits on it.
        idempotent: Whether it may be repeated.
    """

    method: str
    path: str
    body: bytes
    content_type: str
    timeout: float
    stream: bool = False
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    attempt: int = 1
    first_attempt_age: float = 0.0
    expected_tokens: int = DEFAULT_EXPECTED_TOKENS
    prefix: str = ""
    account: AccountId = AccountId("")
    key_id: KeyId = OPEN_ROUTE_KEY
    weight: float = 1.0
    maximum_open: int = 256
    service: ServiceName = ServiceName("")
    request_class: RequestClass = RequestClass.WAITED
    idempotent: bool = False

    @property
    def route(self) -> str:
        """The path without its query."""
        return self.path.partition("?")[0]

    @property
    def has_home(self) -> bool:
        """Whether its attempts must meet at one agent's request table."""
        return bool(self.idempotency_key) and not self.idempotent


def parse_call(
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    *,
    default_timeout: float,
    max_timeout: float,
) -> Call:
    """Reads a call from an HTTP request.

    Args:
        method: The HTTP method.
        path: The path with its query.
        headers: The headers.
        body: The body.
        default_timeout: Seconds, where the caller names none.
        max_timeout: The greatest timeout that a caller may name, in seconds.

    Returns:
        The call; its key is read by :func:`authenticate_call` only.

    Raises:
        BuckthornstileError: ``HEADER_INVALID`` or ``BODY_MALFORMED``.

    Example:
        >>> call = parse_call("GET", "/h", {}, b"", default_timeout=5, max_timeout=9)
        >>> call.timeout
        5
    """
    call = Call(
        method,
        path,
        body,
        headers.get("Content-Type", "application/json" if body else ""),
        _parse_number(headers, "X-Timeout", default_timeout, 0.001, max_timeout),
        idempotency_key=_parse_idempotency_key(headers),
        attempt=int(_parse_number(headers, "X-Attempt", 1, 1, 1e6)),
        first_attempt_age=_parse_number(headers, "X-First-Attempt-Age", 0, 0, 1e9),
    )
    if call.route == COMPLETIONS_PATH:
        return _read_completion(call)
    return call


def _parse_number(
    headers: Mapping[str, str],
    name: str,
    default: float,
    minimum: float,
    maximum: float,
) -> float:
    text = headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not minimum <= value <= maximum:
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID,
            f"{name} is {text[:40]!r}; it must be a number from {minimum} to {maximum}",
        )
    return value


def _parse_idempotency_key(headers: Mapping[str, str]) -> IdempotencyKey:
    text = headers.get("Idempotency-Key", "")
    if len(text) > MAX_IDEMPOTENCY_KEY_LENGTH or not text.isprintable():
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID,
            f"Idempotency-Key has {len(text)} characters; it must have at most "
            f"{MAX_IDEMPOTENCY_KEY_LENGTH}, all printable",
        )
    return IdempotencyKey(text)


def _read_completion(call: Call) -> Call:
    """Takes from a completion's body what routing needs."""
    try:
        body = json.loads(call.body)
    except (ValueError, RecursionError) as error:
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, "the body is not JSON"
        ) from error
    if not isinstance(body, dict) or not isinstance(body.get("prompt"), str):
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED, "the body must be an object with a prompt"
        )
    tokens = body.get("max_tokens", DEFAULT_EXPECTED_TOKENS)
    if type(tokens) is not int or not 1 <= tokens <= 1 << 20:
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED,
            "max_tokens must be a whole number from 1 to 1048576",
        )
    return dataclasses.replace(
        call,
        stream=body.get("stream") is True,
        expected_tokens=tokens,
        prefix=hash_prefix(body["prompt"][:PREFIX_CHARACTERS]),
    )


def authenticate_call(
    call: Call, authorization: str | None, configuration: Configuration
) -> Call:
    """Turns the key into a client account; the key goes no further.

    Args:
        call: The call.
        authorization: The request's ``Authorization`` header.
        configuration: The configuration in force here.

    Returns:
        The call with account and key id, also for an open route.

    Raises:
        BuckthornstileError: ``KEY_MISSING``, ``KEY_UNKNOWN`` or
            ``KEY_WITHDRAWN``; none of them repeats the key.
    """
    route = configuration.find_open_route(call.route)
    if route is not None:
        return _give_account(call, route.account, OPEN_ROUTE_KEY, configuration)
    if configuration.revision == 0:
        raise BuckthornstileError(
            ErrorCode.CONFIGURATION_MISSING,
            "no configuration has been read yet",
            retry_after=1.0,
        )
    if not authorization or not authorization.startswith(KEY_PREFIX):
        raise BuckthornstileError(
            ErrorCode.KEY_MISSING, "the Authorization header has no Bearer key"
        )
    key = configuration.find_key(hash_key(authorization[len(KEY_PREFIX) :]))
    if key is None:
        raise BuckthornstileError(ErrorCode.KEY_UNKNOWN, "the key is not known")
    if key.withdrawn:
        raise BuckthornstileError(ErrorCode.KEY_WITHDRAWN, "the key was withdrawn")
    return _give_account(call, key.account, key.name, configuration)


def _give_account(
    call: Call, account: AccountId, key_id: KeyId, configuration: Configuration
) -> Call:
    known = configuration.accounts.get(account)
    return dataclasses.replace(
        call,
        account=account,
        key_id=key_id,
        weight=1.0 if known is None else known.weight,
        maximum_open=256 if known is None else known.maximum_open,
    )


def classify_call(call: Call, configuration: Configuration) -> Call:
    """Finds the service and class that the operators' rules give the call.

    Args:
        call: The authenticated call.
        configuration: The configuration in force here.

    Returns:
        The call with service, class and whether it may be repeated.

    Raises:
        BuckthornstileError: ``ROUTE_UNKNOWN`` if no rule serves it.
    """
    if call.key_id == OPEN_ROUTE_KEY:
        route = configuration.find_open_route(call.route)
        assert route is not None
        return dataclasses.replace(
            call,
            service=route.service,
            request_class=route.request_class,
            idempotent=route.idempotent,
        )
    rule = configuration.find_rule(call.route, call.account)
    if rule is None:
        raise BuckthornstileError(
            ErrorCode.ROUTE_UNKNOWN, "no rule serves this path for this account"
        )
    return dataclasses.replace(
        call,
        service=rule.service,
        request_class=rule.request_class,
        idempotent=rule.idempotent,
    )
