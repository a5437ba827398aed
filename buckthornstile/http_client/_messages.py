"""Requests and responses of the HTTP client."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(frozen=True, slots=True)
class HTTPRequest:
    """An HTTP request.

    Args:
        method: The HTTP method.
        target: Path and query.
        headers: Names and values, without the headers of the connection.
        body: The body; None sends no ``Content-Length``.
        echo_header: Name of a header that the response must repeat, or empty.
        echo: The value that this header must have.
    """

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes | None = None
    echo_header: str = ""
    echo: str = ""


@dataclass(slots=True)
class HTTPResponse:
    """An HTTP response; ``body`` grows until it is complete."""

    status: int
    headers: HTTPHeaders
    body: bytearray = field(default_factory=bytearray)


OnHeaders = Callable[[HTTPResponse], None]
"""Receives the response when its status and headers have arrived."""
OnData = Callable[[bytes], Awaitable[None] | None]
"""Receives a chunk of the body; reading pauses until a returned awaitable is done."""
