"""The usage fold's state, as a control snapshot holds it."""

from pydantic import BaseModel, ConfigDict

from buckthornstile.base import (
    AccountId,
    Incarnation,
    Offset,
    RequestClass,
    ServiceName,
    WindowStart,
)
from buckthornstile.records import RecoveredUsage, UsageSeal
from buckthornstile.usage._totals import UsageAmount, UsageKey, UsageTotals


class _State(BaseModel):
    model_config = ConfigDict(frozen=True)


class SealMark(_State):
    """Where the last accepted seal ended.

    Example:
        >>> SealMark(window=60, duration=60, through=9).next_window
        120
    """

    window: WindowStart
    duration: int
    through: Offset

    @property
    def next_window(self) -> WindowStart:
        """The only window that the next seal may be for."""
        return WindowStart(self.window + self.duration)


class SignedLine(_State):
    """A usage line whose amounts may be negative."""

    account: AccountId
    service: ServiceName
    request_class: RequestClass
    amounts: tuple[int, int, int]


class EntryUsageState(_State):
    """What the log holds of one entry's usage.

    Args:
        entry: The entry's incarnation.
        ranges: Counters that its batches cover.
        recovered: Recovered requests that no batch covers, one by one.
        merged_ranges: Counters of older ones, merged.
        merged_lines: Their sums.
        last_seal: The count of seals at its last record.

    Example:
        >>> EntryUsageState(entry="e1-1").ranges
        ()
    """

    entry: Incarnation
    ranges: tuple[tuple[int, int], ...] = ()
    recovered: tuple[RecoveredUsage, ...] = ()
    merged_ranges: tuple[tuple[int, int], ...] = ()
    merged_lines: tuple[SignedLine, ...] = ()
    last_seal: int = 0


class OffsetUsage(_State):
    """The usage that one record of the log added."""

    offset: Offset
    lines: tuple[SignedLine, ...]


class UsageState(_State):
    """All that a usage fold needs to go on from an offset.

    Example:
        >>> UsageState().seal_count
        0
    """

    entries: tuple[EntryUsageState, ...] = ()
    unsealed: tuple[OffsetUsage, ...] = ()
    carried: tuple[SignedLine, ...] = ()
    last_seal: SealMark | None = None
    seal_count: int = 0
    unreported: tuple[UsageSeal, ...] = ()


def make_signed_lines(totals: UsageTotals) -> tuple[SignedLine, ...]:
    """Makes a snapshot's lines of signed sums."""
    return tuple(
        SignedLine(
            account=key.account,
            service=key.service,
            request_class=key.request_class,
            amounts=amount,
        )
        for key, amount in totals.amounts.items()
    )


def make_signed_totals(lines: tuple[SignedLine, ...]) -> UsageTotals:
    """Makes signed sums of a snapshot's lines."""
    totals = UsageTotals()
    for line in lines:
        key = UsageKey(line.account, line.service, line.request_class)
        totals.amounts[key] = UsageAmount(*line.amounts)
    return totals
