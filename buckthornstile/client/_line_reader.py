"""Splits an exchange's answer into lines, with a bound on each line's length."""

from collections import deque

from buckthornstile.client._errors import make_truncated
from buckthornstile.client._exchange import Exchange

MAX_LINE_BYTES = 16 << 20


class LineReader:
    """Reads the lines of one exchange.

    A line that the connection's end cuts off is never returned.

    Args:
        exchange: The exchange, whose head has been read.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._chunks = exchange.iterate()
        self._lines: deque[bytes] = deque()
        self._parts: list[bytes] = []
        self._length = 0

    async def read(self) -> bytes | None:
        """Reads the next line, without its newline; None at the end.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED``.
        """
        while not self._lines:
            chunk = await anext(self._chunks, None)
            if chunk is None:
                return None
            self._take(chunk)
        return self._lines.popleft()

    def _take(self, chunk: bytes) -> None:
        lines = chunk.split(b"\n")
        self._parts.append(lines[0])
        self._length += len(lines[0])
        if self._length > MAX_LINE_BYTES:
            raise make_truncated("a line of the answer is too long")
        if len(lines) == 1:
            return
        lines[0] = b"".join(self._parts)
        rest = lines.pop()
        self._parts = [rest]
        self._length = len(rest)
        self._lines.extend(line for line in lines if line)
