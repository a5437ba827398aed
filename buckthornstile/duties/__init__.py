"""What one process at a time does for all: the lease, loads and usage reports."""

from buckthornstile.duties._lease import (
    DUTY_TOPIC,
    DutyFold,
    DutyRecord,
    Lease,
    LeaseRecord,
    SealRecord,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.duties._usage import UsageCounter, UsageTotals
from buckthornstile.duties._weights import LoadPlanner, PlannedLoad

__all__ = [
    "DUTY_TOPIC",
    "DutyFold",
    "DutyRecord",
    "Lease",
    "LeaseRecord",
    "LoadPlanner",
    "PlannedLoad",
    "SealRecord",
    "UsageCounter",
    "UsageTotals",
    "decode_duty_record",
    "encode_duty_record",
]
