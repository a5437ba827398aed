"""Tasks that one process at a time performs for all: lease, model loads, usage."""

from buckthornstile.duties._lease import (
    DUTY_TOPIC,
    DutyRecord,
    DutyState,
    Lease,
    LeaseRecord,
    SealRecord,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.duties._load_modes import LoadModePolicy
from buckthornstile.duties._model_loads import ModelLoadPlanner, PlannedModelLoad
from buckthornstile.duties._seal_history import SealHistory
from buckthornstile.duties._usage import UsageCounter, UsageTotals

__all__ = [
    "DUTY_TOPIC",
    "DutyState",
    "DutyRecord",
    "Lease",
    "LeaseRecord",
    "LoadModePolicy",
    "ModelLoadPlanner",
    "PlannedModelLoad",
    "SealHistory",
    "SealRecord",
    "UsageCounter",
    "UsageTotals",
    "decode_duty_record",
    "encode_duty_record",
]
