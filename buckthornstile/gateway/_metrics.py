"""What a gateway serves to scrapers."""

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
        """Records the time of a call until its answer."""
        self._record(
            HistogramMetric.REQUEST_DURATION, seconds, account, RequestClass.INTERACTIVE
        )

    def record_item(self, account: AccountId, seconds: float) -> None:
        """Records the time of an item from its job's submission to its result."""
        self._record(
            HistogramMetric.REQUEST_DURATION, seconds, account, RequestClass.TRAINER
        )

    def record_place(self, account: AccountId, seconds: float) -> None:
        """Records how long an item waited for a place at an engine."""
        self._record(HistogramMetric.QUEUE_WAIT, seconds, account, RequestClass.TRAINER)

    def render(self, counters: Counters, gauges: Mapping[str, float]) -> str:
        """Renders all figures as text."""
        table = Gauges()
        for name, value in gauges.items():
            table.set(GaugeName(name), value)
        return render_metrics(
            counters=counters, gauges=table, histograms=self._histograms
        )

    def _record(
        self,
        measure: HistogramMetric,
        seconds: float,
        account: AccountId,
        request_class: RequestClass,
    ) -> None:
        self._histograms.record(
            measure, seconds, account=account, request_class=request_class
        )
