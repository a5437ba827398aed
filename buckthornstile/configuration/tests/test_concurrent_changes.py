"""Steps of ``concurrent_changes.feature``."""

import pytest
from pytest_bdd import given, scenarios, then, when

from buckthornstile.configuration import Account
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    TopicReader,
    make_change,
    submit_change,
)

scenarios("concurrent_changes.feature")


class ScenarioContext:
    def __init__(self):
        self.store = MemoryStore()
        submit_change(self.store, make_change("c0", 0, Account(name="mill-7")))
        self.operators = [TopicReader(self.store), TopicReader(self.store)]
        for operator in self.operators:
            operator.read()
        self.accepted = []

    def append_change(self, number):
        operator = self.operators[number]
        revision = operator.state.current.revision
        change = make_change(
            f"change-{number}", revision, Account(name=f"mill-{number}")
        )
        self.accepted.append(self.store.append_change(change, at=operator.offset))


@pytest.fixture
def context():
    return ScenarioContext()


@given("two operators who have read the same revision")
def _(context):
    first, second = context.operators
    assert first.state.current == second.state.current


@when("both append a change")
def _(context):
    context.append_change(0)
    context.append_change(1)


@when("the first operator appends a change and the response is lost")
def _(context):
    context.append_change(0)


@when("the first operator's append is executed after the second's")
def _(context):
    context.append_change(1)
    context.append_change(0)


@then("the first change is accepted and the second is rejected as a conflict")
def _(context):
    assert context.accepted == [True, False]


@then("only the second operator's change is accepted")
def _(context):
    assert context.accepted == [True, False]
    reader = TopicReader(context.store)
    reader.read()
    assert reader.state.find_revision("change-1") == 2
    assert reader.state.find_revision("change-0") is None


@then("the first operator finds the change in the store")
def _(context):
    context.operators[0].read()
    assert context.operators[0].state.find_revision("change-0") == 2


@then("all readers have the same revision")
def _(context):
    context.operators[0].read()
    context.operators[1].read()
    new_reader = TopicReader(context.store)
    new_reader.read()
    for operator in context.operators:
        assert operator.state.current == new_reader.state.current
