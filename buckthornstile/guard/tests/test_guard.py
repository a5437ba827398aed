"""At-most-once under retries, seals, restarts and a full table."""

import dataclasses

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, rule
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import BuckthornstileError, RequestClass, Verdict
from buckthornstile.guard import (
    CallName,
    GuardAction,
    KeptAnswer,
    RequestState,
    RequestTable,
)
from buckthornstile.wire import Dispatch

scenarios("at_most_once.feature")

BASE = Dispatch(
    "e1/0",
    "mill",
    "k",
    0,
    RequestClass.WAITED,
    "shop-desk",
    "POST",
    "/orders",
    idempotency_key="order-7",
    home_stable_for=100.0,
)
ANSWER = KeptAnswer(200, "application/json", b"{}")


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


class GuardMachine(RuleBasedStateMachine):
    """Two agents that may hold a call, many entries, restarts, small tables."""

    attempts = Bundle("attempts")

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.counter = 0
        self.homes = [self.make_home(), self.make_home()]
        self.first_sent = None
        self.runs = 0
        self.not_run = set()

    def make_home(self):
        return RequestTable(started_at=self.now, max_entries=6, memory_seconds=60)

    @rule(seconds=st.sampled_from([0.1, 5.0, 30.0, 70.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(target=attempts, home=st.integers(0, 1))
    def send_first(self, home):
        if self.first_sent is not None:
            return None
        self.first_sent = self.now
        return self.dispatch(home, 1)

    @rule(target=attempts, home=st.integers(0, 1))
    def send_retry(self, home):
        if self.first_sent is None:
            return None
        other = self.homes[1 - home]
        call = CallName(BASE.account, BASE.idempotency_key)
        age = self.now - self.first_sent
        sealed = other.seal_call(call, self.now, first_attempt_age=age)
        if sealed is not Verdict.NOT_RUN:
            return None
        return self.dispatch(home, 2)

    def dispatch(self, home, attempt):
        self.counter += 1
        dispatch = dataclasses.replace(
            BASE,
            request_id=f"e1/{self.counter}",
            attempt=attempt,
            first_attempt_age=self.now - self.first_sent,
            home_stable_for=1e9,
        )
        try:
            self.homes[home].admit(dispatch, self.now)
        except BuckthornstileError as error:
            if error.verdict is Verdict.NOT_RUN:
                self.not_run.add((home, dispatch.request_id))
            return None
        return home, dispatch.request_id

    @rule(attempt=attempts)
    def start(self, attempt):
        if attempt is None:
            return
        home, request_id = attempt
        if self.homes[home].start(request_id, self.now):
            assert attempt not in self.not_run
            self.runs += 1
        assert self.runs <= 1

    @rule(attempt=attempts)
    def finish(self, attempt):
        if attempt is None:
            return
        home, request_id = attempt
        if self.homes[home].get_state(request_id) is RequestState.STARTED:
            self.homes[home].finish(request_id, self.now, ANSWER)

    @rule(attempt=attempts)
    def seal(self, attempt):
        if attempt is None:
            return
        home, request_id = attempt
        if self.homes[home].seal(request_id, self.now) is Verdict.NOT_RUN:
            self.not_run.add(attempt)

    @rule(home=st.integers(0, 1), count=st.integers(1, 8))
    def fill(self, home, count):
        for _ in range(count):
            self.counter += 1
            self.homes[home].seal(f"e9/{self.counter}", self.now)

    @rule(home=st.integers(0, 1))
    def restart(self, home):
        self.homes[home] = self.make_home()


GuardMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
TestGuardMachine = GuardMachine.TestCase
