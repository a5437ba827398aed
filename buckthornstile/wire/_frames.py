"""Cuts a byte stream into length-prefixed frames, and back."""

import struct

from buckthornstile.base import BuckthornstileError, ErrorCode

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 32 << 20
MAX_UNPROVEN_FRAME_BYTES = 4 << 10
_LENGTH = struct.Struct(">I")


def make_frame(body: bytes) -> bytes:
    r"""Puts the length before a message.

    Args:
        body: The encoded message.

    Returns:
        The frame.

    Raises:
        ValueError: The message is too large.

    Example:
        >>> make_frame(b"abc")
        b'\x00\x00\x00\x03abc'
    """
    if len(body) > MAX_FRAME_BYTES:
        raise ValueError(
            f"a message has {len(body)} bytes; it must have at most {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(body)) + body


class FrameParser:
    r"""Collects bytes and gives back whole frames.

    Args:
        max_frame_bytes: The greatest frame accepted; may be raised once the
            peer has proved the deployment secret.

    Example:
        >>> parser = FrameParser()
        >>> parser.feed(b"\x00\x00\x00\x03ab"), parser.feed(b"c")
        ([], [b'abc'])
    """

    def __init__(self, max_frame_bytes: int = MAX_UNPROVEN_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and cuts off the frames that are whole.

        Args:
            data: The next bytes of the stream.

        Returns:
            The bodies of the whole frames, in order.

        Raises:
            BuckthornstileError: With ``FRAME_MALFORMED`` for a frame that is
                empty or too long.
        """
        self._buffer += data
        frames: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if not 0 < length <= self.max_frame_bytes:
                raise BuckthornstileError(
                    ErrorCode.FRAME_MALFORMED,
                    f"a frame has {length} bytes; it must have 1 to "
                    f"{self.max_frame_bytes}",
                )
            end = start + LENGTH_BYTES + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[start + LENGTH_BYTES : end]))
            start = end
        del self._buffer[:start]
        return frames
