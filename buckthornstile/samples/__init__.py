"""Lots, samples and the stream format by which trainers receive them."""

from buckthornstile.samples._lines import (
    EndLine,
    ErrorLine,
    HeartbeatLine,
    Line,
    SampleLine,
    decode_line,
    encode_line,
    encode_sample,
)
from buckthornstile.samples._receiver import (
    AttachRequest,
    ReceiveResult,
    SampleReceiver,
)
from buckthornstile.samples._specification import (
    GroupSpecification,
    LotSpecification,
    hash_prefix,
    make_lot_id,
    parse_specification,
)
from buckthornstile.samples._types import Sample, Slot, TokenRange

__all__ = [
    "AttachRequest",
    "EndLine",
    "ErrorLine",
    "GroupSpecification",
    "HeartbeatLine",
    "Line",
    "LotSpecification",
    "ReceiveResult",
    "SampleReceiver",
    "Sample",
    "SampleLine",
    "Slot",
    "TokenRange",
    "decode_line",
    "encode_line",
    "encode_sample",
    "hash_prefix",
    "make_lot_id",
    "parse_specification",
]
