"""Steps of ``change.feature``."""

import pathlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.commands import ExitCode, main
from buckthornstile.commands.tests.fake_store import MemoryStore, put_in_place
from buckthornstile.configuration import Account, ConfigurationChange, Drain

scenarios("change.feature")

ROOT = pathlib.Path(__file__).parents[3]


class World:
    def __init__(self):
        self.store = MemoryStore()
        self.exit_code = None
        self.others = 0

    def add_other(self, item):
        """Another operator's change, based on the newest revision."""
        base = self.store.fold().current.revision
        self.others += 1
        change_id = f"other-{self.others}"
        self.store.add_change(
            ConfigurationChange(change_id=change_id, base_revision=base, put=(item,))
        )


@pytest.fixture
def world(monkeypatch):
    world = World()
    put_in_place(monkeypatch, world.store)
    return world


@given('failure domain "bench-a" is in service')
def _(world):
    world.add_other(Account(name="mill-7"))


@given(parsers.parse("the store {fault}"))
def _(world, fault):
    log = world.store

    def add_account():
        world.add_other(Account(name=f"account-{world.others}"))

    if fault == "loses one answer after taking the record":
        log.append_faults = ["lost after"]
    elif fault == "loses one answer before taking the record":
        log.append_faults = ["lost before"]
    elif fault == "takes a record late, after its answer was lost":
        log.append_faults = ["late"]
    elif fault == "refuses one append":
        log.append_faults = ["refused"]
    elif fault == "is out":
        log.reads_before_outage = 0
    elif fault == "is out for reading after the append":
        log.appends_before_outage = 1
    elif fault == "takes another operator's change first":
        log.before_append = [add_account]
    elif fault == "takes another operator's change first, always":
        log.before_append = [add_account] * 10
    elif fault == "takes another operator's drain first":
        log.before_append = [lambda: world.add_other(Drain(name="bench-a"))]
    elif fault == "has dropped its history":
        log.configuration.drop_history()
    elif fault == "holds a malformed record":
        log.configuration.append([b"\x06item/x{}"])


@given("the example sheet was applied")
def _(world):
    assert main(["config", "apply", str(ROOT / "examples" / "sheet.csv")]) == 0


@when('an operator drains failure domain "bench-a"')
def _(world):
    world.exit_code = main(["drain", "bench-a", "--reason=a test"])


@when(parsers.parse("an operator applies a changed sheet while another {change}"))
def _(world, change, tmp_path):
    text = (ROOT / "examples" / "sheet.csv").read_text()
    sheet = tmp_path / "sheet.csv"
    sheet.write_text(text + "account,mill-8,,,,,,,1,,,\n")
    name = "bench-a" if change == "drains a failure domain" else "mill-8"
    item = Drain(name=name) if name == "bench-a" else Account(name=name, weight=7)
    world.store.before_append = [lambda: world.add_other(item)]
    world.exit_code = main(["config", "apply", str(sheet)])


@then(parsers.parse("the command ends with {name}"))
def _(world, name):
    assert ExitCode(world.exit_code).name == name


@then(parsers.parse("the drain was accepted {times:d} times"))
def _(world, times):
    if world.exit_code == ExitCode.BAD_INPUT:
        assert times == 0
        return
    notes = world.store.fold().list_recent_changes()
    drains = [note for note in notes if any(item.kind == "drain" for item in note.put)]
    assert len(drains) == times
