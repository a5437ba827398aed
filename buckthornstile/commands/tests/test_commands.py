"""End-to-end tests of the command line on an in-memory store."""

import asyncio
import functools
import json
import pathlib
import signal

import pytest

from buckthornstile.commands import ExitCode, SubmitResult, main
from buckthornstile.commands._main import COMMANDS
from buckthornstile.commands._propagation import wait_until_propagated
from buckthornstile.commands.tests.fake_store import FaultyMemoryStore, patch_store
from buckthornstile.configuration import hash_api_key
from buckthornstile.duties import DUTY_TOPIC, SealRecord, encode_duty_record

EXAMPLE_SHEET = str(pathlib.Path(__file__).parents[3] / "examples" / "sheet.csv")


@pytest.fixture
def store(monkeypatch):
    store = FaultyMemoryStore()
    patch_store(monkeypatch, store)
    return store


def run_command(capsys, *words):
    exit_code = main([*words, "--json"])
    return exit_code, json.loads(capsys.readouterr().out)


def test_operator_commands_change_configuration_and_history(store, capsys):
    assert run_command(capsys, "config", "plan", EXAMPLE_SHEET)[1]["new_keys"] == [
        "mill-7-clerks",
        "geometry-trainers",
    ]
    assert store.configuration.records == []
    _, applied = run_command(capsys, "config", "apply", EXAMPLE_SHEET)
    clear = applied["keys"]["mill-7-clerks"]
    current = store.load_state().current
    assert current.find_api_key(hash_api_key(clear)).account == "mill-7"
    assert run_command(capsys, "config", "apply", EXAMPLE_SHEET)[1]["changed"] is False
    _, added = run_command(capsys, "keys", "add", "mill-7", "--name", "1_0")
    assert list(added["keys"]) == ["1_0"]
    assert run_command(capsys, "keys", "add", "mill-7", "--name=1_0")[1]["keys"] == {}
    assert run_command(capsys, "keys", "withdraw", "1_0")[1]["revision"] == 3
    assert run_command(capsys, "keys", "withdraw", "1_0")[1]["changed"] is False
    assert run_command(capsys, "keys", "add", "mill-7", "--name=1_0")[0] == 2
    assert (
        run_command(capsys, "drain", "bench-a", "--operator", "ann")[1]["revision"] == 4
    )
    assert run_command(capsys, "restore", "bench-a")[1]["revision"] == 5
    assert run_command(capsys, "restore", "bench-a")[1]["changed"] is False
    _, history = run_command(capsys, "config", "history")
    assert [change["revision"] for change in history["changes"]] == [1, 2, 3, 4, 5]
    assert history["changes"][3]["operator"] == "ann"
    shown = json.dumps([run_command(capsys, "config", "show"), history])
    assert clear not in shown and hash_api_key(clear) not in shown
    assert clear.encode() not in b"".join(
        record for _, record in store.configuration.records
    )


def test_key_is_created_and_printed_once_after_lost_response(store, capsys):
    store.append_faults = ["lost after"]
    _, applied = run_command(capsys, "config", "apply", EXAMPLE_SHEET)
    assert applied["changed"] and len(applied["keys"]) == 2
    store.append_faults = ["lost after", "late"]
    for _ in range(2):
        _, added = run_command(capsys, "keys", "add", "mill-7")
        ((name, clear),) = added["keys"].items()
        assert store.load_state().current.find_api_key(hash_api_key(clear)).name == name
    assert store.load_state().current.revision == 3


def test_history_survives_dropped_records(store, capsys):
    for name in ("bench-a", "bench-b", "grind-room"):
        run_command(capsys, "drain", name)
    store.configuration.drop_history()
    run_command(capsys, "restore", "bench-a")
    _, history = run_command(capsys, "config", "history")
    assert [change["revision"] for change in history["changes"]] == [1, 2, 3, 4]
    _, shown = run_command(capsys, "config", "show")
    assert {item["name"] for item in shown["items"]} == {"bench-b", "grind-room"}


def test_invalid_arguments_change_nothing(store, capsys):
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


def test_boolean_flag_does_not_consume_next_argument(store, capsys):
    assert main(["config", "plan", "--json", EXAMPLE_SHEET]) == 0
    assert json.loads(capsys.readouterr().out)["ok"]


def test_large_removal_is_refused_without_flag(store, capsys, tmp_path):
    run_command(capsys, "config", "apply", EXAMPLE_SHEET)
    small_sheet = tmp_path / "small.csv"
    small_sheet.write_text("kind,name\naccount,mill-7\n")
    assert (
        run_command(capsys, "config", "apply", str(small_sheet))[0] == ExitCode.REFUSED
    )
    exit_code, applied = run_command(
        capsys, "config", "apply", str(small_sheet), "--allow-removal"
    )
    assert (exit_code, applied["revision"]) == (0, 2)


@pytest.mark.parametrize("name", list(COMMANDS))
def test_command_has_help(name, capsys):
    assert main([*name.split(), "--help"]) == 0
    assert name in capsys.readouterr().out


def test_output_names_entries_where_change_is_not_in_effect(store, capsys):
    words = ["drain", "bench-a", "--entries=http://127.0.0.1:1", "--wait_timeout=0"]
    exit_code, data = run_command(capsys, *words)
    assert exit_code == ExitCode.NOT_IN_FORCE
    assert data["in_force"]["behind"] == ["http://127.0.0.1:1 (no answer)"]
    assert main(["status", "--entries=http://127.0.0.1:1"]) == 4


def test_wait_ends_when_entries_have_change():
    statuses = [
        {"configuration": {"revision": 1}},
        {"configuration": "garbage"},
        {"configuration": {"revision": 2}},
    ]
    times = iter(range(100))
    requested_urls = []

    async def fetch(url, timeout):
        requested_urls.append(url)
        return statuses[min(len(requested_urls) - 1, 2)]

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


def test_usage_shows_first_seal_of_each_window(store, capsys):
    seals = [
        SealRecord(60, {"mill": 5}),
        SealRecord(60, {"mill": 9}),
        SealRecord(60, {"mill": 5}, is_reported=True),
        SealRecord(61, {"mill": 1}),
    ]
    store.get_partition(DUTY_TOPIC).append([encode_duty_record(seal) for seal in seals])
    _, data = run_command(capsys, "usage")
    assert [
        (window["window"], window["counts"], window["reported"])
        for window in data["windows"]
    ] == [
        (60, {"mill": 5}, True),
        (61, {"mill": 1}, False),
    ]


def test_entry_starts_only_with_valid_settings(monkeypatch, capsys):
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


def test_interrupt_while_the_event_loop_starts_ends_the_command(monkeypatch):
    install = signal.signal
    # The loop installs no handler where the parent process has SIGINT ignored.
    previous_handler = install(signal.SIGINT, signal.default_int_handler)

    def install_and_interrupt(number, handler):
        previous = install(number, handler)
        if isinstance(handler, functools.partial):  # the handler of asyncio.run
            signal.raise_signal(signal.SIGINT)
        return previous

    monkeypatch.setattr(signal, "signal", install_and_interrupt)
    monkeypatch.setitem(
        COMMANDS, "config show", lambda: asyncio.run(asyncio.sleep(5.0))
    )
    try:
        assert main(["config", "show"]) == ExitCode.INTERNAL
    finally:
        install(signal.SIGINT, previous_handler)
