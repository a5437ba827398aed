"""Implements the steps of ``change.feature``."""

import pathlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.commands import ExitCode, main
from buckthornstile.commands.tests.fake_store import FaultyMemoryStore, patch_store
from buckthornstile.configuration import Account, ConfigurationChange, Drain

scenarios("change.feature")

ROOT = pathlib.Path(__file__).parents[3]


class ScenarioContext:
    def __init__(self):
        self.store = FaultyMemoryStore()
        self.exit_code = None
        self.concurrent_changes = 0

    def append_concurrent_change(self, item):
        """Appends another operator's change, based on the latest revision."""
        base = self.store.load_state().current.revision
        self.concurrent_changes += 1
        change_id = f"other-{self.concurrent_changes}"
        self.store.append_change(
            ConfigurationChange(change_id=change_id, base_revision=base, put=(item,))
        )


@pytest.fixture
def context(monkeypatch):
    context = ScenarioContext()
    patch_store(monkeypatch, context.store)
    return context


@given('a configuration in which failure domain "bench-a" is not drained')
def _(context):
    context.append_concurrent_change(Account(name="mill-7"))


@given(parsers.parse("the store {fault}"))
def _(context, fault):
    store = context.store

    def add_account():
        context.append_concurrent_change(
            Account(name=f"account-{context.concurrent_changes}")
        )

    if fault == "loses one response after appending the record":
        store.append_faults = ["lost after"]
    elif fault == "loses one request before appending the record":
        store.append_faults = ["lost before"]
    elif fault == "appends a record late, after the request timed out":
        store.append_faults = ["late"]
    elif fault == "rejects one append":
        store.append_faults = ["refused"]
    elif fault == "is unavailable":
        store.reads_before_outage = 0
    elif fault == "becomes unavailable for reads after the append":
        store.appends_before_outage = 1
    elif fault == "appends another operator's change first":
        store.before_append_hooks = [add_account]
    elif fault == "appends another operator's change first on every attempt":
        store.before_append_hooks = [add_account] * 10
    elif fault == "appends another operator's drain first":
        store.before_append_hooks = [
            lambda: context.append_concurrent_change(Drain(name="bench-a"))
        ]
    elif fault == "has dropped its history":
        store.configuration.drop_history()
    elif fault == "holds a malformed record":
        store.configuration.append([b"\x06item/x{}"])


@given("the example sheet was applied")
def _(context):
    assert main(["config", "apply", str(ROOT / "examples" / "sheet.csv")]) == 0


@when('an operator drains failure domain "bench-a"')
def _(context):
    context.exit_code = main(["drain", "bench-a", "--reason=a test"])


@when(
    parsers.parse("an operator applies a changed sheet while another operator {change}")
)
def _(context, change, tmp_path):
    text = (ROOT / "examples" / "sheet.csv").read_text()
    sheet = tmp_path / "sheet.csv"
    sheet.write_text(text + "account,mill-8,,,,,,,1,,,\n")
    name = "bench-a" if change == "drains a failure domain" else "mill-8"
    item = Drain(name=name) if name == "bench-a" else Account(name=name, weight=7)
    context.store.before_append_hooks = [lambda: context.append_concurrent_change(item)]
    context.exit_code = main(["config", "apply", str(sheet)])


@then(parsers.parse("the command exits with {name}"))
def _(context, name):
    assert ExitCode(context.exit_code).name == name


@then(parsers.parse("the store holds {times:d} accepted drains"))
def _(context, times):
    if context.exit_code == ExitCode.BAD_INPUT:
        assert times == 0
        return
    changes = context.store.load_state().list_recent_changes()
    drains = [
        change for change in changes if any(item.kind == "drain" for item in change.put)
    ]
    assert len(drains) == times
