"""A set of counters, kept as ranges."""

from bisect import bisect_right
from collections.abc import Iterable


class RangeSet:
    """A set of whole numbers that keeps adjacent ones as one range.

    Args:
        ranges: First and last number, inclusive, of each range to begin with.

    Example:
        >>> numbers = RangeSet([(0, 3)])
        >>> numbers.add(4, 9)
        >>> numbers.ranges
        ((0, 9),)
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        for first, last in ranges:
            self.add(first, last)

    @property
    def ranges(self) -> tuple[tuple[int, int], ...]:
        """The ranges in order; no two touch."""
        return tuple(zip(self._firsts, self._lasts, strict=True))

    def __contains__(self, number: int) -> bool:
        return self.covers(number, number)

    def __len__(self) -> int:
        """Counts the ranges."""
        return len(self._firsts)

    def covers(self, first: int, last: int) -> bool:
        """Tells whether every number from ``first`` to ``last`` is in the set.

        Example:
            >>> RangeSet([(0, 9)]).covers(3, 9), RangeSet([(0, 9)]).covers(3, 10)
            (True, False)
        """
        index = bisect_right(self._firsts, first) - 1
        return index >= 0 and self._lasts[index] >= last

    def overlaps(self, first: int, last: int) -> bool:
        """Tells whether any number from ``first`` to ``last`` is in the set.

        Example:
            >>> RangeSet([(0, 9)]).overlaps(9, 20)
            True
        """
        index = bisect_right(self._firsts, last) - 1
        return index >= 0 and self._lasts[index] >= first

    def add(self, first: int, last: int) -> None:
        """Adds every number from ``first`` to ``last``.

        Example:
            >>> numbers = RangeSet([(0, 1), (5, 6)])
            >>> numbers.add(2, 4)
            >>> numbers.ranges
            ((0, 6),)
        """
        # Ranges that touch [first - 1, last + 1] become one with the new range.
        low = bisect_right(self._firsts, first) - 1
        if low < 0 or self._lasts[low] < first - 1:
            low += 1
        high = bisect_right(self._firsts, last + 1)
        if low < high:
            first = min(first, self._firsts[low])
            last = max(last, self._lasts[high - 1])
        self._firsts[low:high] = [first]
        self._lasts[low:high] = [last]
