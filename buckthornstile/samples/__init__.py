"""Trainers' lots: true labels, bounded age, each sample delivered once."""

from buckthornstile.samples._actions import (
    Action,
    CancelSlot,
    CompleteLot,
    CutDelivery,
    DeliverSample,
    DispatchSlot,
    FailLot,
    ReleaseSamples,
    Sample,
)
from buckthornstile.samples._events import EngineUsage
from buckthornstile.samples._finished import FinishedCounters, FinishedSamples
from buckthornstile.samples._labels import LabelTracker
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
from buckthornstile.samples._lot import Lot
from buckthornstile.samples._policy import LotPolicy
from buckthornstile.samples._received import AttachRequest, Receipt, ReceivedSet
from buckthornstile.samples._running import RunningSlots
from buckthornstile.samples._specification import (
    GroupSpecification,
    LotSpecification,
    hash_prefix,
    make_lot_id,
    parse_specification,
)
from buckthornstile.samples._summary import LotCounters, LotSummary

__all__ = [
    "Action",
    "AttachRequest",
    "CancelSlot",
    "CompleteLot",
    "CutDelivery",
    "DeliverSample",
    "DispatchSlot",
    "EndLine",
    "EngineUsage",
    "ErrorLine",
    "FailLot",
    "FinishedCounters",
    "FinishedSamples",
    "GroupSpecification",
    "HeartbeatLine",
    "LabelTracker",
    "Line",
    "Lot",
    "LotCounters",
    "LotPolicy",
    "LotSpecification",
    "LotSummary",
    "Receipt",
    "ReceivedSet",
    "ReleaseSamples",
    "RunningSlots",
    "Sample",
    "SampleLine",
    "decode_line",
    "encode_line",
    "encode_sample",
    "hash_prefix",
    "make_lot_id",
    "parse_specification",
]
