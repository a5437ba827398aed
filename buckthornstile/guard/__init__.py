"""The at-most-once guard: no request starts twice, and verdicts are true."""

from buckthornstile.guard._table import (
    VERDICTS,
    VM_LIST_LAG_SECONDS,
    CallName,
    GuardAction,
    GuardCounters,
    GuardDecision,
    KeptAnswer,
    RequestState,
    RequestTable,
    make_call_name,
)

__all__ = [
    "VERDICTS",
    "VM_LIST_LAG_SECONDS",
    "CallName",
    "GuardAction",
    "GuardCounters",
    "GuardDecision",
    "KeptAnswer",
    "RequestState",
    "RequestTable",
    "make_call_name",
]
