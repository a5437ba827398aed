"""When the holder of the lease re-appends the control state."""

from buckthornstile.control._fold import ControlFold
from buckthornstile.records import ControlSnapshot

DEFAULT_SNAPSHOT_RECORDS = 5_000
DEFAULT_SNAPSHOT_SECONDS = 300.0
DEFAULT_RETRY_SECONDS = 10.0
MAX_UNSEALED_RECORDS = 500
"""Unsealed usage above which a snapshot waits for the next seal."""


class SnapshotPlanner:
    """Decides when a snapshot is due, well before the log drops the last one.

    Args:
        fold: The control fold of this process.
        records: Records after the last snapshot at which one is due.
        seconds: Seconds after the last snapshot at which one is due.
        retry: Seconds after which an unconfirmed snapshot is repeated.

    Example:
        >>> planner = SnapshotPlanner(ControlFold(), seconds=60.0)
        >>> planner.decide(0.0).through
        -1
        >>> planner.decide(1.0) is None
        True
    """

    def __init__(
        self,
        fold: ControlFold,
        *,
        records: int = DEFAULT_SNAPSHOT_RECORDS,
        seconds: float = DEFAULT_SNAPSHOT_SECONDS,
        retry: float = DEFAULT_RETRY_SECONDS,
    ) -> None:
        self.fold = fold
        self.records = records
        self.seconds = seconds
        self.retry = retry
        self._next_at = float("-inf")

    def decide(self, now: float) -> ControlSnapshot | None:
        """Decides whether to append a snapshot now.

        Args:
            now: Monotonic seconds.

        Returns:
            The snapshot, or None.

        Example:
            >>> SnapshotPlanner(ControlFold()).decide(0.0).kind
            'control.snapshot'
        """
        if now < self._next_at:
            return None
        records = self.fold.offset - self.fold.snapshot_offset
        age = now - self.fold.snapshot_read_at
        urgency = max(records / self.records, age / self.seconds)
        # A seal empties the unsealed usage and makes the snapshot small; past
        # twice the bound it is appended whatever its size.
        is_large = self.fold.usage.unsealed_count > MAX_UNSEALED_RECORDS
        if urgency < (2.0 if is_large else 1.0):
            return None
        self._next_at = now + self.retry
        return self.fold.make_snapshot()
