"""Parses the event stream of an entry and checks that it is complete."""

import hashlib
from collections.abc import Iterator

from buckthornstile.base import parse_json
from buckthornstile.client._errors import make_truncated_error, parse_error

MAX_EVENT_LINE_BYTES = 1 << 20
_END = b"event: end"
_ERROR = b"event: error"
_DATA = b"data:"
_DIGEST_BYTES = 16


class EventStreamParser:
    r"""Parses an event stream and checks that it matches its end event.

    The entry ends a complete stream with ``event: end``, which holds the length and
    digest of all bytes before it, and a failed stream with ``event: error``.

    Example:
        >>> parser = EventStreamParser()
        >>> list(parser.feed(b"data: hello\n\n"))
        [b'hello']
        >>> parser.finish()
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: the stream ended
        without its end event
    """

    def __init__(self) -> None:
        self._partial_line: list[bytes] = []
        self._partial_length = 0
        self._digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        self._length = 0
        self._final_event = b""
        self._end_matches = False

    @property
    def is_complete(self) -> bool:
        """Whether the end event has arrived and matches the bytes before it."""
        return self._end_matches

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Parses the next bytes and yields the data of each complete data line.

        Data that arrived before an error is yielded before the error is raised.

        Args:
            data: Next bytes of the stream, which may end anywhere in a line.

        Raises:
            BuckthornstileError: With the code of the stream's error event, or
                ``ANSWER_TRUNCATED`` for a stream that is malformed or does not
                match its end event.
        """
        for line in self._split_lines(data):
            payload = self._process_line(line)
            if payload is not None:
                yield payload

    def finish(self) -> None:
        """Checks that the stream is complete after its connection has ended.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED`` if the end event is missing.
        """
        if not self._end_matches:
            raise make_truncated_error("the stream ended without its end event")

    def _split_lines(self, data: bytes) -> list[bytes]:
        lines = data.split(b"\n")
        self._partial_line.append(lines[0])
        self._partial_length += len(lines[0])
        if self._partial_length > MAX_EVENT_LINE_BYTES:
            raise make_truncated_error("a line of the stream exceeds the length limit")
        if len(lines) == 1:
            return []
        lines[0] = b"".join(self._partial_line)
        rest = lines.pop()
        self._partial_line = [rest]
        self._partial_length = len(rest)
        return lines

    def _process_line(self, line: bytes) -> bytes | None:
        if self._final_event:
            self._process_final_event(line)
            return None
        if line in (_END, _ERROR):
            self._final_event = line
            return None
        self._digest.update(line + b"\n")
        self._length += len(line) + 1
        if line.startswith(_DATA):
            return line[len(_DATA) :].strip()
        return None

    def _process_final_event(self, line: bytes) -> None:
        if not line and self._end_matches:
            return
        if self._end_matches or not line.startswith(_DATA):
            raise make_truncated_error(
                "the stream's final event has no data or is not the last event"
            )
        payload = line[len(_DATA) :].strip()
        if self._final_event == _ERROR:
            raise parse_error(payload) or make_truncated_error(
                "the stream's error event is malformed"
            )
        self._check_end(payload)
        self._end_matches = True

    def _check_end(self, payload: bytes) -> None:
        try:
            end = parse_json(payload)
            matches = end["length"] == self._length
            matches = matches and end["digest"] == self._digest.hexdigest()
        except (ValueError, KeyError, TypeError) as error:
            raise make_truncated_error("the stream's end event is malformed") from error
        if not matches:
            raise make_truncated_error(
                "the stream does not match the length or digest in its end event"
            )
