"""Steps of ``withdrawal.feature``."""

import random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import ErrorCode
from buckthornstile.configuration import (
    Account,
    ApiKey,
    ChangeError,
    Drain,
    ItemReference,
    OpenRoute,
    Rule,
    apply_change,
    generate_api_key,
    hash_api_key,
)
from buckthornstile.configuration.tests.memory_store import (
    MemoryStore,
    TopicReader,
    make_change,
)

scenarios("withdrawal.feature")


class ScenarioContext:
    def __init__(self):
        self.store = MemoryStore()
        self.reader = TopicReader(self.store)
        self.new_key = generate_api_key(
            "mill-7", token_bytes=random.Random(7).randbytes
        )
        self.error = None
        self.before = None

    @property
    def current(self):
        return self.reader.state.current

    def submit_change(self, *items, remove=(), change_id=None):
        """Submits a change if it is valid, and otherwise keeps the error."""
        self.reader.read()
        self.before = self.current
        revision = self.before.revision
        change = make_change(
            change_id or f"c{revision}", revision, *items, remove=remove
        )
        try:
            apply_change(self.before, change, offset=0)
        except ChangeError as error:
            self.error = error
            return
        assert self.store.append_change(change, at=self.reader.offset)
        self.reader.read()


@pytest.fixture
def context():
    return ScenarioContext()


@given('client account "mill-7" has a key')
def _(context):
    accounts = (Account(name="mill-7"), Account(name="mill-8"))
    context.submit_change(*accounts, context.new_key.item)
    assert context.error is None
    found = context.current.find_api_key(hash_api_key(context.new_key.clear))
    assert not found.withdrawn


@when("operators withdraw the key")
def _(context):
    context.submit_change(context.new_key.item.model_copy(update={"withdrawn": True}))
    assert context.error is None


@when(parsers.parse("operators try to {attempt}"))
def _(context, attempt):
    key = context.new_key.item
    digest = hash_api_key("another")
    rule = Rule(name="r1", path="/v1", service="s")
    attempts = {
        "restore the key": [key],
        "add the key under another name": [key.model_copy(update={"name": "k2"})],
        "move the key to another account": [
            key.model_copy(update={"account": "mill-8"})
        ],
        "replace the key's digest": [
            ApiKey(name=key.name, account="mill-7", digest=digest)
        ],
        "add a rule for an unknown account": [
            rule.model_copy(update={"account": "nobody"})
        ],
        "add an open route for an unknown account": [
            OpenRoute(name="/v1/hours", service="s", account="nobody")
        ],
        "add two rules for the same callers": [
            rule,
            rule.model_copy(update={"name": "r2", "path": "/v1/"}),
        ],
        "put the same item twice": [Drain(name="bench-a"), Drain(name="bench-a")],
        "add an account with the reserved name": [Account(name="*")],
        "add a reason that is too long": [Drain(name="bench-a", reason="x" * 10_000)],
    }
    removals = {
        "remove the key": ItemReference(kind="key", name=key.name),
        "remove the account of a key that is not withdrawn": ItemReference(
            kind="account", name="mill-7"
        ),
        "remove an item that does not exist": ItemReference(
            kind="drain", name="bench-a"
        ),
    }
    if attempt in removals:
        context.submit_change(remove=(removals[attempt],))
    elif attempt == "use a change id that is too long":
        context.submit_change(change_id="x" * 10_000)
    else:
        context.submit_change(*attempts[attempt])


@then("the change is rejected as invalid")
def _(context):
    assert context.error.code is ErrorCode.CONFIGURATION_INVALID
    assert context.error.message


@then("the key is still withdrawn")
def _(context):
    assert context.current.find_api_key(context.new_key.item.digest).withdrawn


@then("the configuration is unchanged")
def _(context):
    assert context.current is context.before


@then("every reader treats the key as withdrawn")
def _(context):
    new_reader = TopicReader(context.store)
    new_reader.read()
    for state in (context.reader.state, new_reader.state):
        assert state.current.find_api_key(context.new_key.item.digest).withdrawn


def test_clear_text_is_not_in_repr_or_in_the_stored_item():
    key = ScenarioContext().new_key
    assert key.clear not in repr(key)
    assert key.clear not in key.item.model_dump_json()


def test_withdrawn_key_could_be_restored_without_the_check(monkeypatch):
    name = "buckthornstile.configuration._change._check_key"
    monkeypatch.setattr(name, lambda configuration, key: None)
    context = ScenarioContext()
    key = context.new_key.item
    context.submit_change(Account(name="mill-7"), key)
    context.submit_change(key.model_copy(update={"withdrawn": True}))
    context.submit_change(key)
    assert not context.current.find_api_key(key.digest).withdrawn
