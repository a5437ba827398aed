"""Prometheus text exposition format."""

from buckthornstile.metrics._histograms import Histograms
from buckthornstile.metrics._series import Counters, Gauges, Labels

NAME_PREFIX = "buckthornstile_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def render_metrics(
    *,
    counters: Counters | None = None,
    gauges: Gauges | None = None,
    histograms: Histograms | None = None,
) -> str:
    """Returns counters, gauges and histograms in the text exposition format.

    Histograms are rendered as summaries: quantiles, sum and count.

    Args:
        counters: The counters, or None.
        gauges: The gauges, or None.
        histograms: The histograms, or None.

    Returns:
        The text; each line ends with a line break.

    Example:
        >>> gauges = Gauges()
        >>> gauges.set("open_requests", 3)
        >>> print(render_metrics(gauges=gauges), end="")
        # TYPE buckthornstile_open_requests gauge
        buckthornstile_open_requests 3
    """
    lines: list[str] = []
    if counters is not None:
        for name, values in counters.items().items():
            lines += _render_series(f"{NAME_PREFIX}{name}_total", "counter", values)
    if gauges is not None:
        for name, values in gauges.items().items():
            lines += _render_series(f"{NAME_PREFIX}{name}", "gauge", values)
    if histograms is not None:
        lines += _render_histograms(histograms)
    return "".join(f"{line}\n" for line in lines)


def _render_series(name: str, kind: str, values: dict[Labels, float]) -> list[str]:
    lines = [f"# TYPE {name} {kind}"]
    for labels, value in sorted(values.items()):
        lines.append(f"{name}{_render_labels(labels)} {value:.15g}")
    return lines


def _render_histograms(histograms: Histograms) -> list[str]:
    lines: list[str] = []
    declared_names: set[str] = set()
    for metric, label, value, histogram in histograms.list_series():
        # Accounts and classes have metric names of their own, so that a sum over the
        # series of a name counts no value twice.
        name = f"{NAME_PREFIX}{label}_{metric.full_name}"
        if name not in declared_names:
            declared_names.add(name)
            lines.append(f"# TYPE {name} summary")
        labels = ((label, value),)
        quantile_values = histogram.get_quantiles(QUANTILES)
        for quantile, quantile_value in zip(QUANTILES, quantile_values, strict=True):
            quantile_labels = _render_labels((*labels, ("quantile", f"{quantile:g}")))
            lines.append(f"{name}{quantile_labels} {quantile_value:.6g}")
        series_labels = _render_labels(labels)
        lines.append(f"{name}_sum{series_labels} {histogram.sum:.9g}")
        lines.append(f"{name}_count{series_labels} {histogram.count}")
    return lines


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(text)}"' for name, text in labels) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
