"""How answers and errors are written to callers."""

import json
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Verdict,
    get_http_status,
)
from buckthornstile.wire import End, Started, make_digest

EVENT_STREAM = "text/event-stream"


def make_error_body(error: BuckthornstileError) -> dict[str, object]:
    """Makes the JSON body of an error.

    Args:
        error: The error.

    Returns:
        The body, with code, message, verdict and retry hint.

    Example:
        >>> make_error_body(BuckthornstileError(ErrorCode.DRAINING))["error"]["verdict"]
        'not_run'
    """
    return {
        "error": {
            "code": error.code.value,
            "message": error.message,
            "verdict": error.verdict.value,
            "retry_after": error.retry_after,
        }
    }


def write_error(handler: RequestHandler, error: BuckthornstileError) -> None:
    """Answers a request with a coded error.

    Args:
        handler: The request's handler; nothing has been written to it yet.
        error: The error.
    """
    handler.clear()
    handler.set_status(get_http_status(error.code))
    handler.set_header("X-Verdict", error.verdict.value)
    if error.retry_after:
        handler.set_header("Retry-After", f"{error.retry_after:.3f}")
    handler.finish(make_error_body(error))


class WholeWriter:
    """Collects an answer, and writes it only once it is known to be whole.

    Args:
        handler: The request's handler.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self._started: Started | None = None
        self._body = bytearray()

    @property
    def has_begun(self) -> bool:
        """Always False: the caller sees nothing before the end."""
        return False

    async def start(self, started: Started) -> None:
        """Takes the head, also that of a second send."""
        self._started = started
        self._body.clear()

    async def write(self, data: bytes) -> None:
        """Takes the next bytes."""
        self._body += data

    def finish(self, end: End) -> None:
        """Writes the whole answer."""
        assert self._started is not None
        self.handler.set_status(self._started.status)
        if self._started.content_type:
            self.handler.set_header("Content-Type", self._started.content_type)
        else:
            self.handler.clear_header("Content-Type")
        self.handler.set_header("X-Verdict", Verdict.RAN.value)
        self.handler.finish(bytes(self._body))


class StreamWriter:
    """Passes events on as they come, and ends with one that vouches for them.

    Args:
        handler: The request's handler.
        on_first: Called when the first bytes are written.
    """

    def __init__(
        self, handler: RequestHandler, *, on_first: Callable[[], None]
    ) -> None:
        self.handler = handler
        self.on_first = on_first
        self.length = 0
        self._digest = make_digest()
        self._begun = False

    @property
    def has_begun(self) -> bool:
        """Whether the caller has seen a part of the answer."""
        return self._begun

    async def start(self, started: Started) -> None:
        """Writes the head."""
        self.handler.set_status(started.status)
        self.handler.set_header("Content-Type", started.content_type or EVENT_STREAM)
        self.handler.set_header("Cache-Control", "no-store")
        # Small events must not wait for the acknowledgement of earlier ones.
        connection = self.handler.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.set_nodelay(True)

    async def write(self, data: bytes) -> None:
        """Writes the next bytes.

        Raises:
            BuckthornstileError: With ``CANCELLED`` if the caller has gone.
        """
        if not self._begun:
            self._begun = True
            self.on_first()
        self.length += len(data)
        self._digest.update(data)
        self.handler.write(data)
        try:
            await self.handler.flush()
        except StreamClosedError as error:
            raise BuckthornstileError(
                ErrorCode.CANCELLED,
                "the caller has gone",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error

    def finish(self, end: End) -> None:
        """Writes the event that says that the answer is whole."""
        event = {
            "length": self.length,
            "digest": self._digest.hexdigest(),
            "verdict": end.verdict.value,
        }
        self.handler.finish(make_event("end", event))

    def fail(self, error: BuckthornstileError) -> None:
        """Ends a begun stream with an error."""
        self.handler.finish(make_event("error", make_error_body(error)))


def make_event(name: str, data: dict[str, object]) -> bytes:
    r"""Makes a server-sent event.

    Args:
        name: The event's name.
        data: Its data.

    Returns:
        The event's bytes.

    Example:
        >>> make_event("end", {"length": 1})
        b'event: end\ndata: {"length": 1}\n\n'
    """
    return f"event: {name}\ndata: {json.dumps(data)}\n\n".encode()
