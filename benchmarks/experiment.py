"""Runs a scenario of load and faults on real processes and measures the outcome.

``make experiment`` runs ``benchmarks/days/two-faults.toml``; ``DAY=FILE`` names
another scenario file. Load, faults and checks are those of the soak tests. The tool
prints a table of the served, late, refused and failed calls of each kind. It then
prints a line of JSON, which has the same numbers and the counts of samples, lots,
weight loads and store requests. It also plots the calls served in each second.
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

LATENCY_OBJECTIVES = {"lookup": 0.2, "order": 0.5, "completion": 1.5}  # seconds
SAMPLES_PER_LOT = 8
DEFAULT_SCENARIO = Path(__file__).with_name("days") / "two-faults.toml"
RESULTS_DIRECTORY = Path("results")


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario of the experiment tool.

    Args:
        plan: Size of the deployment, and the faults to inject.
        duration: Duration in seconds.
    """

    plan: FaultPlan
    duration: float


def load_scenario(path: Path) -> Scenario:
    """Loads a scenario file.

    Raises:
        ValueError: A field is missing or unknown.
    """
    data = tomllib.loads(path.read_text())
    try:
        steps = tuple(FaultStep(**fault) for fault in data.get("faults", ()))
        plan = FaultPlan(0, data["entries"], data["engines"], data["desks"], steps)
        return Scenario(plan, float(data["seconds"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"scenario file {path.name!r}: {error}") from error


def measure_calls(calls: list[CallRecord]) -> dict[str, dict[str, float]]:
    """Returns the counts and latencies of each kind of call.

    Example:
        >>> call = CallRecord(
        ...     "mill", "lookup", "l", b"", 200, started_at=1.0, finished_at=1.1
        ... )
        >>> measure_calls([call])["lookup"]["served"]
        1
    """
    rows: dict[str, dict[str, float]] = {}
    for kind, objective in LATENCY_OBJECTIVES.items():
        finished = [call for call in calls if call.kind == kind and call.finished_at]
        served = [call for call in finished if call.status == 200]
        latencies = sorted(call.finished_at - call.started_at for call in served)
        late = sum(latency > objective for latency in latencies)
        refused = sum(call.verdict == "not_run" for call in finished)
        rows[kind] = {
            "asked": len(finished),
            "served": len(served),
            "late": late,
            "refused": refused,
            "failed": len(finished) - len(served) - refused,
            "p50_ms": round(_find_quantile(latencies, 0.5) * 1000, 1),
            "p99_ms": round(_find_quantile(latencies, 0.99) * 1000, 1),
        }
    return rows


def _find_quantile(values: list[float], quantile: float) -> float:
    return values[min(len(values) - 1, int(quantile * len(values)))] if values else 0.0


def plot_calls(calls: list[CallRecord], scenario: Scenario, path: Path) -> None:
    """Plots the calls served in each second, and marks the duration of each fault."""
    matplotlib.use("Agg")
    from matplotlib import pyplot

    began = min(call.started_at for call in calls)
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for kind in LATENCY_OBJECTIVES:
        counts = Counter(
            int(call.finished_at - began)
            for call in calls
            if call.kind == kind and call.status == 200
        )
        seconds = range(int(scenario.duration) + 1)
        axes.plot(list(seconds), [counts[second] for second in seconds], label=kind)
    for step in scenario.plan.steps:
        axes.axvspan(step.at, step.at + step.seconds, alpha=0.15)
        axes.annotate(step.kind, (step.at, 0), rotation=90, fontsize=7)
    axes.set_xlabel("seconds")
    axes.set_ylabel("calls served per second")
    axes.legend()
    path.parent.mkdir(exist_ok=True)
    figure.tight_layout()
    figure.savefig(path)


def run_scenario(scenario: Scenario) -> dict[str, Any]:
    """Runs a scenario and returns its measures."""
    plan = scenario.plan
    harness = DeploymentHarness(
        engines=plan.engines,
        services=plan.desks,
        entries=0,
        engine_flags=ENGINE_FLAGS,
        service_flags=SERVICE_WORKER_FLAGS,
    )
    started = time.monotonic()
    with harness:
        problems, _ = run_plan(harness, plan, seconds=scenario.duration)
        store_journal = harness.store.request_json("GET", "/control/journal")
    observations = harness.observations
    loads = len(observations.list_journal_entries("order"))
    plot_calls(observations.calls, scenario, RESULTS_DIRECTORY / "experiment.png")
    return {
        "calls": measure_calls(observations.calls),
        "samples": len(observations.samples),
        "lots_whole": len(observations.samples) // SAMPLES_PER_LOT,
        "loads": loads,
        "store_appends": store_journal.get("calls_append", 0),
        "store_reads": store_journal.get("calls_read", 0),
        "problems": problems,
        "seconds": round(time.monotonic() - started, 1),
    }


def main() -> int:
    """Runs a scenario and prints its measures.

    Returns:
        Exit status: zero if no check failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("day", nargs="?", type=Path, default=DEFAULT_SCENARIO)
    measures = run_scenario(load_scenario(parser.parse_args().day))
    for kind, row in measures["calls"].items():
        print(kind, "  ".join(f"{name} {value}" for name, value in row.items()))
    print(json.dumps(measures))
    return int(bool(measures["problems"]))


if __name__ == "__main__":
    sys.exit(main())
