"""Admission of requests by predicted start, priority and fairness; without I/O."""

from buckthornstile.admission._records import (
    MAX_RECORD_BYTES,
    AdmissionRecord,
    ServiceRecord,
    SharedReturn,
    decode_admission_record,
)
from buckthornstile.admission._reservations import (
    MIN_RETRY_DELAY,
    Reservation,
    ReservationTable,
)
from buckthornstile.admission._service_admission import ServiceAdmission
from buckthornstile.admission._shares import (
    AccountMeter,
    AccountRates,
    compute_fair_shares,
    compute_weights,
)
from buckthornstile.admission._types import (
    AdmissionRequest,
    Decision,
    Forecast,
    Priority,
    RefusalReason,
)
from buckthornstile.admission._work import DecayingRate, WorkDurations

__all__ = [
    "MAX_RECORD_BYTES",
    "MIN_RETRY_DELAY",
    "AccountMeter",
    "AccountRates",
    "AdmissionRecord",
    "AdmissionRequest",
    "DecayingRate",
    "Decision",
    "Forecast",
    "Priority",
    "RefusalReason",
    "Reservation",
    "ReservationTable",
    "ServiceAdmission",
    "ServiceRecord",
    "SharedReturn",
    "WorkDurations",
    "compute_fair_shares",
    "compute_weights",
    "decode_admission_record",
]
