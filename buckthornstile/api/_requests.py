"""Requests of the product's own interface, and the answers in its form."""

import json
import uuid
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from tornado.httputil import HTTPHeaders

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    get_http_status,
)
from buckthornstile.messages import Headers, Response, StreamingResponse

KEY_HEADER = "Authorization"
KEY_SCHEME = "bearer"
TIMEOUT_HEADER = "X-Timeout"
IDEMPOTENCY_HEADER = "Idempotency-Key"
VERDICT_HEADER = "X-Verdict"
FORWARDED_HEADERS = frozenset({"content-type", "accept"})
MAX_IDEMPOTENCY_KEY_LENGTH = 200
JSON_TYPE = ("Content-Type", "application/json")


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One attempt of a caller, trainer or operator.

    Args:
        id: The system's own id for it.
        method: The HTTP method.
        path: The path, without its query.
        query: The query.
        host: The host that it names, which goes on to a plain service.
        headers: What goes on to a plain service.
        body: The body.
        key: The client account's key, or None.
        idempotency_key: The caller's name for the call, or empty.
        timeout: The header that names its timeout, or empty.
    """

    id: str
    method: str
    path: str
    query: str = ""
    host: str = ""
    headers: Headers = ()
    body: bytes = b""
    key: str | None = field(default=None, repr=False)
    idempotency_key: IdempotencyKey = IdempotencyKey("")
    timeout: str = ""

    def read_json(self) -> object:
        """Reads the body.

        Raises:
            BuckthornstileError: ``BODY_MALFORMED``: it is no JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "the body is no JSON"
            ) from error

    def read_argument(self, name: str) -> str:
        """Reads an argument of the query, or gives an empty text."""
        return parse_qs(self.query).get(name, [""])[0]

    def read_timeout(self, default: float, maximum: float) -> float:
        """Reads the seconds that the caller still waits.

        Raises:
            BuckthornstileError: ``HEADER_INVALID``: it is no time in range.
        """
        if not self.timeout:
            return default
        try:
            seconds = float(self.timeout)
        except ValueError:
            seconds = -1.0
        if not 0 < seconds < float("inf"):
            raise BuckthornstileError(
                ErrorCode.HEADER_INVALID,
                f"{TIMEOUT_HEADER} is {self.timeout[:20]!r}; it must be above 0 s",
            )
        return min(seconds, maximum)


def decode_api_request(
    method: str, target: str, headers: HTTPHeaders, body: bytes
) -> ApiRequest:
    """Decodes a request; a header out of its range is found when it is used."""
    path, _, query = target.partition("?")
    scheme, _, key = headers.get(KEY_HEADER, "").partition(" ")
    return ApiRequest(
        id=uuid.uuid4().hex[:16],
        method=method,
        path=path,
        query=query,
        host=headers.get("Host", ""),
        headers=tuple(
            (name, value)
            for name, value in headers.get_all()
            if name.lower() in FORWARDED_HEADERS
        ),
        body=body,
        key=key.strip() if scheme.lower() == KEY_SCHEME else None,
        idempotency_key=IdempotencyKey(headers.get(IDEMPOTENCY_HEADER, "")),
        timeout=headers.get(TIMEOUT_HEADER, ""),
    )


def check_idempotency_key(key: IdempotencyKey) -> None:
    """Checks the caller's name for a call.

    Raises:
        BuckthornstileError: ``HEADER_INVALID``: it is too long or not printable.

    Example:
        >>> check_idempotency_key(IdempotencyKey("blade-7"))
    """
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID,
            f"{IDEMPOTENCY_HEADER} must hold at most {MAX_IDEMPOTENCY_KEY_LENGTH} "
            f"printable characters",
        )


def encode_api_response(
    request: ApiRequest, reply: Response | StreamingResponse
) -> Headers:
    """Gives the headers of an answer, without those of the connection."""
    return reply.headers


def make_json_reply(value: object, status: int = 200) -> Response:
    """Makes an answer of the system itself.

    Example:
        >>> make_json_reply({"version": 2}).body
        b'{"version": 2}'
    """
    return Response(status, json.dumps(value).encode(), (JSON_TYPE,))


def make_api_error(error: BuckthornstileError) -> Response:
    """Makes the answer to a request that failed: JSON with code and verdict.

    Example:
        >>> make_api_error(BuckthornstileError(ErrorCode.KEY_MISSING)).status
        401
    """
    body = json.dumps({"error": describe_error(error)}).encode()
    headers = [JSON_TYPE, (VERDICT_HEADER, error.verdict.value)]
    if error.retry_after is not None:
        headers.append(("Retry-After", f"{error.retry_after:.3f}"))
    return Response(get_http_status(error.code), body, tuple(headers))


def describe_error(error: BuckthornstileError) -> dict[str, object]:
    """Describes an error as the interface shows it."""
    return {
        "code": error.code.value,
        "message": error.message,
        "verdict": error.verdict.value,
        "retry_after": error.retry_after,
    }
