"""Interleaves attempts, retries, seals, restarts and full tables."""

import dataclasses

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, rule

from buckthornstile.base import BuckthornstileError, Verdict
from buckthornstile.guard import CallName, RequestState, RequestTable
from buckthornstile.guard.tests.requests import ANSWER, BASE


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
