"""The command line end to end, on a log in memory."""

import asyncio
import json
import pathlib
import sys
import types

import pytest

from buckthornstile.commands import ExitCode, SubmitResult, main
from buckthornstile.commands._in_force import wait_in_force
from buckthornstile.commands._main import COMMANDS
from buckthornstile.commands.tests.logs import MemoryLogPort, put_in_place
from buckthornstile.configuration import hash_key
from buckthornstile.records import UsageReported, UsageSeal

SHEET = str(pathlib.Path(__file__).parents[3] / "examples" / "sheet.csv")


@pytest.fixture
def log(monkeypatch):
    log = MemoryLogPort()
    put_in_place(monkeypatch, log)
    return log


def run(capsys, *words):
    code = main([*words, "--json"])
    return code, json.loads(capsys.readouterr().out)


def test_a_morning_of_an_operator(log, capsys):
    assert run(capsys, "config", "plan", SHEET)[1]["new_keys"] == [
        "mill-7-clerks",
        "geometry-trainers",
    ]
    assert log.records == []
    _, applied = run(capsys, "config", "apply", SHEET)
    clear = applied["keys"]["mill-7-clerks"]
    current = log.fold()[0].current
    assert current.find_key(hash_key(clear)).account == "mill-7"
    assert run(capsys, "config", "apply", SHEET)[1]["changed"] is False
    _, added = run(capsys, "keys", "add", "mill-7", "--name", "1_0")
    assert list(added["keys"]) == ["1_0"]
    assert run(capsys, "keys", "add", "mill-7", "--name=1_0")[1]["keys"] == {}
    assert run(capsys, "keys", "withdraw", "1_0")[1]["revision"] == 3
    assert run(capsys, "keys", "withdraw", "1_0")[1]["changed"] is False
    assert run(capsys, "keys", "add", "mill-7", "--name=1_0")[0] == 2
    assert run(capsys, "drain", "bench-a", "--operator", "ann")[1]["revision"] == 4
    assert run(capsys, "restore", "bench-a")[1]["revision"] == 5
    assert run(capsys, "restore", "bench-a")[1]["changed"] is False
    _, history = run(capsys, "config", "history")
    assert [c["revision"] for c in history["changes"]] == [1, 2, 3, 4, 5]
    assert history["changes"][3]["operator"] == "ann"
    shown = json.dumps([run(capsys, "config", "show"), history])
    assert clear not in shown and hash_key(clear) not in shown
    assert clear.encode() not in b"".join(log.records)


def test_a_key_is_shown_and_made_once_though_the_answer_was_lost(log, capsys):
    log.append_faults = ["lost after"]
    _, applied = run(capsys, "config", "apply", SHEET)
    assert applied["changed"] and len(applied["keys"]) == 2
    log.append_faults = ["lost after", "late"]
    for _ in range(2):
        _, added = run(capsys, "keys", "add", "mill-7")
        ((name, clear),) = added["keys"].items()
        assert log.fold()[0].current.find_key(hash_key(clear)).name == name
    assert log.fold()[0].current.revision == 3


def test_the_history_begins_where_the_log_does(log, capsys):
    for name in ("bench-a", "bench-b", "grind-room"):
        run(capsys, "drain", name)
    log.add(log.fold()[0].make_snapshot())
    log.first_retained = 1
    run(capsys, "restore", "bench-a")
    _, history = run(capsys, "config", "history")
    assert [c["revision"] for c in history["changes"]] == [2, 3, 4]
    assert [c["offset"] for c in history["changes"]] == [1, 2, 4]


def test_words_and_flags_that_are_not_known_change_nothing(log, capsys):
    for words in (
        ["drain"],
        ["drain", "bench-a", "bench-b"],
        ["drain", "bench-a", "--resaon=x"],
        ["drain", "bench-a", "-", "x"],
        ["drain", "bench-a", "--json=perhaps"],
        ["drain", "bench-a", "--", "--interactive"],
        ["drain", "two words"],
        ["drian", "bench-a"],
        ["keys", "withdraw", "nobody"],
        ["config", "apply", "/nowhere/sheet.csv"],
        ["status"],
    ):
        assert main(words) == ExitCode.BAD_INPUT, words
        assert any(capsys.readouterr())
    assert log.records == []


def test_a_flag_without_value_does_not_take_the_next_word(log, capsys):
    assert main(["config", "plan", "--json", SHEET]) == 0
    assert json.loads(capsys.readouterr().out)["ok"]


def test_removing_a_large_share_is_refused_without_the_flag(log, capsys, tmp_path):
    run(capsys, "config", "apply", SHEET)
    small = tmp_path / "small.csv"
    small.write_text("kind,name\naccount,mill-7\n")
    assert run(capsys, "config", "apply", str(small))[0] == ExitCode.REFUSED
    code, applied = run(capsys, "config", "apply", str(small), "--allow-removal")
    assert (code, applied["revision"]) == (0, 2)


@pytest.mark.parametrize("name", list(COMMANDS))
def test_each_command_has_help(name, capsys):
    assert main([*name.split(), "--help"]) == 0
    assert name in capsys.readouterr().out


def test_a_change_that_is_not_in_force_says_where(log, capsys):
    words = ["drain", "bench-a", "--entries=http://127.0.0.1:1", "--wait_timeout=0"]
    code, data = run(capsys, *words)
    assert code == ExitCode.NOT_IN_FORCE
    assert data["in_force"]["behind"] == ["http://127.0.0.1:1 (no answer)"]
    assert main(["status", "--entries=http://127.0.0.1:1"]) == 4


def test_waiting_ends_once_entries_and_agents_have_the_change():
    answers = [
        {"configuration": {"revision": 1}, "agents": []},
        {
            "configuration": {"revision": 2},
            "agents": [{"process": "a1", "configuration_offset": 6}, "garbage"],
        },
        {
            "configuration": {"revision": 2},
            "agents": [{"process": "a1", "configuration_offset": 7}],
        },
    ]
    times = iter(range(100))
    asked = []

    async def fetch(url, timeout):
        asked.append(url)
        return answers[min(len(asked) - 1, 2)]

    async def sleep(seconds):
        return None

    def wait(timeout):
        return asyncio.run(
            wait_in_force(
                ["http://127.0.0.1:1"],
                SubmitResult(2, 7, True),
                timeout=timeout,
                fetch=fetch,
                clock=lambda: next(times),
                sleep=sleep,
            )
        )

    assert wait(1.5).behind == ("a1",)
    assert wait(9).behind == ()


def test_usage_shows_the_first_seal_of_each_window(log, capsys):
    for through in (5, 9):
        log.add(UsageSeal(window=60, duration=60, term=1, through=through))
    log.add(UsageReported(window=60, term=1))
    _, data = run(capsys, "usage")
    assert [(w["through"], w["reported"]) for w in data["windows"]] == [(5, True)]


def test_daemons_get_checked_settings(monkeypatch, capsys):
    started = []
    module = types.ModuleType("buckthornstile.entry")
    module.run_entry = started.append
    monkeypatch.setitem(sys.modules, module.__name__, module)
    words = ["entry", "--process=1_0", "--failure-domain=bench-a"]
    words += ["--platform_url=http://127.0.0.1:1", "--http_port", "0"]
    assert main(words) == ExitCode.BAD_INPUT
    assert "deployment_secret" in capsys.readouterr().err
    assert main([*words, "--deployment_secret=0123456789abcdef"]) == 0
    assert (started[0].process, started[0].http_port) == ("1_0", 0)
