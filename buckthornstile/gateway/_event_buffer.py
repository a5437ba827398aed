"""Buffer for the events of a stream on their way to a client."""

import asyncio
from collections import deque

from buckthornstile.http_client import ResponseLimit
from buckthornstile.messages import StreamEvent

EVENT_OVERHEAD_BYTES = 400
"""Approximate memory that an event takes beyond its text."""
FREE_BYTES = 512 << 10
"""Memory that each stream may take whatever the others take."""

EncodedEvent = tuple[StreamEvent, bytes]
"""An event with the block of bytes that encodes it."""


class EventBuffer:
    """Passes events from one task to another, limited in bytes.

    An upstream cuts off a response that is not read for some seconds. The events of a
    stream whose client reads slowly are therefore kept beyond ``FREE_BYTES``, as long
    as the limit that all responses share allows it. Then the producer waits, which
    pauses reading from the upstream. An event that is larger than that passes alone.

    Args:
        limit: Limits what all responses of the process take together.

    Attributes:
        byte_count: Size of the events that are buffered, in bytes.

    Example:
        >>> EventBuffer(ResponseLimit()).is_empty()
        True
    """

    def __init__(self, limit: ResponseLimit) -> None:
        self.limit = limit
        self._events: deque[EncodedEvent] = deque()
        self.byte_count = 0
        self._reserved_bytes = 0
        self._added = asyncio.Event()
        self._removed = asyncio.Event()

    def is_empty(self) -> bool:
        """Whether the buffer holds no event."""
        return not self._events

    async def put(self, event: EncodedEvent) -> None:
        """Adds an event, after waiting until there is room for it."""
        byte_count = self.byte_count + _estimate_size(event)
        while self._events and not self._reserve(byte_count):
            self._removed.clear()
            await self._removed.wait()
            byte_count = self.byte_count + _estimate_size(event)
        self._events.append(event)
        self.byte_count = byte_count
        self._added.set()

    async def get(self) -> EncodedEvent:
        """Removes and returns the oldest event, after waiting for one."""
        while not self._events:
            self._added.clear()
            await self._added.wait()
        return self.get_nowait()

    def get_nowait(self) -> EncodedEvent:
        """Removes and returns the oldest event.

        Raises:
            IndexError: The buffer is empty.
        """
        event = self._events.popleft()
        self.byte_count -= _estimate_size(event)
        self._return_unneeded()
        self._removed.set()
        return event

    def discard(self) -> None:
        """Removes all events, which will not be read any more."""
        self._events.clear()
        self.byte_count = 0
        self._return_unneeded()

    def _reserve(self, byte_count: int) -> bool:
        """Whether the buffer may grow to a size, which is then reserved."""
        needed = byte_count - FREE_BYTES
        additional = needed - self._reserved_bytes
        if additional <= 0:
            return True
        if needed > self.limit.max_response_bytes or not self.limit.reserve(additional):
            return False
        self._reserved_bytes = needed
        return True

    def _return_unneeded(self) -> None:
        needed = max(0, self.byte_count - FREE_BYTES)
        if needed < self._reserved_bytes:
            self.limit.return_reserved(self._reserved_bytes - needed)
            self._reserved_bytes = needed


def _estimate_size(event: EncodedEvent) -> int:
    # The text is held both decoded and encoded.
    return 2 * len(event[1]) + EVENT_OVERHEAD_BYTES
