"""HDR histograms of each client account and of each request class."""

from bisect import bisect_left
from enum import Enum
from itertools import accumulate
from math import ceil

from hdrh.histogram import HdrHistogram

from buckthornstile.base import AccountId, RequestClass

OVERFLOW_ACCOUNT = AccountId("other")
"""Label value that combines all client accounts beyond the maximum number."""

MAX_ACCOUNTS = 64
"""Maximum number of client accounts that have histograms of their own."""
SIGNIFICANT_DIGITS = 2
"""Number of significant decimal digits to which histograms are exact."""
BUCKET_COUNT_BYTES = 4
"""Size of a bucket's count, in bytes."""
MAX_TRACKABLE_VALUE = 100_000_000_000
"""Largest value that a histogram can record, in steps."""


class HistogramMetric(Enum):
    """Metric of a histogram: its name, its unit and the number of steps per unit."""

    QUEUE_WAIT = ("queue_wait", "seconds", 1_000_000)
    TIME_TO_FIRST_TOKEN = ("time_to_first_token", "seconds", 1_000_000)
    REQUEST_DURATION = ("request_duration", "seconds", 1_000_000)
    TRAINER_IDLE = ("trainer_idle", "seconds", 1_000_000)
    SAMPLE_AGE = ("sample_age", "versions", 1)

    @property
    def full_name(self) -> str:
        """The metric's name, followed by its unit."""
        return f"{self.value[0]}_{self.value[1]}"

    @property
    def steps_per_unit(self) -> int:
        """Number of histogram steps per unit."""
        return self.value[2]


class Histogram:
    """An HDR histogram, with the exact sum of its values.

    Args:
        steps_per_unit: Number of histogram steps per unit of the values.

    Example:
        >>> histogram = Histogram(steps_per_unit=1_000_000)
        >>> histogram.record(0.25)
        >>> round(histogram.get_quantile(0.5), 2), histogram.count
        (0.25, 1)
    """

    def __init__(self, *, steps_per_unit: int) -> None:
        self._steps_per_unit = steps_per_unit
        self._max_value = MAX_TRACKABLE_VALUE / steps_per_unit
        self._cache_key: tuple[int, tuple[float, ...]] = (0, ())
        self._cached_quantiles: tuple[float, ...] = ()
        self._histogram = HdrHistogram(
            1, MAX_TRACKABLE_VALUE, SIGNIFICANT_DIGITS, word_size=BUCKET_COUNT_BYTES
        )
        self.sum = 0.0

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return int(self._histogram.get_total_count())

    def record(self, value: float) -> None:
        """Records a value, after limiting it to the range from 0 to the maximum.

        NaN is recorded as 0.

        Example:
            >>> Histogram(steps_per_unit=1).record(2)
        """
        clamped = value if 0 <= value <= self._max_value else self._clamp(value)
        self._histogram.record_value(int(clamped * self._steps_per_unit))
        self.sum += clamped

    def get_quantile(self, quantile: float) -> float:
        """Returns a quantile, or 0 for an empty histogram.

        Example:
            >>> Histogram(steps_per_unit=1).get_quantile(0.99)
            0.0
        """
        return self.get_quantiles((quantile,))[0]

    def get_quantiles(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        """Returns several quantiles, or zeros for an empty histogram.

        Example:
            >>> Histogram(steps_per_unit=1).get_quantiles((0.5, 0.99))
            (0.0, 0.0)
        """
        if not self.count:
            return (0.0,) * len(quantiles)
        if self._cache_key != (self.count, quantiles):
            self._cache_key = (self.count, quantiles)
            self._cached_quantiles = self._compute_quantiles(quantiles)
        return self._cached_quantiles

    def _compute_quantiles(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        # The library iterates over its buckets in Python at each call, which would
        # block the event loop when many series are scraped. This iterates once, in C.
        counts = memoryview(self._histogram.counts).cast("B").cast("I").tolist()
        cumulative = list(accumulate(counts))
        values = []
        for quantile in quantiles:
            rank = max(1, ceil(quantile * self.count))
            index = bisect_left(cumulative, rank)
            value = self._histogram.get_value_from_index(index)
            highest = self._histogram.get_highest_equivalent_value(value)
            values.append(highest / self._steps_per_unit)
        return tuple(values)

    def _clamp(self, value: float) -> float:
        return self._max_value if value > 0 else 0.0


class Histograms:
    """Histograms of each metric, by client account and by request class.

    Args:
        max_accounts: Maximum number of client accounts with histograms of their own;
            the others are combined under ``OVERFLOW_ACCOUNT``.

    Example:
        >>> histograms = Histograms()
        >>> histograms.record(
        ...     HistogramMetric.REQUEST_DURATION,
        ...     0.5,
        ...     account="mill-7",
        ...     request_class=RequestClass.INTERACTIVE,
        ... )
        >>> metric = HistogramMetric.REQUEST_DURATION
        >>> histograms.get_account_histogram(metric, "mill-7").count
        1
    """

    def __init__(self, *, max_accounts: int = MAX_ACCOUNTS) -> None:
        self.max_accounts = max_accounts
        self._accounts: set[AccountId] = set()
        self._by_account: dict[tuple[HistogramMetric, AccountId], Histogram] = {}
        self._by_class: dict[tuple[HistogramMetric, RequestClass], Histogram] = {}

    def record(
        self,
        metric: HistogramMetric,
        value: float,
        *,
        account: AccountId,
        request_class: RequestClass,
    ) -> None:
        """Records a value for a client account and for a request class.

        Args:
            metric: The metric.
            value: The value, in the metric's unit.
            account: The client account.
            request_class: The request's class.
        """
        by_account = self._by_account.get((metric, account))
        if by_account is None:
            by_account = self._add_account_histogram(metric, account)
        by_account.record(value)
        by_class = self._by_class.get((metric, request_class))
        if by_class is None:
            by_class = Histogram(steps_per_unit=metric.steps_per_unit)
            self._by_class[(metric, request_class)] = by_class
        by_class.record(value)

    def get_account_histogram(
        self, metric: HistogramMetric, account: AccountId
    ) -> Histogram | None:
        """Returns the histogram of a client account, or None if there is none.

        Example:
            >>> metric = HistogramMetric.REQUEST_DURATION
            >>> Histograms().get_account_histogram(metric, "mill-7") is None
            True
        """
        return self._by_account.get((metric, account))

    def list_series(self) -> list[tuple[HistogramMetric, str, str, Histogram]]:
        """Returns metric, label name, label value and histogram of each series.

        Example:
            >>> Histograms().list_series()
            []
        """
        series = [
            (metric, "account", str(account), histogram)
            for (metric, account), histogram in self._by_account.items()
        ]
        series += [
            (metric, "class", request_class.value, histogram)
            for (metric, request_class), histogram in self._by_class.items()
        ]
        return sorted(series, key=lambda row: (row[0].full_name, *row[1:3]))

    def _add_account_histogram(
        self, metric: HistogramMetric, account: AccountId
    ) -> Histogram:
        if account not in self._accounts:
            if len(self._accounts) >= self.max_accounts:
                account = OVERFLOW_ACCOUNT
            else:
                self._accounts.add(account)
        key = (metric, account)
        if key not in self._by_account:
            self._by_account[key] = Histogram(steps_per_unit=metric.steps_per_unit)
        return self._by_account[key]
