"""Checks that an answer is whole, in order, and the answer to its request."""

import hashlib
from typing import Protocol

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.wire._messages import Chunk, End

DIGEST_BYTES = 16


class Digest(Protocol):
    """A running hash."""

    def update(self, data: bytes, /) -> None:
        """Adds bytes."""
        ...

    def digest(self) -> bytes:
        """Gives the digest so far."""
        ...

    def hexdigest(self) -> str:
        """Gives the digest so far, as hexadecimal digits."""
        ...


def make_digest() -> Digest:
    """Makes the running hash that whole answers are compared by: BLAKE2b-128.

    Example:
        >>> len(make_digest().digest())
        16
    """
    return hashlib.blake2b(digest_size=DIGEST_BYTES)


def compute_digest(data: bytes) -> bytes:
    """Computes the digest of a whole answer.

    Args:
        data: The answer.

    Returns:
        16 bytes.

    Example:
        >>> compute_digest(b"a") == compute_digest(b"b")
        False
    """
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class AnswerCheck:
    """Follows one answer's chunks and compares them with its end.

    Example:
        >>> check = AnswerCheck()
        >>> check.add(Chunk("e/1", 1, b"late"))
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: ...
    """

    def __init__(self) -> None:
        self.length = 0
        self._next_sequence = 0
        self._digest = make_digest()

    def add(self, chunk: Chunk) -> None:
        """Adds the next chunk.

        Raises:
            BuckthornstileError: With ``ANSWER_CROSSED`` if a chunk is missing,
                doubled or out of order.
        """
        if chunk.sequence != self._next_sequence:
            raise BuckthornstileError(
                ErrorCode.ANSWER_CROSSED,
                f"chunk {chunk.sequence} came in place of {self._next_sequence}",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        self._next_sequence += 1
        self.length += len(chunk.data)
        self._digest.update(chunk.data)

    def finish(self, end: End) -> None:
        """Compares what came with what the end declares.

        Raises:
            BuckthornstileError: With ``ANSWER_TRUNCATED`` if they differ.
        """
        if end.length != self.length or end.digest != self._digest.digest():
            raise BuckthornstileError(
                ErrorCode.ANSWER_TRUNCATED,
                f"{self.length} bytes came of an answer of {end.length}",
                verdict=Verdict.MAY_HAVE_RUN,
            )

    @property
    def hexdigest(self) -> str:
        """The digest of what came so far."""
        return self._digest.hexdigest()
