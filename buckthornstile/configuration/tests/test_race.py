"""Steps of ``race.feature``, and the rules' order of precedence."""

import pytest
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import ErrorCode
from buckthornstile.configuration import make_configuration
from buckthornstile.configuration.tests.logs import (
    MemoryLog,
    make_change,
    make_reader,
)
from buckthornstile.records import Account, Rule

scenarios("race.feature")


@pytest.fixture
def log():
    return MemoryLog()


@pytest.fixture
def outcomes():
    return []


@given("two operators who read the same revision")
def _(log):
    log.append(make_change("c0", 0, Account(name="mill-7")))


@when("both append a change")
def _(log, outcomes):
    for name in ("first", "second"):
        log.append(make_change(name, 1, Account(name=name)))
    outcomes += log.read_into(make_reader(MemoryLog()), 0)[0][1:]


@when(parsers.parse("the first appends the same change {count:d} times"))
def _(log, outcomes, count):
    for _ in range(count):
        log.append(make_change("first", 1, Account(name="first")))
    outcomes += log.read_into(make_reader(MemoryLog()), 0)[0][1:]


@when("the first appends a change and repeats it with a newer base")
def _(log, outcomes):
    for base in (1, 2):
        log.append(make_change("first", base, Account(name="first")))
    outcomes += log.read_into(make_reader(MemoryLog()), 0)[0][1:]


@then("the first is accepted and the second is told of the conflict")
def _(outcomes):
    assert [outcome.accepted for outcome in outcomes] == [True, False]
    assert outcomes[1].code is ErrorCode.CONFIGURATION_CONFLICT


@then("every reader gives the same revision")
def _(log):
    assert make_reader(log).current == make_reader(log).current
    assert make_reader(log).current.revision == 2


@then("one revision is made and each further append says it was accepted before")
def _(log, outcomes):
    assert [outcome.duplicate for outcome in outcomes[1:]] == [True] * (
        len(outcomes) - 1
    )
    assert {outcome.revision for outcome in outcomes} == {2}
    assert make_reader(log).current.revision == 2


PATHS = st.lists(st.sampled_from(["v1", "v10", "a", ""]), max_size=4).map(
    lambda parts: "/" + "/".join(parts)
)
CALLERS = st.tuples(st.sampled_from(["*", "m", "n"]), st.sampled_from(["*", "t", "u"]))


@settings(max_examples=200, derandomize=True, deadline=None)
@given_values(
    st.dictionaries(st.tuples(PATHS, CALLERS), st.just("s"), max_size=12),
    PATHS,
    CALLERS,
)
def test_the_most_specific_rule_wins(rules, path, caller):
    unique = {(p.rstrip("/"), c): (p, c) for p, c in rules}
    items = [
        Rule(name=f"r{i}", path=p, account=c[0], trainer=c[1], service="s")
        for i, (p, c) in enumerate(unique.values())
    ]
    segments = path.rstrip("/").split("/")

    def rank(rule):
        prefix = rule.path.rstrip("/").split("/")
        holds = (
            segments[: len(prefix)] == prefix
            and rule.account in ("*", caller[0])
            and rule.trainer in ("*", caller[1])
        )
        order = (len(prefix), rule.account != "*", rule.trainer != "*")
        return order if holds else None

    expected = max((r for r in items if rank(r)), key=rank, default=None)
    assert make_configuration(items).find_rule(path, *caller) == expected
