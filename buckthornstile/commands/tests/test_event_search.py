"""Tests that ``explain`` finds the cause of a failed call, item or refused request."""

import json

import pytest

from buckthornstile.commands import main

EVENTS = [
    {"time": "10.0", "process": "e1", "event": "store.lost", "topic": "keyed.op"},
    {
        "time": "11.0",
        "process": "e1",
        "event": "call.attempt_failed",
        "request": "r1",
        "upstream": "w1",
        "reason": "the response ended early",
    },
    {
        "time": "11.2",
        "process": "e1",
        "event": "request.refused",
        "request": "r1",
        "error": "upstream.failed",
        "status": 502,
    },
    {"time": "12.0", "process": "e2", "event": "job.accepted", "job": "j1"},
    {"time": "12.5", "process": "e2", "event": "store.lost", "topic": "keyed.jobs"},
    {
        "time": "13.0",
        "process": "e2",
        "event": "item.run_ended",
        "job": "j1",
        "item": "i1",
        "upstream": "m1",
        "end": "silent",
    },
    {
        "time": "14.0",
        "process": "e2",
        "event": "job.results_stored",
        "job": "j1",
        "items": "i0,i1",
    },
    {
        "time": "15.0",
        "process": "e1",
        "event": "request.refused",
        "request": "r2",
        "error": "process.configuration_old",
        "store_age": 4.9,
        "status": 503,
    },
]


@pytest.fixture
def logs(tmp_path):
    """Writes the logs of two processes, with prefixes and truncated lines."""
    first, second = tmp_path / "e1.log", tmp_path / "e2.log"
    for path, process in ((first, "e1"), (second, "e2")):
        process_lines = [line for line in EVENTS if line["process"] == process]
        text = "".join(
            f"  1.5 {process} {json.dumps(line)}\n" for line in process_lines
        )
        path.write_text('{"torn\nno event\n' + text)
    return f"--logs={first},{second}"


def list_events(capsys) -> list[str]:
    data = json.loads(capsys.readouterr().out)
    return [line["event"] for line in data["events"]]


def test_explain_finds_failed_call_of_request(logs, capsys) -> None:
    assert main(["explain", "r1", logs, "--json"]) == 0
    assert list_events(capsys) == ["call.attempt_failed", "request.refused"]


def test_explain_finds_runs_of_item_and_context_of_job(logs, capsys) -> None:
    assert main(["explain", "i1", logs, "--json"]) == 0
    assert list_events(capsys) == ["item.run_ended", "job.results_stored"]
    assert main(["explain", "j1", logs, "--json", "--context"]) == 0
    assert "store.lost" in list_events(capsys)


def test_explain_shows_age_of_configuration_of_refused_request(logs, capsys) -> None:
    assert main(["explain", "r2", logs]) == 0
    shown = capsys.readouterr().out
    assert "store_age=4.9" in shown
    assert "error=process.configuration_old" in shown


def test_unknown_id_and_unreadable_log_are_rejected(logs, capsys) -> None:
    assert main(["explain", "nothing", logs]) != 0
    assert "'nothing'" in capsys.readouterr().err
    assert main(["explain", "r1", "--logs=/no/such/file"]) != 0
    assert "/no/such/file" in capsys.readouterr().err
