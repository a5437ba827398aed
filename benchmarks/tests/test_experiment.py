"""The experiment tool reads days and measures what was seen."""

import pytest

from benchmarks.experiment import DEFAULT_DAY, measure_calls, read_day
from tests.invariants import CallRecord


def test_the_day_that_is_played_by_default_is_read():
    day = read_day(DEFAULT_DAY)
    assert [step.kind for step in day.plan.steps] == [
        "kill",
        "store_pause",
        "worker_fault",
    ]
    assert day.seconds == 20.0


def test_a_day_with_an_unknown_field_is_refused(tmp_path):
    path = tmp_path / "day.toml"
    path.write_text("entries = 1\nengines = 1\ndesks = 1\n")
    with pytest.raises(ValueError, match=r"day.toml.*seconds"):
        read_day(path)
    path.write_text(DEFAULT_DAY.read_text() + "colour = 3\n")
    with pytest.raises(ValueError, match="colour"):
        read_day(path)


def test_calls_are_measured_by_kind():
    def see(status, seconds, verdict=""):
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

    calls = [see(200, 0.1), see(200, 0.9), see(0, 0.1, "not_run"), see(0, 1, "ran")]
    row = measure_calls(calls)["lookup"]
    assert (row["asked"], row["served"], row["late"]) == (4, 2, 1)
    assert (row["refused"], row["failed"]) == (1, 1)
