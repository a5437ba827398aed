"""Steps of ``change.feature``."""

import pathlib

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.commands import ExitCode, main
from buckthornstile.commands.tests.logs import MemoryLogPort, put_in_place
from buckthornstile.records import (
    Account,
    ConfigurationChange,
    Drain,
    LeaseRelease,
    decode_record,
)

scenarios("change.feature")

ROOT = pathlib.Path(__file__).parents[3]


class World:
    def __init__(self):
        self.log = MemoryLogPort()
        self.exit_code = None
        self.others = 0

    def add_other(self, item):
        """Another operator's change, based on the newest revision."""
        base = self.log.fold()[0].current.revision
        self.others += 1
        change_id = f"other-{self.others}"
        self.log.add(
            ConfigurationChange(change_id=change_id, base_revision=base, put=(item,))
        )


@pytest.fixture
def world(monkeypatch):
    world = World()
    put_in_place(monkeypatch, world.log)
    return world


@given('failure domain "bench-a" is in service')
def _(world):
    world.add_other(Account(name="mill-7"))


@given(parsers.parse("the platform's log {fault}"))
def _(world, fault):
    log = world.log

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
    elif fault == "keeps no record that tells of the configuration":
        log.add(LeaseRelease(holder="e", incarnation="i", term=0))
        log.first_retained = 1


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
    world.log.before_append = [lambda: world.add_other(item)]
    world.exit_code = main(["config", "apply", str(sheet)])


@then(parsers.parse("the command ends with {name}"))
def _(world, name):
    assert ExitCode(world.exit_code).name == name


@then(parsers.parse("the drain was accepted {times:d} times"))
def _(world, times):
    _, outcomes = world.log.fold()
    records = map(decode_record, world.log.records)
    drains = [
        record
        for record, outcome in zip(records, outcomes, strict=True)
        if outcome.accepted
        and not outcome.duplicate
        and any(isinstance(item, Drain) for item in record.put)
    ]
    assert len(drains) == times
