"""Lines of the stream by which an entry sends a lot to its trainer.

Each line is one JSON object.
"""

import hashlib
import json
from functools import singledispatch
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_json
from buckthornstile.samples._types import Sample, Slot, TokenRange

DIGEST_BYTES = 16
_NonNegativeInt = Annotated[int, Field(ge=0)]
_LabelFields = tuple[_NonNegativeInt, _NonNegativeInt, _NonNegativeInt]


class _BaseLine(BaseModel):
    model_config = ConfigDict(frozen=True)


class SampleLine(_BaseLine):
    """A sample, as it is sent to the trainer.

    Args:
        group: The slot's group.
        index: The slot's index.
        body: The engine's JSON response.
        digest: BLAKE2b-128 of the body's canonical JSON, in hexadecimal.
        labels: First event, last event and weight version of each range.
        request_id: Id of the request that generated it.
    """

    group: int
    index: int
    body: dict[str, Any]
    digest: str
    labels: tuple[_LabelFields, ...]
    request_id: str = ""

    @property
    def slot(self) -> Slot:
        """Position of the sample in the lot."""
        return Slot(self.group, self.index)

    @property
    def ranges(self) -> tuple[TokenRange, ...]:
        """The labels, as ``TokenRange`` objects."""
        return tuple(TokenRange(*label) for label in self.labels)  # type: ignore[arg-type]


class HeartbeatLine(_BaseLine):
    """Signal that the entry is still processing the lot."""


class EndLine(_BaseLine):
    """Last line of a lot, sent after all its samples have been delivered.

    Args:
        delivered: Number of delivered samples.
    """

    delivered: int


class ErrorLine(_BaseLine):
    """Error with which the lot failed at this entry.

    Args:
        code: The error code.
        message: One sentence that describes the error.
        verdict: Whether samples may have been generated.
        retry_after: Seconds after which a retry may succeed, if known.
    """

    code: ErrorCode
    message: str = ""
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    retry_after: float | None = None


Line = SampleLine | HeartbeatLine | EndLine | ErrorLine


class _Envelope(BaseModel):
    sample: SampleLine | None = None
    heartbeat: bool | None = None
    end: EndLine | None = None
    error: ErrorLine | None = None


def _encode_canonical(body: object) -> bytes:
    text = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return text.encode()


def digest_body(body: object) -> str:
    """Returns a digest of a JSON value, independent of the order of its keys.

    Args:
        body: The decoded JSON value.

    Returns:
        BLAKE2b-128 of its canonical JSON, in hexadecimal.

    Example:
        >>> digest_body({"a": 1, "b": 2}) == digest_body({"b": 2, "a": 1})
        True
    """
    digest = hashlib.blake2b(_encode_canonical(body), digest_size=DIGEST_BYTES)
    return digest.hexdigest()


def encode_sample(sample: Sample) -> bytes:
    r"""Encodes a sample as a line that ends with a newline.

    Args:
        sample: The sample.

    Returns:
        The line.

    Raises:
        BuckthornstileError: With ``BODY_MALFORMED`` if its body is not a JSON
            object.

    Example:
        >>> line = encode_sample(Sample(Slot(0, 1), b'{"text": "x"}', ()))
        >>> decode_line(line).slot
        Slot(group=0, index=1)
    """
    try:
        body = parse_json(sample.body)
        line = SampleLine(
            group=sample.slot.group,
            index=sample.slot.index,
            body=body,
            digest=digest_body(body),
            labels=tuple(
                (label.first, label.last, label.version) for label in sample.labels
            ),
            request_id=sample.request_id,
        )
        return encode_line(line)
    except (ValueError, RecursionError) as error:
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED,
            "the body of a sample is not a JSON object",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error


def encode_line(line: Line) -> bytes:
    r"""Encodes a line of the stream, with its newline.

    Args:
        line: The line.

    Returns:
        UTF-8 JSON and a newline.

    Example:
        >>> encode_line(HeartbeatLine())
        b'{"heartbeat":true}\n'
    """
    return _encode_canonical(_to_envelope(line)) + b"\n"


@singledispatch
def _to_envelope(line: Line) -> dict[str, object]:
    raise TypeError(f"unknown type of stream line: {line!r}")


@_to_envelope.register
def _(line: SampleLine) -> dict[str, object]:
    # The body bypasses model_dump, whose JSON mode alters or rejects object keys with a
    # lone surrogate. An engine that splits a character may send lone surrogates.
    fields = line.model_dump(mode="json", exclude={"body"})
    return {"sample": {**fields, "body": line.body}}


@_to_envelope.register
def _(line: HeartbeatLine) -> dict[str, object]:
    return {"heartbeat": True}


@_to_envelope.register
def _(line: EndLine) -> dict[str, object]:
    return {"end": line.model_dump(mode="json")}


@_to_envelope.register
def _(line: ErrorLine) -> dict[str, object]:
    return {"error": line.model_dump(mode="json")}


def decode_line(data: bytes) -> Line:
    """Decodes a line of the stream.

    Args:
        data: The line, with or without its newline.

    Returns:
        The line.

    Raises:
        BuckthornstileError: With ``ANSWER_TRUNCATED`` if the data is not a valid line.

    Example:
        >>> decode_line(b'{"end": {"delivered": 3}}').delivered
        3
    """
    try:
        envelope = _Envelope.model_validate(parse_json(data))
    except (ValueError, RecursionError) as error:
        raise _make_truncated_error() from error
    heartbeat = HeartbeatLine() if envelope.heartbeat else None
    line = envelope.sample or heartbeat or envelope.end or envelope.error
    if line is None:
        raise _make_truncated_error()
    return line


def _make_truncated_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.ANSWER_TRUNCATED,
        "a line of the lot's stream is not valid",
        verdict=Verdict.MAY_HAVE_RUN,
    )
