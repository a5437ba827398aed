"""Usage: counted once by entries and agents, folded, sealed by window, reported."""

from buckthornstile.usage._counter import UsageCounter
from buckthornstile.usage._fold import UsageFold, UsageRecord
from buckthornstile.usage._ledger import UsageLedger
from buckthornstile.usage._ranges import RangeSet
from buckthornstile.usage._seals import plan_seal
from buckthornstile.usage._state import EntryUsageState, SealMark, UsageState
from buckthornstile.usage._totals import UsageTotals

__all__ = [
    "EntryUsageState",
    "RangeSet",
    "SealMark",
    "UsageCounter",
    "UsageFold",
    "UsageLedger",
    "UsageRecord",
    "UsageState",
    "UsageTotals",
    "plan_seal",
]
