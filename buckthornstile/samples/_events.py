"""Parses an engine's answer into tokens with the version that made each.

A streamed answer is server-sent events: one ``data:`` line a token with
``token``, ``index`` and ``version``, then one with ``usage`` and ``version``,
then ``data: [DONE]``. A whole answer is one JSON object with ``text``,
``tokens``, ``versions`` (ranges) and ``usage``.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict

MAX_LINE_BYTES = 1 << 16
_DECODER = json.JSONDecoder()
_DATA = b"data:"
_DONE = b"[DONE]"
_IGNORED = (b":", b"event:", b"id:", b"retry:")


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """The engine's last event: what the answer took, and its version then."""

    prompt_tokens: int
    generated_tokens: int
    version: int | None


class EventLines:
    r"""Splits a stream of bytes into the payloads of its ``data:`` lines.

    Its work is linear in the bytes, however they are cut.

    Example:
        >>> lines = EventLines()
        >>> list(lines.feed(b'data: {"a"')), list(lines.feed(b": 1}\n\n"))
        ([], [b'{"a": 1}'])
    """

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._length = 0

    @property
    def has_rest(self) -> bool:
        """Whether a line has begun that has not ended."""
        return self._length > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Takes in bytes and yields the payloads that they complete.

        Args:
            data: The next bytes of the stream.

        Raises:
            BuckthornstileError: With ``VERSION_UNVERIFIABLE`` for a line that is
                too long or is not of a known field.
        """
        first, separator, rest = data.partition(b"\n")
        self._parts.append(first)
        self._length += len(first)
        if self._length > MAX_LINE_BYTES:
            raise make_unverifiable("a line of the engine's stream is too long")
        if not separator:
            return
        lines = [b"".join(self._parts), *rest.split(b"\n")]
        last = lines.pop() if rest or separator else b""
        self._parts = [last]
        self._length = len(last)
        for line in lines:
            payload = _parse_line(line)
            if payload:
                yield payload


def _parse_line(line: bytes) -> bytes | None:
    if line.startswith(_DATA):
        return line[len(_DATA) :].strip()
    stripped = line.rstrip(b"\r")
    if not stripped or stripped.startswith(_IGNORED):
        return None
    raise make_unverifiable("the engine's stream holds a line without data")


def is_done(payload: bytes) -> bool:
    """Says whether a payload is the stream's end mark.

    Args:
        payload: One event's data.

    Example:
        >>> is_done(b"[DONE]")
        True
    """
    return payload == _DONE


def decode_object(payload: bytes) -> dict[str, object]:
    """Decodes a JSON object of the engine.

    Args:
        payload: The JSON text.

    Raises:
        BuckthornstileError: With ``VERSION_UNVERIFIABLE`` for anything else.

    Example:
        >>> decode_object(b'{"index": 1}')
        {'index': 1}
    """
    try:
        # Faster than ``json.loads``, which first guesses the encoding.
        value = _DECODER.decode(payload.decode())
    except (ValueError, RecursionError) as error:
        raise make_unverifiable("the engine's answer is not JSON") from error
    if not isinstance(value, dict):
        raise make_unverifiable("the engine's answer is not a JSON object")
    return value


def parse_usage(value: dict[str, object]) -> EngineUsage:
    """Reads the usage of an answer.

    Args:
        value: The object that holds ``usage`` and maybe ``version``.

    Raises:
        BuckthornstileError: With ``VERSION_UNVERIFIABLE`` without whole counts.

    Example:
        >>> parse_usage({"usage": {"completion_tokens": 3}, "version": 2})
        EngineUsage(prompt_tokens=0, generated_tokens=3, version=2)
    """
    usage = value.get("usage")
    if not isinstance(usage, dict):
        raise make_unverifiable("the engine's answer has no usage")
    generated = usage.get("completion_tokens", usage.get("generated_tokens"))
    prompt = usage.get("prompt_tokens", 0)
    version = value.get("version")
    if not is_count(generated) or not is_count(prompt):
        raise make_unverifiable("the engine's usage is not in whole numbers")
    if version is not None and not is_count(version):
        raise make_unverifiable("the engine's last version is not a whole number")
    return EngineUsage(prompt, generated, version)  # type: ignore[arg-type]


def is_count(value: object) -> bool:
    """Says whether a JSON value is a whole number from 0 up, and no boolean.

    Args:
        value: The value.

    Example:
        >>> is_count(True), is_count(0)
        (False, True)
    """
    return type(value) is int and value >= 0


def make_unverifiable(message: str) -> BuckthornstileError:
    """Makes the error for an answer whose versions cannot be proved.

    Args:
        message: What is wrong with it.

    Example:
        >>> make_unverifiable("no version").code.value
        'upstream.version_unverifiable'
    """
    return BuckthornstileError(
        ErrorCode.VERSION_UNVERIFIABLE, message, verdict=Verdict.MAY_HAVE_RUN
    )
