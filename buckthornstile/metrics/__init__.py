"""Counters, gauges and HDR histograms, and their Prometheus text format."""

from buckthornstile.metrics._exposition import render_metrics
from buckthornstile.metrics._histograms import (
    OVERFLOW_ACCOUNT,
    HistogramMetric,
    Histograms,
)
from buckthornstile.metrics._series import CounterName, Counters, GaugeName, Gauges

__all__ = [
    "OVERFLOW_ACCOUNT",
    "CounterName",
    "Counters",
    "GaugeName",
    "Gauges",
    "Histograms",
    "HistogramMetric",
    "render_metrics",
]
