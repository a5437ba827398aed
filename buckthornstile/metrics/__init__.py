"""Counters, gauges and HDR histograms, and their text for scrapers."""

from buckthornstile.metrics._histograms import OTHER, Histograms, Measure
from buckthornstile.metrics._series import CounterName, Counters, GaugeName, Gauges
from buckthornstile.metrics._text import render_metrics

__all__ = [
    "OTHER",
    "CounterName",
    "Counters",
    "GaugeName",
    "Gauges",
    "Histograms",
    "Measure",
    "render_metrics",
]
