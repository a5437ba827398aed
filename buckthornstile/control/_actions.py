"""What the control core asks its shell to do."""

from dataclasses import dataclass

from buckthornstile.orders import ReadOrders, SendAgentOrder, SendUpstreamOrder
from buckthornstile.records import Record, UsageSeal


@dataclass(frozen=True, slots=True)
class Append:
    """Append this record to the log; its read-back tells whether it took effect.

    Args:
        record: The record.
        needs_lease: Whether to drop it unless the lease still holds.
    """

    record: Record
    needs_lease: bool = True


@dataclass(frozen=True, slots=True)
class SendReport:
    """Report this accepted seal to the platform, within ``timeout`` seconds."""

    seal: UsageSeal
    timeout: float


ControlAction = Append | SendReport | SendUpstreamOrder | SendAgentOrder | ReadOrders
