"""The table, the JSON file and the plots of an experiment."""

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import median

from benchmarks.policy.measures import Figures, compute_percentile
from benchmarks.policy.policies import BASELINES

_COLUMNS = (
    ("idle_share", "idle", "{:.3f}"),
    ("age_mean", "age", "{:.2f}"),
    ("age_max", "age max", "{:.0f}"),
    ("worst_p99", "p99 s", "{:.2f}"),
    ("worst_share", "share", "{:.2f}"),
    ("failed_share", "failed", "{:.3f}"),
    ("overloads", "overloads", "{:.0f}"),
    ("too_old", "too old", "{:.0f}"),
    ("lost_samples", "lost", "{:.0f}"),
    ("cost_ratio", "cost", "{:.2f}"),
    ("cost_ratio_bare", "bare", "{:.2f}"),
    ("back_seconds", "back s", "{:.0f}"),
    ("domain_back_seconds", "domain s", "{:.0f}"),
)
_PLOTTED = ("idle_share", "worst_p99", "worst_share", "failed_share")


@dataclass(frozen=True)
class Result:
    """The figures of one run, and which run it was."""

    site: str
    scenario: str
    policy: str
    seed: int
    figures: Figures


@dataclass(frozen=True)
class Spread:
    """Median and quartiles over the seeds."""

    low: float
    middle: float
    high: float


def compute_spread(
    results: Sequence[Result], site: str, scenario: str, policy: str, measure: str
) -> Spread:
    """Computes the spread of one measure over the seeds of one cell."""
    values = [
        float(getattr(result.figures, measure))
        for result in results
        if (result.site, result.scenario, result.policy) == (site, scenario, policy)
    ]
    return Spread(
        compute_percentile(values, 0.25),
        median(values),
        compute_percentile(values, 0.75),
    )


def format_table(results: Sequence[Result]) -> str:
    """Formats one line a site, scenario and policy: median, quartiles in brackets."""
    cells = list(dict.fromkeys((r.site, r.scenario, r.policy) for r in results))
    seeds = len({result.seed for result in results})
    head = ["site", "scenario", "policy", *(title for _, title, _ in _COLUMNS)]
    rows = [head]
    for cell in cells:
        row = list(cell)
        for measure, _, form in _COLUMNS:
            spread = compute_spread(results, *cell, measure)
            text = form.format(spread.middle)
            if spread.low != spread.high:
                text += f" [{form.format(spread.low)} {form.format(spread.high)}]"
            row.append(text)
        rows.append(row)
    widths = [max(len(row[i]) for row in rows) for i in range(len(head))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join([f"median [quartiles] of {seeds} seeds", *lines])


def format_targets(results: Sequence[Result], policy: str) -> str:
    """Formats each target of the users with the figure that meets or misses it."""
    lines = []
    present = {(result.site, result.scenario) for result in results}

    def get(site: str, scenario: str, name: str, measure: str) -> float:
        return compute_spread(results, site, scenario, name, measure).middle

    def add(site: str, text: str, value: float, met: bool) -> None:
        state = "met" if met else "MISSED"
        lines.append(f"{site:10} {text:62} {value:8.3f}  {state}")

    for site, scenario in sorted(present):
        if site == "cascade":
            best = min(get(site, scenario, name, "idle_share") for name in BASELINES)
            mine = get(site, scenario, policy, "idle_share")
            ratio = mine / best if best else 1.0
            add(
                site,
                f"{scenario}: idle over best baseline <= 0.70",
                ratio,
                ratio <= 0.7,
            )
        if scenario == "flood":
            share = get(site, scenario, policy, "worst_share")
            add(site, "flood: worst share of fair share >= 0.90", share, share >= 0.9)
            if (site, "steady") in present:
                steady = get(site, "steady", policy, "worst_p99")
                ratio = get(site, scenario, policy, "worst_p99") / max(steady, 1e-9)
                add(site, "flood: worst p99 over steady <= 1.50", ratio, ratio <= 1.5)
        if scenario == "peak":
            cost = get(site, scenario, policy, "cost_ratio")
            add(site, "peak: upstream-seconds over least <= 1.15", cost, cost <= 1.15)
        if scenario == "domain":
            back = get(site, scenario, policy, "back_seconds")
            add(
                site, "domain: seconds until throughput is back <= 10", back, back <= 10
            )
        mine_only = [
            result.figures
            for result in results
            if (result.site, result.scenario, result.policy) == (site, scenario, policy)
        ]
        lost = sum(figures.lost_samples for figures in mine_only)
        over = sum(figures.overloads for figures in mine_only)
        add(site, f"{scenario}: lost samples, all seeds = 0", lost, lost == 0)
        add(
            site,
            f"{scenario}: starts above the bearable, all seeds = 0",
            over,
            over == 0,
        )
    return "\n".join(lines)


def write_files(results: Sequence[Result], output: Path) -> None:
    """Writes ``policy.json`` and one plot a site."""
    output.mkdir(parents=True, exist_ok=True)
    data = [asdict(result) for result in results]
    (output / "policy.json").write_text(json.dumps(data, indent=1))
    for site in dict.fromkeys(result.site for result in results):
        _plot_site(results, site, output / f"policy-{site}.png")


def _plot_site(results: Sequence[Result], site: str, path: Path) -> None:
    # The backend must be set before the module that plots is imported.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    mine = [result for result in results if result.site == site]
    scenarios = list(dict.fromkeys(result.scenario for result in mine))
    policies = list(dict.fromkeys(result.policy for result in mine))
    figure, axes = pyplot.subplots(len(_PLOTTED), 1, figsize=(11, 13), sharex=True)
    width = 0.8 / len(policies)
    for axis, measure in zip(axes, _PLOTTED, strict=True):
        for number, policy in enumerate(policies):
            spreads = [
                compute_spread(mine, site, scenario, policy, measure)
                for scenario in scenarios
            ]
            axis.bar(
                [place + number * width for place in range(len(scenarios))],
                [spread.middle for spread in spreads],
                width,
                yerr=[
                    [spread.middle - spread.low for spread in spreads],
                    [spread.high - spread.middle for spread in spreads],
                ],
                label=policy,
            )
        axis.set_ylabel(measure)
    axes[0].legend()
    axes[0].set_title(f"{site}: median and quartiles")
    axes[-1].set_xticks(range(len(scenarios)), scenarios)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
