"""Steps of ``propagation.feature``."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.configuration import Account, Drain, Rule, encode_change
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    TopicReader,
    encode_record,
    make_change,
    submit_change,
)

scenarios("propagation.feature")


class ScenarioContext:
    def __init__(self):
        self.store = MemoryStore()
        self.reader = TopicReader(self.store)
        self.changes = []

    def submit_items(self, *items):
        change = make_change(f"c{len(self.changes)}", len(self.changes), *items)
        self.changes.append(change)
        submit_change(self.store, change)


@pytest.fixture
def context():
    return ScenarioContext()


@given("operators made 4 accepted changes")
def _(context):
    for number in range(4):
        context.submit_items(Account(name=f"mill-{number}"))


@given(parsers.parse("a process that {situation}"))
def _(context, situation):
    if situation == "starts after history was dropped":
        context.store.partition.drop_history()
    elif situation != "has never read the store":
        context.reader.read()
    if situation == "was disconnected while history was dropped":
        context.submit_items(Account(name="mill-9"))
        context.store.partition.drop_history()
    if situation == "read a snapshot during which a change was made":
        context.reader = TopicReader(context.store)
        records, end = context.store.read_latest()
        context.submit_items(Account(name="mill-0", weight=7.0))
        # The snapshot contains the changed item, but not yet the summary of its change.
        latest = dict((key, one) for *one, key in map(move_key_last, records))
        for offset, key, value in context.store.read_latest()[0]:
            if key.startswith("item/"):
                latest[key] = [offset, value]
        snapshot = [(offset, key, value) for key, (offset, value) in latest.items()]
        context.reader.apply_snapshot((snapshot, end))


def move_key_last(record):
    offset, key, value = record
    return offset, value, key


@when('operators drain failure domain "bench-a"')
def _(context):
    context.submit_items(Drain(name="bench-a"))


@when("the process reads the store")
def _(context):
    context.reader.read()


@when(parsers.parse("{description} arrives late"))
def _(context, description):
    records = {
        "an old change": encode_change(context.changes[1]),
        "the latest change again": encode_change(context.changes[-1]),
    }.get(description)
    if records is None:
        with pytest.raises(ValueError, match="other/x"):
            context.reader.state.apply(99, "other/x", b"{}")
    else:
        context.store.partition.append(
            [encode_record(record.key, record.value) for record in records]
        )
    context.reader.read()


@when("the process reads part of a change that adds a rule and a drain")
def _(context):
    context.submit_items(Rule(name="r", path="/v1", service="s"), Drain(name="bench-a"))
    context.reader.read(max_records=2)


@then("the process has the latest revision")
def _(context):
    assert context.reader.state.current.revision == len(context.changes)


@then(parsers.parse("the process has revision {revision:d}"))
def _(context, revision):
    assert context.reader.state.current.revision == revision


@then(parsers.parse('failure domain "bench-a" receives {requests} from it'))
def _(context, requests):
    is_drained = context.reader.state.current.is_drained("bench-a")
    assert is_drained is (requests == "no new requests")
