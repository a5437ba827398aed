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
    Reader,
    make_change,
)

scenarios("withdrawal.feature")


class World:
    def __init__(self):
        self.store = MemoryStore()
        self.reader = Reader(self.store)
        self.new_key = generate_api_key(
            "mill-7", token_bytes=random.Random(7).randbytes
        )
        self.error = None
        self.before = None

    @property
    def current(self):
        return self.reader.fold.current

    def apply(self, *items, remove=(), change_id=None):
        """Submits a change, which is checked before the store sees it."""
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
        assert self.store.append(change, at=self.reader.position)
        self.reader.read()


@pytest.fixture
def world():
    return World()


@given('client account "mill-7" has a key')
def _(world):
    accounts = (Account(name="mill-7"), Account(name="mill-8"))
    world.apply(*accounts, world.new_key.item)
    assert world.error is None
    found = world.current.find_api_key(hash_api_key(world.new_key.clear))
    assert not found.withdrawn


@when("operators withdraw the key")
def _(world):
    world.apply(world.new_key.item.model_copy(update={"withdrawn": True}))
    assert world.error is None


@when(parsers.parse("operators try to {attempt}"))
def _(world, attempt):
    key = world.new_key.item
    digest = hash_api_key("another")
    rule = Rule(name="r1", path="/v1", service="s")
    attempts = {
        "put the key in force again": [key],
        "add it under another name": [key.model_copy(update={"name": "k2"})],
        "move it to another account": [key.model_copy(update={"account": "mill-8"})],
        "replace its digest": [ApiKey(name=key.name, account="mill-7", digest=digest)],
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
        "put an item twice": [Drain(name="bench-a"), Drain(name="bench-a")],
        "add an account named for any account": [Account(name="*")],
        "add an endless reason": [Drain(name="bench-a", reason="x" * 10_000)],
    }
    removals = {
        "remove it": ItemReference(kind="key", name=key.name),
        "remove the account of a working key": ItemReference(
            kind="account", name="mill-7"
        ),
        "remove what does not exist": ItemReference(kind="drain", name="bench-a"),
    }
    if attempt in removals:
        world.apply(remove=(removals[attempt],))
    elif attempt == "use an endless change id":
        world.apply(change_id="x" * 10_000)
    else:
        world.apply(*attempts[attempt])


@then("the change is rejected as invalid")
def _(world):
    assert world.error.code is ErrorCode.CONFIGURATION_INVALID
    assert world.error.message


@then("the key is still withdrawn")
def _(world):
    assert world.current.find_api_key(world.new_key.item.digest).withdrawn


@then("the configuration is as before")
def _(world):
    assert world.current is world.before


@then("the key is withdrawn on every reader")
def _(world):
    newcomer = Reader(world.store)
    newcomer.read()
    for fold in (world.reader.fold, newcomer.fold):
        assert fold.current.find_api_key(world.new_key.item.digest).withdrawn


def test_a_new_key_shows_its_clear_text_only_when_asked():
    key = World().new_key
    assert key.clear not in repr(key)
    assert key.clear not in key.item.model_dump_json()


def test_without_its_check_a_withdrawn_key_would_come_back(monkeypatch):
    name = "buckthornstile.configuration._change._check_key"
    monkeypatch.setattr(name, lambda configuration, key: None)
    world = World()
    key = world.new_key.item
    world.apply(Account(name="mill-7"), key)
    world.apply(key.model_copy(update={"withdrawn": True}))
    world.apply(key)
    assert not world.current.find_api_key(key.digest).withdrawn
