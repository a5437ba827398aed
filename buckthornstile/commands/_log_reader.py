"""Reads the platform's log to its end and folds the configuration."""

from collections import deque
from dataclasses import dataclass

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Offset,
    Revision,
)
from buckthornstile.configuration import Configuration, ConfigurationFold
from buckthornstile.ports import LogPage, LogPort
from buckthornstile.records import (
    ConfigurationChange,
    UsageReported,
    UsageSeal,
    decode_record,
)

PAGE_RECORDS = 500
MAX_PAGES = 20_000
MAX_HISTORY = 1000


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change, with the revision that it made."""

    revision: Revision
    offset: Offset
    change: ConfigurationChange


class LogReader:
    """What a command has read of the log so far.

    Args:
        log: The platform's log.
    """

    def __init__(self, log: LogPort) -> None:
        self.log = log
        self.fold = ConfigurationFold()
        self._changes: deque[tuple[Offset, ConfigurationChange]] = deque(
            maxlen=MAX_HISTORY
        )
        self.seals: deque[UsageSeal] = deque(maxlen=MAX_HISTORY)
        self.reported: deque[UsageReported] = deque(maxlen=MAX_HISTORY)

        self._next = Offset(0)

    @property
    def current(self) -> Configuration:
        """The newest configuration read."""
        return self.fold.current

    def list_history(self) -> list[AcceptedChange]:
        """Lists the accepted changes that were read, oldest first.

        The fold does not judge a change that a later snapshot covers, but the
        snapshot names the last accepted ones.
        """
        accepted = {}
        for offset, change in self._changes:
            revision = self.fold.find_change(change.change_id)
            if revision == change.base_revision + 1 and revision not in accepted:
                accepted[revision] = AcceptedChange(revision, offset, change)
        return [accepted[revision] for revision in sorted(accepted)]

    async def read_to_end(self) -> Configuration:
        """Reads all records that the log holds by now.

        Returns:
            The newest configuration.

        Raises:
            PlatformUnavailableError: The log did not answer.
            BuckthornstileError: ``CONFIGURATION_MISSING``: the log no longer
                holds enough to know the configuration.
        """
        end: Offset | None = None
        for _ in range(MAX_PAGES):
            page = await self.log.read(self._next, limit=PAGE_RECORDS)
            # New records may come faster than they are read; stop at the end as
            # it stood when reading began.
            end = page.next_offset if end is None else end
            self._apply_page(page)
            if not page.entries or self._next >= end:
                break
        if self.fold.has_gap:
            raise BuckthornstileError(
                ErrorCode.CONFIGURATION_MISSING,
                "the log holds no snapshot that reaches back to its first record; "
                "an entry that holds the lease appends one",
            )
        return self.fold.current

    def _apply_page(self, page: LogPage) -> None:
        for entry in page.entries:
            record = decode_record(entry.data)
            self.fold.apply(entry.offset, record)
            self._next = Offset(entry.offset + 1)
            if isinstance(record, UsageSeal):
                self.seals.append(record)
            elif isinstance(record, UsageReported):
                self.reported.append(record)
            elif isinstance(record, ConfigurationChange):
                self._changes.append((entry.offset, record))
