"""Counters, gauges and HDR histograms, and their text for scrapers."""

from buckthornstile.metrics._exposition import render_metrics
from buckthornstile.metrics._histograms import OTHER, HistogramMetric, Histograms
from buckthornstile.metrics._series import CounterName, Counters, GaugeName, Gauges

__all__ = [
    "OTHER",
    "CounterName",
    "Counters",
    "GaugeName",
    "Gauges",
    "Histograms",
    "HistogramMetric",
    "render_metrics",
]
