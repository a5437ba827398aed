"""Bounds the memory that the bodies of responses take in one process."""

from typing import Protocol

DEFAULT_MAX_RESPONSE_BYTES = 8 << 20
DEFAULT_MAX_TOTAL_BYTES = 64 << 20


class BufferedBody(Protocol):
    """The body of a response, while it is collected."""

    def abort(self, reason: str) -> None:
        """Discards the body and resets its connection."""


class ResponseLimit:
    """Limits the bodies that are collected, one by one and all together.

    A body that exceeds its own limit is aborted. If all bodies together exceed the
    total, the largest are aborted first: upstreams that send without end lose their
    responses, and small responses of other upstreams are kept.

    Buffers of streams take part of the same total. They are never aborted: a stream
    that gets no more bytes is read no further until its client has taken some.

    Args:
        max_response_bytes: Maximum size of one body.
        max_total_bytes: Maximum size of all bodies that are collected at a time.

    Example:
        >>> ResponseLimit(max_response_bytes=10).total_bytes
        0
    """

    def __init__(
        self,
        *,
        max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
        max_total_bytes: int = DEFAULT_MAX_TOTAL_BYTES,
    ) -> None:
        self.max_response_bytes = max_response_bytes
        self.max_total_bytes = max_total_bytes
        self.total_bytes = 0
        self.reserved_bytes = 0
        self._sizes: dict[BufferedBody, int] = {}

    def grow(self, body: BufferedBody, byte_count: int) -> None:
        """Adds bytes to a body; aborts it or larger ones if a limit is exceeded.

        Args:
            body: The body that the bytes belong to.
            byte_count: Number of bytes that were received.
        """
        size = self._sizes.get(body, 0) + byte_count
        self._sizes[body] = size
        self.total_bytes += byte_count
        if size > self.max_response_bytes:
            self.release(body)
            body.abort(f"the response exceeds {self.max_response_bytes} bytes")
        while self.total_bytes > self.max_total_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest.abort(
                f"all responses together exceed {self.max_total_bytes} bytes, and this "
                "one is the largest"
            )

    def release(self, body: BufferedBody) -> None:
        """Removes a body that is complete or was discarded."""
        self.total_bytes -= self._sizes.pop(body, 0)

    def reserve(self, byte_count: int) -> bool:
        """Takes bytes for the buffer of a stream, if few enough are taken.

        All buffers together take at most half of the total, so that streams of slow
        clients do not abort the responses of others.
        """
        reserved_bytes = self.reserved_bytes + byte_count
        if (
            reserved_bytes > self.max_total_bytes // 2
            or self.total_bytes + byte_count > self.max_total_bytes
        ):
            return False
        self.reserved_bytes = reserved_bytes
        self.total_bytes += byte_count
        return True

    def return_reserved(self, byte_count: int) -> None:
        """Gives back bytes that were reserved."""
        self.reserved_bytes -= byte_count
        self.total_bytes -= byte_count
