"""Reads an entry's event stream and verifies that it is whole."""

import hashlib
import json
from collections.abc import Iterator

from buckthornstile.client._errors import make_truncated, parse_error

MAX_LINE_BYTES = 1 << 20
_END = b"event: end"
_ERROR = b"event: error"
_DATA = b"data:"
_DIGEST_BYTES = 16


class EventStreamParser:
    r"""Yields the data of events; the stream's own end event must match them.

    The entry ends a good stream with ``event: end`` and the length and digest
    of all bytes before it, and a failed one with ``event: error``.

    Example:
        >>> reader = EventStreamParser()
        >>> list(reader.feed(b"data: hello\n\n"))
        [b'hello']
        >>> reader.finish()
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: the stream ended early
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._line_length = 0
        self._digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self._length = 0
        self._last_event = b""
        self._whole = False

    @property
    def is_complete(self) -> bool:
        """Whether the end event has come and matches what came before."""
        return self._whole

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Takes in the next bytes of the stream.

        Yields the data of the events that they complete, one item a line, also
        of those that came before an error.

        Args:
            data: The bytes, cut anywhere.

        Raises:
            BuckthornstileError: The entry's own error, or ``ANSWER_TRUNCATED``
                for a stream that does not match its end event.
        """
        for line in self._split(data):
            payload = self._take_line(line)
            if payload is not None:
                yield payload

    def finish(self) -> None:
        """Checks that the stream was whole, when its connection has ended.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED``.
        """
        if not self._whole:
            raise make_truncated("the stream ended early")

    def _split(self, data: bytes) -> list[bytes]:
        lines = data.split(b"\n")
        self._parts.append(lines[0])
        self._line_length += len(lines[0])
        if self._line_length > MAX_LINE_BYTES:
            raise make_truncated("a line of the stream is too long")
        if len(lines) == 1:
            return []
        lines[0] = b"".join(self._parts)
        rest = lines.pop()
        self._parts = [rest]
        self._line_length = len(rest)
        return lines

    def _take_line(self, line: bytes) -> bytes | None:
        if self._last_event:
            self._take_last_event(line)
            return None
        if line in (_END, _ERROR):
            self._last_event = line
            return None
        self._digest.update(line + b"\n")
        self._length += len(line) + 1
        if line.startswith(_DATA):
            return line[len(_DATA) :].strip()
        return None

    def _take_last_event(self, line: bytes) -> None:
        if not line and self._whole:
            return
        if self._whole or not line.startswith(_DATA):
            raise make_truncated("the stream goes on after its end")
        payload = line[len(_DATA) :].strip()
        if self._last_event == _ERROR:
            raise parse_error(payload) or make_truncated("the stream failed")
        self._check_end(payload)
        self._whole = True

    def _check_end(self, payload: bytes) -> None:
        try:
            end = json.loads(payload)
            matches = end["length"] == self._length
            matches = matches and end["digest"] == self._digest.hexdigest()
        except (ValueError, KeyError, TypeError) as error:
            raise make_truncated("the stream's end is malformed") from error
        if not matches:
            raise make_truncated("the stream does not match its length or digest")
