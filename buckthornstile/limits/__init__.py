"""Limits on concurrency, open requests, retries and time."""

from buckthornstile.limits._admission import Admission, AdmissionResult
from buckthornstile.limits._concurrency import ConcurrencyLimit, RampRestart
from buckthornstile.limits._deadlines import Deadline
from buckthornstile.limits._retries import RetryBudget

__all__ = [
    "Admission",
    "AdmissionResult",
    "ConcurrencyLimit",
    "Deadline",
    "RampRestart",
    "RetryBudget",
]
