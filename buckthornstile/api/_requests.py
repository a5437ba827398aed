"""Decoding of API requests and encoding of API responses."""

import json
import uuid
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from tornado.httputil import HTTPHeaders

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    Verdict,
    get_http_status,
    parse_json,
)
from buckthornstile.messages import Headers, Response, StreamingResponse

KEY_HEADER = "Authorization"
KEY_SCHEME = "bearer"
TIMEOUT_HEADER = "X-Timeout"
IDEMPOTENCY_HEADER = "Idempotency-Key"
VERDICT_HEADER = "X-Verdict"
FORWARDED_HEADERS = frozenset({"content-type", "accept"})
MAX_IDEMPOTENCY_KEY_LENGTH = 200
JSON_CONTENT_TYPE = ("Content-Type", "application/json")


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One HTTP request of a caller, trainer or operator.

    Args:
        id: The id that the entry generated for the request.
        method: The HTTP method.
        path: The path, without its query.
        query: The query string.
        host: The ``Host`` header, forwarded to a plain service.
        headers: The headers that are forwarded to a plain service.
        body: The body.
        key: The API key in plain text, or None.
        idempotency_key: The idempotency key that the caller chose, or empty.
        timeout: The value of the timeout header, or empty.
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

    def parse_json(self) -> object:
        """Parses the body as JSON.

        Raises:
            BuckthornstileError: ``BODY_MALFORMED``: the body is not valid JSON.
        """
        try:
            return parse_json(self.body)
        except (ValueError, RecursionError) as error:
            raise BuckthornstileError(
                ErrorCode.BODY_MALFORMED, "the body is not valid JSON"
            ) from error

    def get_query_parameter(self, name: str) -> str:
        """Returns the first value of a query parameter, or an empty string."""
        return parse_qs(self.query).get(name, [""])[0]

    def parse_timeout(self, default: float, maximum: float) -> float:
        """Returns the timeout of the request in seconds.

        Args:
            default: Timeout in seconds if the request has no timeout header.
            maximum: Upper bound of the result, in seconds.

        Raises:
            BuckthornstileError: ``HEADER_INVALID``: the header is not a finite number
                above 0.
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
                f"{TIMEOUT_HEADER} is {self.timeout[:20]!r}; it must be a finite "
                f"number of seconds above 0",
            )
        return min(seconds, maximum)


def decode_api_request(
    method: str, target: str, headers: HTTPHeaders, body: bytes
) -> ApiRequest:
    """Decodes a request; values of headers are validated only when they are used."""
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
    """Checks the idempotency key of a call.

    Raises:
        BuckthornstileError: ``HEADER_INVALID``: the key is too long or not printable.

    Example:
        >>> check_idempotency_key(IdempotencyKey("blade-7"))
    """
    if len(key) > MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise BuckthornstileError(
            ErrorCode.HEADER_INVALID,
            f"{IDEMPOTENCY_HEADER} must have at most {MAX_IDEMPOTENCY_KEY_LENGTH} "
            f"printable characters",
        )


def encode_api_response(
    request: ApiRequest, response: Response | StreamingResponse
) -> Headers:
    """Returns the headers of a response; the listener adds those of the connection."""
    return response.headers


def make_json_response(value: object, status: int = 200) -> Response:
    """Builds a JSON response of the entry itself.

    Example:
        >>> make_json_response({"version": 2}).body
        b'{"version": 2}'
    """
    return Response(status, json.dumps(value).encode(), (JSON_CONTENT_TYPE,))


def make_api_error(error: BuckthornstileError) -> Response:
    """Builds the response to a failed request: JSON with error code and verdict.

    Example:
        >>> make_api_error(BuckthornstileError(ErrorCode.KEY_MISSING)).status
        401
    """
    body = json.dumps({"error": describe_error(error)}).encode()
    headers = [JSON_CONTENT_TYPE, (VERDICT_HEADER, error.verdict.value)]
    if error.retry_after is not None:
        headers.append(("Retry-After", f"{error.retry_after:.3f}"))
    return Response(_get_status(error), body, tuple(headers))


def _get_status(error: BuckthornstileError) -> int:
    """Returns the status of an error; 429 and 503 promise that nothing has run."""
    status = get_http_status(error.code)
    if error.verdict is Verdict.NOT_RUN:
        return 503 if status >= 500 else status
    return 502 if status in (429, 503) else status


def describe_error(error: BuckthornstileError) -> dict[str, object]:
    """Returns an error as a JSON object of the API."""
    return {
        "code": error.code.value,
        "message": error.message,
        "verdict": error.verdict.value,
        "retry_after": error.retry_after,
    }
