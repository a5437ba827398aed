"""Plays a day on real processes at small size, and prints what users would measure.

``make experiment`` plays ``benchmarks/days/two-faults.toml``; ``DAY=FILE`` names
another. Load, faults and checker are the soak's. It prints served, late, refused and
failed calls of each kind, lots on time, loads of weights and calls to the store, as a
table and a line of JSON, and draws what was served in each second.
"""

import argparse
import json
import sys
import time
import tomllib
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import matplotlib

from soak import ENGINE_FLAGS, SERVICE_WORKER_FLAGS, FaultPlan, FaultStep, run_plan
from tests.harness import DeploymentHarness
from tests.invariants import CallRecord

OBJECTIVES = {"lookup": 0.2, "order": 0.5, "completion": 1.5}  # seconds
LOT_SAMPLES = 8
DEFAULT_DAY = Path(__file__).with_name("days") / "two-faults.toml"
RESULTS = Path("results")


@dataclass(frozen=True, slots=True)
class Day:
    """A day: the deployment's size, its length in seconds, and its faults."""

    plan: FaultPlan
    seconds: float


def read_day(path: Path) -> Day:
    """Reads a day file.

    Raises:
        ValueError: A field is missing or not known.
    """
    data = tomllib.loads(path.read_text())
    try:
        steps = tuple(FaultStep(**fault) for fault in data.get("faults", ()))
        plan = FaultPlan(0, data["entries"], data["engines"], data["desks"], steps)
        return Day(plan, float(data["seconds"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"day {path.name!r}: {error}") from error


def measure_calls(calls: list[CallRecord]) -> dict[str, dict[str, float]]:
    """Measures each kind of call.

    Example:
        >>> call = CallRecord(
        ...     "mill", "lookup", "l", b"", 200, started_at=1.0, finished_at=1.1
        ... )
        >>> measure_calls([call])["lookup"]["served"]
        1
    """
    rows: dict[str, dict[str, float]] = {}
    for kind, objective in OBJECTIVES.items():
        own = [call for call in calls if call.kind == kind and call.finished_at]
        good = [call for call in own if call.status == 200]
        times = sorted(call.finished_at - call.started_at for call in good)
        late = sum(seconds > objective for seconds in times)
        refused = sum(call.verdict == "not_run" for call in own)
        rows[kind] = {
            "asked": len(own),
            "served": len(good),
            "late": late,
            "refused": refused,
            "failed": len(own) - len(good) - refused,
            "p50_ms": round(_find_quantile(times, 0.5) * 1000, 1),
            "p99_ms": round(_find_quantile(times, 0.99) * 1000, 1),
        }
    return rows


def _find_quantile(values: list[float], quantile: float) -> float:
    return values[min(len(values) - 1, int(quantile * len(values)))] if values else 0.0


def draw(calls: list[CallRecord], day: Day, path: Path) -> None:
    """Draws the calls served in each second, with the spans of the faults."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    began = min(call.started_at for call in calls)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for kind in OBJECTIVES:
        counts = Counter(
            int(call.finished_at - began)
            for call in calls
            if call.kind == kind and call.status == 200
        )
        seconds = range(int(day.seconds) + 1)
        axes.plot(list(seconds), [counts[second] for second in seconds], label=kind)
    for step in day.plan.steps:
        axes.axvspan(step.at, step.at + step.seconds, alpha=0.15)
        axes.annotate(step.kind, (step.at, 0), rotation=90, fontsize=7)
    axes.set_xlabel("seconds")
    axes.set_ylabel("served in a second")
    axes.legend()
    path.parent.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(path)


def play_day(day: Day) -> dict[str, Any]:
    """Plays a day and gives its measures."""
    plan = day.plan
    harness = DeploymentHarness(
        engines=plan.engines,
        services=plan.desks,
        entries=0,
        engine_flags=ENGINE_FLAGS,
        service_flags=SERVICE_WORKER_FLAGS,
    )
    started = time.monotonic()
    with harness:
        problems, _ = run_plan(harness, plan, seconds=day.seconds)
        figures = harness.store.call("GET", "/control/journal")
    evidence = harness.observations
    loads = len(evidence.list_journal_entries("order"))
    draw(evidence.calls, day, RESULTS / "experiment.png")
    return {
        "calls": measure_calls(evidence.calls),
        "samples": len(evidence.samples),
        "lots_whole": len(evidence.samples) // LOT_SAMPLES,
        "loads": loads,
        "store_appends": figures.get("calls_append", 0),
        "store_reads": figures.get("calls_read", 0),
        "problems": problems,
        "seconds": round(time.monotonic() - started, 1),
    }


def main() -> int:
    """Plays a day and prints its measures.

    Returns:
        The exit status: zero if no promise was broken.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("day", nargs="?", type=Path, default=DEFAULT_DAY)
    measures = play_day(read_day(parser.parse_args().day))
    for kind, row in measures["calls"].items():
        print(kind, "  ".join(f"{name} {value}" for name, value in row.items()))
    print(json.dumps(measures))
    return int(bool(measures["problems"]))


if __name__ == "__main__":
    sys.exit(main())
