"""Metrics that a gateway exports to scrapers."""

from collections.abc import Mapping

from buckthornstile.base import AccountId, RequestClass
from buckthornstile.metrics import (
    Counters,
    GaugeName,
    Gauges,
    HistogramMetric,
    Histograms,
    render_metrics,
)


class GatewayMetrics:
    """Latencies by client account and class, and gauges read at each scrape.

    Example:
        >>> metrics = GatewayMetrics()
        >>> metrics.record_call("mill-7", 0.05)
        >>> "account_request_duration_seconds" in metrics.render(Counters(), {})
        True
    """

    def __init__(self) -> None:
        self._histograms = Histograms()

    def record_call(self, account: AccountId, seconds: float) -> None:
        """Records the seconds that a call took until its response."""
        self._record(
            HistogramMetric.REQUEST_DURATION, seconds, account, RequestClass.INTERACTIVE
        )

    def record_item(self, account: AccountId, seconds: float) -> None:
        """Records the seconds from a job's submission to the result of one item."""
        self._record(
            HistogramMetric.REQUEST_DURATION, seconds, account, RequestClass.TRAINER
        )

    def record_queue_wait(self, account: AccountId, seconds: float) -> None:
        """Records the seconds that an item waited for a free slot at an engine."""
        self._record(HistogramMetric.QUEUE_WAIT, seconds, account, RequestClass.TRAINER)

    def render(self, counters: Counters, gauges: Mapping[str, float]) -> str:
        """Returns all metrics as text."""
        gauge_set = Gauges()
        for name, value in gauges.items():
            gauge_set.set(GaugeName(name), value)
        return render_metrics(
            counters=counters, gauges=gauge_set, histograms=self._histograms
        )

    def _record(
        self,
        metric: HistogramMetric,
        seconds: float,
        account: AccountId,
        request_class: RequestClass,
    ) -> None:
        self._histograms.record(
            metric, seconds, account=account, request_class=request_class
        )
