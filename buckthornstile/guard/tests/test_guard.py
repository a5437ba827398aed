"""At-most-once under retries, seals, restarts and a full table."""

import dataclasses

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import BuckthornstileError, Verdict
from buckthornstile.guard import (
    CallName,
    GuardAction,
    RequestTable,
)
from buckthornstile.guard.tests.requests import ANSWER, BASE

scenarios("at_most_once.feature")


class Home:
    """A home agent with its table, which counts what its upstream ran."""

    def __init__(self, started_at=0.0, **options):
        self.table = RequestTable(started_at, **options)
        self.runs = 0

    def send(self, dispatch, now, *, start=True, finish=True):
        decision = self.table.admit(dispatch, now)
        if decision.action is GuardAction.REPLAY:
            return "the first answer"
        if start and self.table.start(dispatch.request_id, now):
            self.runs += 1
            if finish:
                self.table.finish(dispatch.request_id, now, ANSWER)
        return "a run"


def retry(home, now, **changes):
    dispatch = dataclasses.replace(BASE, request_id="e2/0", attempt=2, **changes)
    try:
        return home.send(dispatch, now)
    except BuckthornstileError as error:
        return error.verdict.value.replace("_", " ")


def bring_to(home, state, now):
    if state == "never received":
        return
    started = state not in ("queued", "refused unseen")
    home.send(BASE, now, start=started, finish=state.startswith("finished"))
    if state == "failed midway":
        home.table.fail(BASE.request_id, Verdict.MAY_HAVE_RUN, now)
    if state == "refused unseen":
        home.table.start(BASE.request_id, now)
        home.table.fail(BASE.request_id, Verdict.NOT_RUN, now)
    if state == "finished, then dropped":
        home.table.max_answer_bytes = 0
        home.table._drop_answers()


@given(
    parsers.parse("the first attempt at the home agent was {state}"),
    target_fixture="home",
)
def first_attempt(state):
    home = Home()
    bring_to(home, state, 100.0)
    return home


@when(
    parsers.parse(
        "the caller retries {age:d} seconds later through another entry whose view "
        "has been stable for {stable:d} seconds"
    ),
    target_fixture="answer",
)
def retries(home, age, stable):
    answer = retry(home, 100.0 + age, first_attempt_age=age, home_stable_for=stable)
    # What was queued runs in the end, whatever the retry was told.
    if home.table.start(BASE.request_id, 100.0 + age):
        home.runs += 1
    return answer


@then(parsers.parse("the order has run {runs:d} time(s) in all"))
def check_runs(home, runs):
    assert home.runs == runs


@then(parsers.parse("the retry is answered with {expected}"))
def check_answer(answer, expected):
    assert answer == expected


@given(parsers.parse("a request that is {state}"), target_fixture="home")
def one_request(state):
    home = Home()
    bring_to(home, state, 100.0)
    return home


@when("the entry seals it", target_fixture="verdict")
def seal(home):
    return home.table.seal(BASE.request_id, 101.0)


@then(parsers.parse("the verdict is {expected}"))
def check_verdict(verdict, expected):
    assert verdict.value == expected


@then("it never starts afterwards if the verdict was not_run")
def check_sealed(home, verdict):
    if verdict is not Verdict.NOT_RUN:
        return
    assert not home.table.start(BASE.request_id, 102.0)
    try:
        home.send(BASE, 102.0)
    except BuckthornstileError as error:
        assert error.verdict is Verdict.NOT_RUN
    assert home.runs == 0


@given("the order ran at the home agent", target_fixture="home")
def order_ran():
    home = Home()
    bring_to(home, "finished", 100.0)
    return home


@when(
    "the home agent restarts and the caller retries 5 seconds later",
    target_fixture="answer",
)
def restart(home):
    home.table = RequestTable(started_at=102.0)
    return retry(home, 105.0, first_attempt_age=5.0)


@given(
    "the order ran at the deputy agent while the home agent could not be reached",
    target_fixture="deputy",
)
def order_ran_at_deputy():
    deputy = Home()
    bring_to(deputy, "finished", 100.0)
    return deputy


@when(
    "the deputy restarts and the caller retries at the home agent 5 seconds later",
    target_fixture="answer",
)
def restart_deputy(deputy):
    deputy.table = RequestTable(started_at=102.0)
    call = CallName(BASE.account, BASE.idempotency_key)
    verdict = deputy.table.seal_call(call, 105.0, first_attempt_age=5.0)
    if verdict is not Verdict.NOT_RUN:
        return verdict.value.replace("_", " ")
    return retry(Home(), 105.0, first_attempt_age=5.0)


@pytest.fixture
def home(deputy):
    return deputy


def test_without_the_memory_check_a_restart_would_run_the_order_twice():
    home = Home()
    bring_to(home, "finished", 100.0)
    # The naive table claims to remember what came before it started.
    home.table = RequestTable(started_at=float("-inf"))
    assert retry(home, 105.0, first_attempt_age=5.0) == "a run"
    assert home.runs == 2
