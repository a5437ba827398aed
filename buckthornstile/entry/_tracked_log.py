"""A log port that knows how far behind the log's end its reader may be."""

from collections.abc import Callable

from buckthornstile.base import Offset
from buckthornstile.ports import LogPage, LogPort


class TrackedLog:
    """Passes calls on, and notes when a read came to the log's end.

    Args:
        log: The log.
        read_clock: Gives the time, in seconds.
    """

    def __init__(self, log: LogPort, *, read_clock: Callable[[], float]) -> None:
        self.log = log
        self.read_clock = read_clock
        self.at_end_since: float | None = None
        self.appends = 0
        self.appended_bytes = 0

    def get_lag(self) -> float:
        """Gives the seconds since a read last came to the end."""
        if self.at_end_since is None:
            return float("inf")
        return self.read_clock() - self.at_end_since

    async def append(self, data: bytes) -> Offset:
        """Appends one record; see :class:`LogPort`."""
        self.appends += 1
        self.appended_bytes += len(data)
        return await self.log.append(data)

    async def read(
        self, first: Offset, *, limit: int = 500, wait: float = 0.0
    ) -> LogPage:
        """Reads one page; see :class:`LogPort`."""
        # What is appended after the log answered is not covered by the answer;
        # a waiting read answers at its end, so the time is taken there.
        page = await self.log.read(first, limit=limit, wait=wait)
        last = page.entries[-1].offset if page.entries else first - 1
        if last + 1 >= page.next_offset:
            self.at_end_since = self.read_clock()
        return page
