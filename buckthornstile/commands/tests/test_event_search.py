"""From an id to its cause, for the three kinds of failed request."""

import json

import pytest

from buckthornstile.commands import main

LINES = [
    {"time": "10.0", "process": "e1", "event": "store.lost", "topic": "keyed.op"},
    {
        "time": "11.0",
        "process": "e1",
        "event": "call.attempt_failed",
        "request": "r1",
        "upstream": "w1",
        "reason": "the answer ended early",
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
    """Two processes' logs, one with a prefix and a torn line."""
    first, second = tmp_path / "e1.log", tmp_path / "e2.log"
    for path, process in ((first, "e1"), (second, "e2")):
        own = [line for line in LINES if line["process"] == process]
        text = "".join(f"  1.5 {process} {json.dumps(line)}\n" for line in own)
        path.write_text('{"torn\nno event\n' + text)
    return f"--logs={first},{second}"


def list_events(capsys) -> list[str]:
    data = json.loads(capsys.readouterr().out)
    return [line["event"] for line in data["events"]]


def test_failed_call_leads_to_its_upstream(logs, capsys) -> None:
    assert main(["explain", "r1", logs, "--json"]) == 0
    assert list_events(capsys) == ["call.attempt_failed", "request.refused"]


def test_item_leads_to_its_runs_and_to_what_its_process_believed(logs, capsys) -> None:
    assert main(["explain", "i1", logs, "--json"]) == 0
    assert list_events(capsys) == ["item.run_ended", "job.results_stored"]
    assert main(["explain", "j1", logs, "--json", "--context"]) == 0
    assert "store.lost" in list_events(capsys)


def test_refusal_leads_to_the_age_of_the_configuration(logs, capsys) -> None:
    assert main(["explain", "r2", logs]) == 0
    shown = capsys.readouterr().out
    assert "store_age=4.9" in shown
    assert "error=process.configuration_old" in shown


def test_unknown_id_and_unreadable_log_are_errors(logs, capsys) -> None:
    assert main(["explain", "nothing", logs]) != 0
    assert "'nothing'" in capsys.readouterr().err
    assert main(["explain", "r1", "--logs=/no/such/file"]) != 0
    assert "/no/such/file" in capsys.readouterr().err
