"""Steps of ``in_force.feature``."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.configuration import Account, Drain, Rule, encode_change
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    Reader,
    make_change,
    pack,
    submit,
)

scenarios("in_force.feature")


class World:
    def __init__(self):
        self.store = MemoryStore()
        self.reader = Reader(self.store)
        self.changes = []

    def submit(self, *items):
        change = make_change(f"c{len(self.changes)}", len(self.changes), *items)
        self.changes.append(change)
        submit(self.store, change)


@pytest.fixture
def world():
    return World()


@given("operators made 4 accepted changes")
def _(world):
    for number in range(4):
        world.submit(Account(name=f"mill-{number}"))


@given(parsers.parse("a process that {situation}"))
def _(world, situation):
    if situation == "starts after history was dropped":
        world.store.partition.drop_history()
    elif situation != "never read the store":
        world.reader.read()
    if situation == "was away while history was dropped":
        world.submit(Account(name="mill-9"))
        world.store.partition.drop_history()
    if situation == "read pages between which a change was made":
        world.reader = Reader(world.store)
        records, end = world.store.read_pages()
        world.submit(Account(name="mill-0", weight=7.0))
        later = dict((key, one) for *one, key in map(rotate, records))
        for offset, key, value in world.store.read_pages()[0]:
            if key.startswith("item/"):
                later[key] = [offset, value]
        pages = [(offset, key, value) for key, (offset, value) in later.items()]
        world.reader.take_pages((pages, end))


def rotate(record):
    offset, key, value = record
    return offset, value, key


@when('operators drain failure domain "bench-a"')
def _(world):
    world.submit(Drain(name="bench-a"))


@when("the process reads the store")
def _(world):
    world.reader.read()


@when(parsers.parse("{late} arrives late"))
def _(world, late):
    records = {
        "an old change": encode_change(world.changes[1]),
        "the newest change again": encode_change(world.changes[-1]),
    }.get(late)
    if records is None:
        with pytest.raises(ValueError, match="other/x"):
            world.reader.fold.apply(99, "other/x", b"{}")
    else:
        world.store.partition.append([pack(one.key, one.value) for one in records])
    world.reader.read()


@when("the process reads half of a change that adds a rule and a drain")
def _(world):
    world.submit(Rule(name="r", path="/v1", service="s"), Drain(name="bench-a"))
    world.reader.read(limit=2)


@then("the process stands at the newest revision")
def _(world):
    assert world.reader.fold.current.revision == len(world.changes)


@then(parsers.parse("the process stands at revision {revision:d}"))
def _(world, revision):
    assert world.reader.fold.current.revision == revision


@then(parsers.parse('failure domain "bench-a" gets {what} from it'))
def _(world, what):
    is_drained = world.reader.fold.current.is_drained("bench-a")
    assert is_drained is (what == "no new work")
