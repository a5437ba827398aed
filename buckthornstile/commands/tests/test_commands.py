"""The command line end to end, on a store in memory."""

import asyncio
import json
import pathlib

import pytest

from buckthornstile.commands import ExitCode, SubmitResult, main
from buckthornstile.commands._main import COMMANDS
from buckthornstile.commands._propagation import wait_until_propagated
from buckthornstile.commands.tests.fake_store import MemoryStore, put_in_place
from buckthornstile.configuration import hash_api_key
from buckthornstile.duties import DUTY_TOPIC, SealRecord, encode_duty_record

SHEET = str(pathlib.Path(__file__).parents[3] / "examples" / "sheet.csv")


@pytest.fixture
def store(monkeypatch):
    store = MemoryStore()
    put_in_place(monkeypatch, store)
    return store


def run(capsys, *words):
    code = main([*words, "--json"])
    return code, json.loads(capsys.readouterr().out)


def test_a_morning_of_an_operator(store, capsys):
    assert run(capsys, "config", "plan", SHEET)[1]["new_keys"] == [
        "mill-7-clerks",
        "geometry-trainers",
    ]
    assert store.configuration.records == []
    _, applied = run(capsys, "config", "apply", SHEET)
    clear = applied["keys"]["mill-7-clerks"]
    current = store.fold().current
    assert current.find_api_key(hash_api_key(clear)).account == "mill-7"
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
    assert clear not in shown and hash_api_key(clear) not in shown
    assert clear.encode() not in b"".join(
        record for _, record in store.configuration.records
    )


def test_a_key_is_shown_and_made_once_though_the_answer_was_lost(store, capsys):
    store.append_faults = ["lost after"]
    _, applied = run(capsys, "config", "apply", SHEET)
    assert applied["changed"] and len(applied["keys"]) == 2
    store.append_faults = ["lost after", "late"]
    for _ in range(2):
        _, added = run(capsys, "keys", "add", "mill-7")
        ((name, clear),) = added["keys"].items()
        assert store.fold().current.find_api_key(hash_api_key(clear)).name == name
    assert store.fold().current.revision == 3


def test_the_history_outlives_the_log(store, capsys):
    for name in ("bench-a", "bench-b", "grind-room"):
        run(capsys, "drain", name)
    store.configuration.drop_history()
    run(capsys, "restore", "bench-a")
    _, history = run(capsys, "config", "history")
    assert [c["revision"] for c in history["changes"]] == [1, 2, 3, 4]
    _, shown = run(capsys, "config", "show")
    assert {item["name"] for item in shown["items"]} == {"bench-b", "grind-room"}


def test_words_and_flags_that_are_not_known_change_nothing(store, capsys):
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
    assert store.configuration.records == []


def test_a_flag_without_value_does_not_take_the_next_word(store, capsys):
    assert main(["config", "plan", "--json", SHEET]) == 0
    assert json.loads(capsys.readouterr().out)["ok"]


def test_removing_a_large_share_is_refused_without_the_flag(store, capsys, tmp_path):
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


def test_a_change_that_is_not_in_force_says_where(store, capsys):
    words = ["drain", "bench-a", "--entries=http://127.0.0.1:1", "--wait_timeout=0"]
    code, data = run(capsys, *words)
    assert code == ExitCode.NOT_IN_FORCE
    assert data["in_force"]["behind"] == ["http://127.0.0.1:1 (no answer)"]
    assert main(["status", "--entries=http://127.0.0.1:1"]) == 4


def test_waiting_ends_once_entries_have_the_change():
    answers = [
        {"configuration": {"revision": 1}},
        {"configuration": "garbage"},
        {"configuration": {"revision": 2}},
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
            wait_until_propagated(
                ["http://127.0.0.1:1"],
                SubmitResult(2, 7, True),
                timeout=timeout,
                fetch=fetch,
                clock=lambda: next(times),
                sleep=sleep,
            )
        )

    assert wait(1.5).behind == ("http://127.0.0.1:1",)
    assert wait(9).behind == ()


def test_usage_shows_the_first_seal_of_each_window(store, capsys):
    seals = [
        SealRecord(60, {"mill": 5}),
        SealRecord(60, {"mill": 9}),
        SealRecord(60, {"mill": 5}, is_reported=True),
        SealRecord(61, {"mill": 1}),
    ]
    store.get(DUTY_TOPIC).append([encode_duty_record(seal) for seal in seals])
    _, data = run(capsys, "usage")
    assert [(w["window"], w["counts"], w["reported"]) for w in data["windows"]] == [
        (60, {"mill": 5}, True),
        (61, {"mill": 1}, False),
    ]


def test_daemons_get_checked_settings(monkeypatch, capsys):
    started = []
    monkeypatch.setattr(
        "buckthornstile.commands._processes.run_entry_process", started.append
    )
    words = ["entry", "--process=1_0", "--failure-domain=bench-a"]
    words += ["--api_address", "127.0.0.1:0"]
    assert main(words) == ExitCode.BAD_INPUT
    assert "store_address" in capsys.readouterr().err
    assert main([*words, "--store_address=127.0.0.1:1"]) == 0
    assert (started[0].process, started[0].api_address) == ("1_0", "127.0.0.1:0")
