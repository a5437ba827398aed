"""Tests of metrics: bounded number of series, quantiles and exposition format."""

import re

from buckthornstile.base import RequestClass
from buckthornstile.metrics import (
    OVERFLOW_ACCOUNT,
    Counters,
    Gauges,
    HistogramMetric,
    Histograms,
    render_metrics,
)

LINE_PATTERN = re.compile(
    r'# TYPE \w+ (counter|gauge|summary)|\w+(\{\w+="(\\.|[^"\\])*"(,\w+="[^"]*")*\})? '
    r"[0-9.e+-]+"
)


def test_accounts_beyond_maximum_share_one_histogram():
    histograms = Histograms(max_accounts=2)
    for number in range(50):
        histograms.record(
            HistogramMetric.REQUEST_DURATION,
            number / 10,
            account=f"account-{number}",
            request_class=RequestClass.INTERACTIVE,
        )
    assert len(histograms.list_series()) == 4
    assert (
        histograms.get_account_histogram(
            HistogramMetric.REQUEST_DURATION, OVERFLOW_ACCOUNT
        ).count
        == 48
    )


def test_number_of_series_per_counter_is_bounded():
    counters = Counters()
    for number in range(5000):
        counters.increment("refusals", path=f"/{number}")
    assert counters.get_total("refusals") == 5000
    assert len(counters.items()["refusals"]) == 257


def test_quantiles_are_exact_to_two_digits_and_values_are_limited():
    histograms = Histograms()
    for milliseconds in range(1, 1001):
        histograms.record(
            HistogramMetric.QUEUE_WAIT,
            milliseconds / 1000,
            account="mill-7",
            request_class=RequestClass.TRAINER,
        )
    histogram = histograms.get_account_histogram(HistogramMetric.QUEUE_WAIT, "mill-7")
    assert abs(histogram.get_quantile(0.99) - 0.99) < 0.01
    assert abs(histogram.sum - 500.5) < 1e-6
    for out_of_range in (-1, float("inf"), float("nan")):
        histogram.record(out_of_range)
    assert histogram.count == 1003
    assert histogram.get_quantile(0.001) < 0.01


def test_exposition_is_well_formed_for_any_label_value():
    counters, gauges, histograms = Counters(), Gauges(), Histograms()
    counters.increment("refusals", 1_234_567, code='say "no"\n\\')
    gauges.set("limit", 2.5, upstream="engine-1")
    for metric in HistogramMetric:
        histograms.record(
            metric, 1, account="mill-7", request_class=RequestClass.INTERACTIVE
        )
    text = render_metrics(counters=counters, gauges=gauges, histograms=histograms)
    lines = text.splitlines()
    assert all(LINE_PATTERN.fullmatch(line) for line in lines)
    types = [line for line in lines if line.startswith("#")]
    assert len(types) == len(set(types)) == 12
    assert "1234567" in text
    assert 'account_request_duration_seconds_count{account="mill-7"} 1' in text
