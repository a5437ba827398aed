"""HDR histograms for each client account and for each class of requests."""

from bisect import bisect_left
from enum import Enum
from itertools import accumulate
from math import ceil

from hdrh.histogram import HdrHistogram

from buckthornstile.base import AccountId, RequestClass

OVERFLOW_ACCOUNT = AccountId("other")
"""Stands for all client accounts beyond the bound on their number."""

MAX_ACCOUNTS = 64
SIGNIFICANT_DIGITS = 2
COUNT_BYTES = 4
LARGEST_VALUE = 100_000_000_000


class HistogramMetric(Enum):
    """What a histogram measures: name, unit and steps a unit."""

    QUEUE_WAIT = ("queue_wait", "seconds", 1_000_000)
    TIME_TO_FIRST_TOKEN = ("time_to_first_token", "seconds", 1_000_000)
    REQUEST_DURATION = ("request_duration", "seconds", 1_000_000)
    TRAINER_IDLE = ("trainer_idle", "seconds", 1_000_000)
    SAMPLE_AGE = ("sample_age", "versions", 1)

    @property
    def full_name(self) -> str:
        """The name with its unit."""
        return f"{self.value[0]}_{self.value[1]}"

    @property
    def steps(self) -> int:
        """How many histogram steps make one unit."""
        return self.value[2]


class Histogram:
    """One HDR histogram with its exact sum.

    Example:
        >>> distribution = Histogram(steps=1_000_000)
        >>> distribution.record(0.25)
        >>> round(distribution.get_quantile(0.5), 2), distribution.count
        (0.25, 1)
    """

    def __init__(self, *, steps: int) -> None:
        self._steps = steps
        self._largest = LARGEST_VALUE / steps
        self._cached_for: tuple[int, tuple[float, ...]] = (0, ())
        self._cached: tuple[float, ...] = ()
        self._histogram = HdrHistogram(
            1, LARGEST_VALUE, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
        )
        self.sum = 0.0

    @property
    def count(self) -> int:
        """How many values were recorded."""
        return int(self._histogram.get_total_count())

    def record(self, value: float) -> None:
        """Records a value; a negative one counts as 0.

        Example:
            >>> Histogram(steps=1).record(2)
        """
        bounded = value if 0 <= value <= self._largest else self._bound(value)
        self._histogram.record_value(int(bounded * self._steps))
        self.sum += bounded

    def get_quantile(self, quantile: float) -> float:
        """Finds a quantile, 0 for an empty histogram.

        Example:
            >>> Histogram(steps=1).get_quantile(0.99)
            0.0
        """
        return self.get_quantiles((quantile,))[0]

    def get_quantiles(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        """Finds several quantiles in one pass.

        Example:
            >>> Histogram(steps=1).get_quantiles((0.5, 0.99))
            (0.0, 0.0)
        """
        if not self.count:
            return (0.0,) * len(quantiles)
        if self._cached_for != (self.count, quantiles):
            self._cached_for = (self.count, quantiles)
            self._cached = self._compute_quantiles(quantiles)
        return self._cached

    def _compute_quantiles(self, quantiles: tuple[float, ...]) -> tuple[float, ...]:
        # The library walks its buckets in Python at each call, which would hold up
        # the event loop at a scrape of many series; this walks them once, in C.
        counts = memoryview(self._histogram.counts).cast("B").cast("I").tolist()
        cumulative = list(accumulate(counts))
        values = []
        for quantile in quantiles:
            rank = max(1, ceil(quantile * self.count))
            index = bisect_left(cumulative, rank)
            value = self._histogram.get_value_from_index(index)
            highest = self._histogram.get_highest_equivalent_value(value)
            values.append(highest / self._steps)
        return tuple(values)

    def _bound(self, value: float) -> float:
        return self._largest if value > 0 else 0.0


class Histograms:
    """Distributions of each measure, by client account and by class.

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
        measure: HistogramMetric,
        value: float,
        *,
        account: AccountId,
        request_class: RequestClass,
    ) -> None:
        """Records a value for its client account and for its class.

        Args:
            measure: What was measured.
            value: The value, in the measure's unit.
            account: The client account.
            request_class: The request's class.
        """
        by_account = self._by_account.get((measure, account))
        if by_account is None:
            by_account = self._add_account(measure, account)
        by_account.record(value)
        by_class = self._by_class.get((measure, request_class))
        if by_class is None:
            by_class = Histogram(steps=measure.steps)
            self._by_class[(measure, request_class)] = by_class
        by_class.record(value)

    def get_account_histogram(
        self, measure: HistogramMetric, account: AccountId
    ) -> Histogram | None:
        """Finds a client account's distribution.

        Example:
            >>> metric = HistogramMetric.REQUEST_DURATION
            >>> Histograms().get_account_histogram(metric, "mill-7") is None
            True
        """
        return self._by_account.get((measure, account))

    def list_series(self) -> list[tuple[HistogramMetric, str, str, Histogram]]:
        """Lists measure, label name, label value and distribution.

        Example:
            >>> Histograms().list_series()
            []
        """
        series = [
            (measure, "account", str(account), distribution)
            for (measure, account), distribution in self._by_account.items()
        ]
        series += [
            (measure, "class", request_class.value, distribution)
            for (measure, request_class), distribution in self._by_class.items()
        ]
        return sorted(series, key=lambda row: (row[0].full_name, *row[1:3]))

    def _add_account(self, measure: HistogramMetric, account: AccountId) -> Histogram:
        if account not in self._accounts:
            if len(self._accounts) >= self.max_accounts:
                account = OVERFLOW_ACCOUNT
            else:
                self._accounts.add(account)
        key = (measure, account)
        if key not in self._by_account:
            self._by_account[key] = Histogram(steps=measure.steps)
        return self._by_account[key]
