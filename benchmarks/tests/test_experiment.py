"""Tests of the scenario files and of the measures of the experiment tool."""

import pytest

from benchmarks.experiment import DEFAULT_SCENARIO, load_scenario, measure_calls
from tests.invariants import CallRecord


def test_default_scenario_is_loaded():
    scenario = load_scenario(DEFAULT_SCENARIO)
    assert [step.kind for step in scenario.plan.steps] == [
        "kill",
        "store_pause",
        "worker_fault",
    ]
    assert scenario.duration == 20.0


def test_scenario_with_a_missing_or_unknown_field_is_rejected(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text("entries = 1\nengines = 1\ndesks = 1\n")
    with pytest.raises(ValueError, match=r"day.toml.*seconds"):
        load_scenario(path)
    path.write_text(DEFAULT_SCENARIO.read_text() + "colour = 3\n")
    with pytest.raises(ValueError, match="colour"):
        load_scenario(path)


def test_calls_are_measured_by_kind():
    def make_call(status, seconds, verdict=""):
        return CallRecord(
            "mill",
            "lookup",
            "l",
            b"",
            status,
            verdict=verdict,
            started_at=5.0,
            finished_at=5.0 + seconds,
        )

    calls = [
        make_call(200, 0.1),
        make_call(200, 0.9),
        make_call(0, 0.1, "not_run"),
        make_call(0, 1, "ran"),
    ]
    row = measure_calls(calls)["lookup"]
    assert (row["asked"], row["served"], row["late"]) == (4, 2, 1)
    assert (row["refused"], row["failed"]) == (1, 1)
