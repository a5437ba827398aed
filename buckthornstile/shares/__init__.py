"""Shares of engines among the owners of jobs, and the order of their items."""

from buckthornstile.shares._assignment import (
    Assignment,
    Engine,
    compute_assignment,
)
from buckthornstile.shares._order import (
    GroupState,
    ItemRank,
    compute_slack,
    compute_urgency,
    estimate_remaining_events,
    find_spare_groups,
    has_enough_groups,
    rank_item,
)
from buckthornstile.shares._records import (
    EngineDemand,
    EngineSection,
    Flow,
    ShareRecord,
    decode_share_record,
)
from buckthornstile.shares._table import (
    EVIDENCE_LIFETIME,
    EngineState,
    ShareMode,
    ShareTable,
    SlotUse,
)

__all__ = [
    "EVIDENCE_LIFETIME",
    "Assignment",
    "Engine",
    "EngineDemand",
    "EngineSection",
    "EngineState",
    "Flow",
    "GroupState",
    "ItemRank",
    "ShareMode",
    "ShareRecord",
    "ShareTable",
    "SlotUse",
    "compute_assignment",
    "compute_slack",
    "compute_urgency",
    "decode_share_record",
    "estimate_remaining_events",
    "find_spare_groups",
    "has_enough_groups",
    "rank_item",
]
