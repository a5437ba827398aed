"""Steps of ``race.feature``."""

import pytest
from pytest_bdd import given, scenarios, then, when

from buckthornstile.configuration import Account
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    Reader,
    make_change,
    submit,
)

scenarios("race.feature")


class World:
    def __init__(self):
        self.store = MemoryStore()
        submit(self.store, make_change("c0", 0, Account(name="mill-7")))
        self.operators = [Reader(self.store), Reader(self.store)]
        for operator in self.operators:
            operator.read()
        self.taken = []

    def append(self, number):
        operator = self.operators[number]
        revision = operator.fold.current.revision
        change = make_change(f"own-{number}", revision, Account(name=f"mill-{number}"))
        self.taken.append(self.store.append(change, at=operator.position))


@pytest.fixture
def world():
    return World()


@given("two operators who read the same revision")
def _(world):
    first, second = world.operators
    assert first.fold.current == second.fold.current


@when("both append a change")
def _(world):
    world.append(0)
    world.append(1)


@when("the first appends a change and its answer is lost")
def _(world):
    world.append(0)


@when("the first's append is carried out after the second's")
def _(world):
    world.append(1)
    world.append(0)


@then("the first is accepted and the second is told of the conflict")
def _(world):
    assert world.taken == [True, False]


@then("only the second's change is accepted")
def _(world):
    assert world.taken == [True, False]
    reader = Reader(world.store)
    reader.read()
    assert reader.fold.find_revision("own-1") == 2
    assert reader.fold.find_revision("own-0") is None


@then("the first finds its change in the store")
def _(world):
    world.operators[0].read()
    assert world.operators[0].fold.find_revision("own-0") == 2


@then("every reader gives the same revision")
def _(world):
    world.operators[0].read()
    world.operators[1].read()
    fresh = Reader(world.store)
    fresh.read()
    for operator in world.operators:
        assert operator.fold.current == fresh.fold.current
