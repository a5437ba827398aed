"""Passes an upstream's answer on to the entry, in few and ordered chunks."""

import asyncio
from collections.abc import Callable

from buckthornstile.agent._requests import AgentRequest
from buckthornstile.wire import Chunk, make_digest

FLUSH_INTERVAL_SECONDS = 0.01
MAX_CHUNK_BYTES = 256 << 10


class FlushTimer:
    """Flushes all streams that have new bytes together, in one write.

    With many streams open, a timer for each would cost a write for each.

    Args:
        interval: Seconds between two flushes.
    """

    def __init__(self, interval: float = FLUSH_INTERVAL_SECONDS) -> None:
        self.interval = interval
        self._waiting: list[Callable[[], None]] = []

    def add(self, flush: Callable[[], None]) -> None:
        """Asks for one call of ``flush`` at the next turn."""
        if not self._waiting:
            asyncio.get_running_loop().call_later(self.interval, self._flush)
        self._waiting.append(flush)

    def _flush(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for flush in waiting:
            flush()


class ChunkRelay:
    """Numbers, measures and hashes the bytes of one answer as they leave.

    Args:
        request: The request that is answered.
        timer: Shared by all streams of the agent.
    """

    def __init__(self, request: AgentRequest, timer: FlushTimer) -> None:
        self.request = request
        self.timer = timer
        self.length = 0
        self._digest = make_digest()
        self._sequence = 0
        self._buffer = bytearray()
        self._scheduled = False

    async def add(self, data: bytes) -> None:
        """Takes the next bytes; the first ones leave at once.

        Waits while the entry is so slow that much is still unsent.
        """
        self._buffer += data
        if self._sequence == 0:
            self.flush()
        elif not self._scheduled:
            self._scheduled = True
            self.timer.add(self._flush_on_time)
        if self.request.connection is not None:
            await self.request.connection.wait_writable()

    def _flush_on_time(self) -> None:
        self._scheduled = False
        self.flush()

    def flush(self) -> None:
        """Sends what has been collected."""
        data = bytes(self._buffer)
        self._buffer.clear()
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            part = data[start : start + MAX_CHUNK_BYTES]
            self.length += len(part)
            self._digest.update(part)
            self.request.reply(
                Chunk(self.request.dispatch.request_id, self._sequence, part)
            )
            self._sequence += 1

    @property
    def digest(self) -> bytes:
        """The digest of what has been sent."""
        return self._digest.digest()
