"""Counts an entry's finished requests and makes its batches."""

from collections import deque

from buckthornstile.base import BuckthornstileError, ErrorCode, Incarnation
from buckthornstile.records import UsageBatch, UsageLine
from buckthornstile.usage._ranges import RangeSet
from buckthornstile.usage._totals import UsageTotals

DEFAULT_MAXIMUM_OPEN = 20_000
"""Open requests; also bounds the ranges of a batch."""

MAX_BATCH_LINES = 4_000
"""Lines of a batch; keeps it well under the log's record size."""

DEFAULT_MAXIMUM_WAITING = 64
"""Full batches that wait while the log is out."""

DEFAULT_BATCH_INTERVAL_SECONDS = 5.0
DEFAULT_RETRY_SECONDS = 3.0


class UsageCounter:
    """The entry's usage, from the first byte of a request until the log holds it.

    A batch covers exactly the counters that are finished. It stays the same
    until it has been read back, so a timed-out append that took effect and its
    repetition are the same record. While an agent may still know the outcome of
    a request, the request stays open here; it is finished with None only once
    it is sure that nobody will tell.

    Args:
        incarnation: The entry's incarnation.
        maximum_open: Open requests above which :meth:`open` refuses.
        maximum_waiting: Waiting full batches above which :meth:`open` refuses.
        interval: Seconds between batches.
        retry: Seconds after which an unconfirmed batch is appended again.

    Example:
        >>> counter = UsageCounter(Incarnation("e1-1"))
        >>> counter.open(0)
        >>> counter.finish(0, None)
        >>> batch = counter.make_batch(10.0)
        >>> batch.ranges
        ((0, 0),)
        >>> counter.confirm(batch)
        0
    """

    def __init__(
        self,
        incarnation: Incarnation,
        *,
        maximum_open: int = DEFAULT_MAXIMUM_OPEN,
        maximum_waiting: int = DEFAULT_MAXIMUM_WAITING,
        interval: float = DEFAULT_BATCH_INTERVAL_SECONDS,
        retry: float = DEFAULT_RETRY_SECONDS,
    ) -> None:
        self.incarnation = incarnation
        self.maximum_open = maximum_open
        self.maximum_waiting = maximum_waiting
        self.interval = interval
        self.retry = retry
        self._open: set[int] = set()
        self._finished = RangeSet()
        self._totals = UsageTotals()
        self._waiting: deque[UsageBatch] = deque()
        self._sent: UsageBatch | None = None
        self._in_log = RangeSet()
        self._next_at = float("-inf")

    @property
    def confirmed_through(self) -> int:
        """The last counter up to which, inclusive, all are in the log; -1 for none."""
        ranges = self._in_log.ranges
        return ranges[0][1] if ranges and ranges[0][0] == 0 else -1

    @property
    def is_settled(self) -> bool:
        """Whether no request is open and no usage is missing from the log."""
        unsent = len(self._finished) + len(self._waiting)
        return not self._open and not unsent and self._sent is None

    def open(self, counter: int) -> None:
        """Notes that a request has begun.

        Args:
            counter: The request's counter; each from 0 on is opened once.

        Raises:
            BuckthornstileError: With ``QUEUE_FULL`` when a bound is reached.

        Example:
            >>> UsageCounter(Incarnation("e"), maximum_open=0).open(0)
            Traceback (most recent call last):
            buckthornstile.base._errors.BuckthornstileError: usage is not ...
        """
        full = len(self._open) >= self.maximum_open
        if full or len(self._waiting) >= self.maximum_waiting:
            raise BuckthornstileError(
                ErrorCode.QUEUE_FULL, "usage is not reaching the log fast enough"
            )
        self._open.add(counter)

    def finish(self, counter: int, line: UsageLine | None) -> None:
        """Notes what a request used; a second call for a counter does nothing.

        Args:
            counter: The request's counter.
            line: What it used, or None if it did not run.

        Example:
            >>> counter = UsageCounter(Incarnation("e"))
            >>> counter.finish(7, None)
            >>> counter.make_batch(0.0) is None
            True
        """
        if counter not in self._open:
            return
        self._open.remove(counter)
        self._finished.add(counter, counter)
        if line is not None:
            self._totals.add([line])
        if len(self._totals) >= MAX_BATCH_LINES:
            self._waiting.append(self._make_next())

    def make_batch(self, now: float, *, final: bool = False) -> UsageBatch | None:
        """Makes the batch to append now.

        Args:
            now: Monotonic seconds.
            final: Whether not to wait for the interval, at a planned stop.

        Returns:
            The batch, the same one until it is confirmed, or None.

        Example:
            >>> UsageCounter(Incarnation("e")).make_batch(0.0) is None
            True
        """
        if now < self._next_at and not (final and self._sent is None):
            return None
        if self._sent is None:
            self._sent = self._take_next()
        if self._sent is not None:
            self._next_at = now + self.retry
        return self._sent

    def confirm(self, batch: UsageBatch) -> int:
        """Learns that a batch has been read back from the log.

        Args:
            batch: The batch; those of other entries are passed over.

        Returns:
            :attr:`confirmed_through`, for agents.

        Example:
            >>> UsageCounter(Incarnation("e")).confirm(
            ...     UsageBatch(entry="f", ranges=((0, 3),))
            ... )
            -1
        """
        if batch == self._sent:
            self._sent = None
            self._next_at += self.interval - self.retry
            for first, last in batch.ranges:
                self._in_log.add(first, last)
        return self.confirmed_through

    def _take_next(self) -> UsageBatch | None:
        if self._waiting:
            return self._waiting.popleft()
        return self._make_next() if len(self._finished) else None

    def _make_next(self) -> UsageBatch:
        batch = UsageBatch(
            entry=self.incarnation,
            ranges=self._finished.ranges,
            lines=self._totals.make_lines(),
        )
        self._finished = RangeSet()
        self._totals = UsageTotals()
        return batch
