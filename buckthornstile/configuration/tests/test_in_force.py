"""Steps of ``in_force.feature``."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.configuration import ConfigurationFold
from buckthornstile.configuration.tests.logs import (
    MemoryLog,
    make_change,
    make_drain_change,
    make_reader,
)
from buckthornstile.records import (
    Account,
    UnreadableRecord,
    decode_record,
    encode_record,
)
from buckthornstile.wire import RelayedRecord

scenarios("in_force.feature")


class World:
    def __init__(self):
        self.log = MemoryLog()
        self.holder = ConfigurationFold()
        self.holder_position = 0
        self.process = ConfigurationFold()
        self.position = 0
        self.lost = 0

    def append(self, record):
        self.log.append(record)
        outcomes, self.holder_position = self.log.read_into(
            self.holder, self.holder_position
        )
        return outcomes[-1]

    def change(self, number):
        account = Account(name=f"account-{number}")
        base = self.holder.current.revision
        return self.append(make_change(f"change-{number}", base, account))

    def read(self):
        _, self.position = self.log.read_into(self.process, self.position)

    def relay(self):
        records = self.holder.records_after(self.process.current.through)
        return self.process.merge_relay(records[self.lost :])


@pytest.fixture
def world():
    return World()


@given(parsers.parse("operators made {count:d} accepted changes"))
def _(world, count):
    for number in range(count):
        assert world.change(number).accepted


@given("a process that has read the log so far")
def _(world):
    world.read()


@given("a process that never read the log")
def _(world):
    assert world.process.current.revision == 0


@given("a process that starts behind the log's retention")
def _(world):
    world.log.first_retained = len(world.log.records)


@given("a process that was cut off for longer than retention")
def _(world):
    world.read()
    world.change(90)
    world.change(91)
    world.log.first_retained = len(world.log.records)


@given("a process that was cut off longer than a peer's memory")
def _(world):
    world.read()
    for number in range(200, 400):
        world.change(number)


@given("a process that could not read one record")
def _(world):
    world.read()
    world.change(90)
    world.process.apply(world.position, UnreadableRecord(reason="newer"))
    world.position += 1
    world.change(91)
    world.read()
    assert world.process.current.revision == 4


@given("a process that missed one relayed record")
def _(world):
    world.read()
    world.change(90)
    world.lost = 1


@when('operators drain failure domain "bench-a"')
def _(world):
    change = make_drain_change("drain", world.holder.current, "bench-a")
    assert world.append(change).accepted


@when("a change based on revision 0 is appended")
def _(world):
    assert not world.append(make_change("stale", 0, Account(name="stale"))).accepted


@when("the process reads the log")
def _(world):
    world.read()


@when("the process reads the log with a snapshot")
def _(world):
    world.append(world.holder.make_snapshot())
    world.read()


@when("the process hears from a peer")
def _(world):
    assert world.relay().missing_after is None


@when("the process asks again")
def _(world):
    before = world.process.current
    assert world.relay().missing_after == before.through
    assert world.process.current == before
    world.lost = 0
    assert world.relay().missing_after is None


@when(parsers.parse("{late} arrives late"))
def _(world, late):
    old = ConfigurationFold()
    world.log.read_into(old, 0, limit=2)
    snapshot = old.make_snapshot()
    if late == "an older snapshot in the log":
        world.append(snapshot)
    elif late == "an older snapshot from a peer":
        record = RelayedRecord(snapshot.through, encode_record(snapshot))
        assert world.process.merge_relay((record,)).applied == 0
    elif late == "an old change from a peer":
        record = RelayedRecord(1, world.log.records[1])
        assert world.process.merge_relay((record,)).applied == 0
    elif late == "a doubled change in the log":
        assert world.append(decode_record(world.log.records[1])).duplicate
    else:
        items = snapshot.items
        other = world.holder.make_snapshot().model_copy(update={"items": items})
        world.append(other)
        assert world.holder.snapshot_conflicts == 1
    world.read()


@then("the process stands at the newest revision")
def _(world):
    assert world.process.current == world.holder.current
    assert world.process.current.revision >= 4


@then('failure domain "bench-a" gets no new work from it')
def _(world):
    assert world.process.current.is_drained("bench-a")


@then("the change waits and the process stands at revision 0")
def _(world):
    assert world.process.has_gap
    assert world.process.current.revision == 0


def test_a_restarted_process_gives_the_same_answer_to_a_repeated_change():
    world = World()
    world.change(0)
    world.change(1)
    repeated = decode_record(world.log.records[0])
    world.append(world.holder.make_snapshot())
    world.log.first_retained = 2
    outcome = world.append(repeated)
    restarted = make_reader(world.log)
    assert outcome.duplicate and outcome.revision == 1
    assert restarted.find_change("change-0") == 1
