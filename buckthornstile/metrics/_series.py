"""Counters and gauges, with a bounded number of series per name."""

import re
from typing import NewType

CounterName = NewType("CounterName", str)
"""Name of a counter, in lower case with underscores; its exposition adds ``_total``."""

GaugeName = NewType("GaugeName", str)
"""Name of a gauge, in lower case with underscores."""

Labels = tuple[tuple[str, str], ...]
"""Names and values of a series' labels, sorted by name."""

MAX_SERIES_PER_NAME = 256
"""Maximum number of series per name, without the one with ``OVERFLOW_LABELS``."""
OVERFLOW_LABELS: Labels = (("series", "other"),)
"""Labels of the series that combines all series beyond the maximum number."""
NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]{0,79}")


class _SeriesTable:
    """Values by name and labels, with a bounded number of series per name."""

    def __init__(self) -> None:
        self._series: dict[str, dict[Labels, float]] = {}

    def _get_or_create_series(
        self, name: str, labels: dict[str, str]
    ) -> dict[Labels, float]:
        by_labels = self._series.get(name)
        if by_labels is None:
            for text in (name, *labels):
                if not NAME_PATTERN.fullmatch(text):
                    raise ValueError(
                        f"metric or label name {text!r} must consist of lower-case "
                        "letters, digits and underscores"
                    )
            by_labels = self._series[name] = {}
        return by_labels

    def _limit_series(self, by_labels: dict[Labels, float], labels: Labels) -> Labels:
        # Clients may determine label values, so their number must be bounded.
        if labels in by_labels or len(by_labels) < MAX_SERIES_PER_NAME:
            return labels
        return OVERFLOW_LABELS

    def items(self) -> dict[str, dict[Labels, float]]:
        """Returns all values, by name and labels."""
        return {name: dict(values) for name, values in sorted(self._series.items())}


class Counters(_SeriesTable):
    """Values that only increase.

    Example:
        >>> counters = Counters()
        >>> counters.increment(CounterName("refusals"), code="load.queue_full")
        >>> counters.get(CounterName("refusals"), code="load.queue_full")
        1
    """

    def increment(self, name: CounterName, amount: float = 1, **labels: str) -> None:
        """Increments a counter.

        Args:
            name: The counter's name.
            amount: Amount to add, 0 or greater.
            **labels: Label names and values.

        Raises:
            ValueError: The counter's name or a label's name is malformed; checked only
                at the first use of the counter.

        Example:
            >>> Counters().increment(CounterName("heartbeats"))
        """
        by_labels = self._get_or_create_series(name, labels)
        key = self._limit_series(by_labels, tuple(sorted(labels.items())))
        by_labels[key] = by_labels.get(key, 0) + amount

    def get(self, name: CounterName, **labels: str) -> float:
        """Returns a counter's value, or 0 if it has no series with these labels.

        Example:
            >>> Counters().get(CounterName("heartbeats"))
            0
        """
        return self._series.get(name, {}).get(tuple(sorted(labels.items())), 0)

    def get_total(self, name: CounterName) -> float:
        """Returns the sum of a counter over all labels.

        Example:
            >>> Counters().get_total(CounterName("heartbeats"))
            0
        """
        return sum(self._series.get(name, {}).values())


class Gauges(_SeriesTable):
    """Values that increase and decrease.

    Example:
        >>> gauges = Gauges()
        >>> gauges.set(GaugeName("open_requests"), 3)
        >>> gauges.items()
        {'open_requests': {(): 3}}
    """

    def set(self, name: GaugeName, value: float, **labels: str) -> None:
        """Sets a gauge's value.

        Args:
            name: The gauge's name.
            value: Its new value.
            **labels: Label names and values.

        Raises:
            ValueError: The gauge's name or a label's name is malformed; checked only
                at the first use of the gauge.

        Example:
            >>> Gauges().set(GaugeName("limit"), 4.0, upstream="engine-1")
        """
        by_labels = self._get_or_create_series(name, labels)
        by_labels[self._limit_series(by_labels, tuple(sorted(labels.items())))] = value

    def remove(self, name: GaugeName, **labels: str) -> None:
        """Removes a series of a gauge, such as that of an upstream that is gone.

        Example:
            >>> Gauges().remove(GaugeName("limit"), upstream="engine-1")
        """
        self._series.get(name, {}).pop(tuple(sorted(labels.items())), None)
