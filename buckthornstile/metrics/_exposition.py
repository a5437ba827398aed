"""The text format that the usual scrapers read."""

from buckthornstile.metrics._histograms import Histograms
from buckthornstile.metrics._series import Counters, Gauges, Labels

PREFIX = "buckthornstile_"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def render_metrics(
    *,
    counters: Counters | None = None,
    gauges: Gauges | None = None,
    histograms: Histograms | None = None,
) -> str:
    """Renders counters, gauges and histograms for a scraper.

    Histograms are rendered as summaries: quantiles, sum and count.

    Args:
        counters: The counters, or None.
        gauges: The gauges, or None.
        histograms: The histograms, or None.

    Returns:
        The text, which ends with a line break.

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
            lines += _render_series(f"{PREFIX}{name}_total", "counter", values)
    if gauges is not None:
        for name, values in gauges.items().items():
            lines += _render_series(f"{PREFIX}{name}", "gauge", values)
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
    typed: set[str] = set()
    for measure, label, value, distribution in histograms.list_series():
        # One name a label, so that a sum over the series counts nothing twice.
        name = f"{PREFIX}{label}_{measure.full_name}"
        if name not in typed:
            typed.add(name)
            lines.append(f"# TYPE {name} summary")
        labels = ((label, value),)
        found = distribution.get_quantiles(QUANTILES)
        for quantile, number in zip(QUANTILES, found, strict=True):
            marked = _render_labels((*labels, ("quantile", f"{quantile:g}")))
            lines.append(f"{name}{marked} {number:.6g}")
        plain = _render_labels(labels)
        lines.append(f"{name}_sum{plain} {distribution.sum:.9g}")
        lines.append(f"{name}_count{plain} {distribution.count}")
    return lines


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(text)}"' for name, text in labels) + "}"


def _escape(text: str) -> str:
    return text.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
