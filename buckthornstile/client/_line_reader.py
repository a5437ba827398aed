"""Splits a response into lines of bounded length."""

from collections import deque

from buckthornstile.client._errors import make_truncated_error
from buckthornstile.client._exchange import Exchange

MAX_LINE_BYTES = 16 << 20


class LineReader:
    """Reads the lines of one exchange.

    An incomplete line at the end of the connection is not returned.

    Args:
        exchange: Exchange whose headers have been read.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._chunks = exchange.iterate_chunks()
        self._lines: deque[bytes] = deque()
        self._partial_line: list[bytes] = []
        self._partial_length = 0

    async def read(self) -> bytes | None:
        """Returns the next line without its newline, or None at the end.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED`` for a line that exceeds the
                length limit or a connection that ended before the response did.
        """
        while not self._lines:
            chunk = await anext(self._chunks, None)
            if chunk is None:
                return None
            self._split_chunk(chunk)
        return self._lines.popleft()

    def _split_chunk(self, chunk: bytes) -> None:
        lines = chunk.split(b"\n")
        self._partial_line.append(lines[0])
        self._partial_length += len(lines[0])
        if self._partial_length > MAX_LINE_BYTES:
            raise make_truncated_error(
                "a line of the response exceeds the length limit"
            )
        if len(lines) == 1:
            return
        lines[0] = b"".join(self._partial_line)
        rest = lines.pop()
        self._partial_line = [rest]
        self._partial_length = len(rest)
        self._lines.extend(line for line in lines if line)
