"""The lines of a lot's stream from the entry to the trainer, one JSON each."""

import hashlib
import json
from functools import singledispatch
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.samples._types import Sample, Slot, TokenRange

DIGEST_BYTES = 16
_Count = Annotated[int, Field(ge=0)]
_Label = tuple[_Count, _Count, _Count]


class _Line(BaseModel):
    model_config = ConfigDict(frozen=True)


class SampleLine(_Line):
    """One sample on its way to the trainer.

    Args:
        group: The slot's group.
        index: The slot's index.
        body: The engine's JSON answer.
        digest: BLAKE2b-128 of the body's canonical JSON, in hexadecimal.
        labels: First token, last token and version of each range.
        request_id: The request that made it.
    """

    group: int
    index: int
    body: dict[str, Any]
    digest: str
    labels: tuple[_Label, ...]
    request_id: str = ""

    @property
    def slot(self) -> Slot:
        """The sample's slot."""
        return Slot(self.group, self.index)

    @property
    def ranges(self) -> tuple[TokenRange, ...]:
        """The labels, typed."""
        return tuple(TokenRange(*label) for label in self.labels)  # type: ignore[arg-type]


class HeartbeatLine(_Line):
    """Proof that the entry still works on the lot."""


class EndLine(_Line):
    """Every sample of the lot has been delivered or received before.

    Args:
        delivered: The lot's samples.
    """

    delivered: int


class ErrorLine(_Line):
    """The lot failed at this entry.

    Args:
        code: The error's code.
        message: One sentence for a person.
        verdict: Whether samples may have been made.
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
    """Digests a JSON value, whatever the order of its keys.

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
    r"""Encodes a sample as one line, with its newline.

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
        body = json.loads(sample.body)
        line = SampleLine(
            group=sample.slot.group,
            index=sample.slot.index,
            body=body,
            digest=digest_body(body),
            labels=tuple((r.first, r.last, r.version) for r in sample.labels),
            request_id=sample.request_id,
        )
        return encode_line(line)
    except (ValueError, RecursionError) as error:
        raise BuckthornstileError(
            ErrorCode.BODY_MALFORMED,
            "a sample's body is not a JSON object",
            verdict=Verdict.MAY_HAVE_RUN,
        ) from error


def encode_line(line: Line) -> bytes:
    r"""Encodes one line of the stream, with its newline.

    Args:
        line: The line.

    Returns:
        UTF-8 JSON and a newline.

    Example:
        >>> encode_line(HeartbeatLine())
        b'{"heartbeat":true}\n'
    """
    return _encode_canonical(_wrap(line)) + b"\n"


@singledispatch
def _wrap(line: Line) -> dict[str, object]:
    raise TypeError(f"not a line: {line!r}")


@_wrap.register
def _(line: SampleLine) -> dict[str, object]:
    # The body is kept as it is: it may hold half of a surrogate pair, which an
    # engine that cuts a character makes.
    fields = line.model_dump(mode="json", exclude={"body"})
    return {"sample": {**fields, "body": line.body}}


@_wrap.register
def _(line: HeartbeatLine) -> dict[str, object]:
    return {"heartbeat": True}


@_wrap.register
def _(line: EndLine) -> dict[str, object]:
    return {"end": line.model_dump(mode="json")}


@_wrap.register
def _(line: ErrorLine) -> dict[str, object]:
    return {"error": line.model_dump(mode="json")}


def decode_line(data: bytes) -> Line:
    """Decodes one line of the stream.

    Args:
        data: The line, with or without its newline.

    Returns:
        The line.

    Raises:
        BuckthornstileError: With ``ANSWER_TRUNCATED`` for anything else.

    Example:
        >>> decode_line(b'{"end": {"delivered": 3}}').delivered
        3
    """
    try:
        envelope = _Envelope.model_validate(json.loads(data))
    except (ValueError, RecursionError) as error:
        raise _make_truncated() from error
    heartbeat = HeartbeatLine() if envelope.heartbeat else None
    line = envelope.sample or heartbeat or envelope.end or envelope.error
    if line is None:
        raise _make_truncated()
    return line


def _make_truncated() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.ANSWER_TRUNCATED,
        "a line of the lot's stream is broken",
        verdict=Verdict.MAY_HAVE_RUN,
    )
