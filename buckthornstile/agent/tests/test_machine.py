"""Every interleaving of faults at one agent, judged by what the others saw.

The invariants read only the fake upstream, the fake entries and the usage that
the agent would append.
"""

import asyncio
import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from buckthornstile.agent.tests.fakes import FakeEntry, World, settle
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Verdict,
    split_request_id,
)
from buckthornstile.wire import Answer, Cancel, Seal

LIMIT = 2
OUTCOMES = {
    "whole": None,
    "broken": BuckthornstileError(
        ErrorCode.ANSWER_TRUNCATED, verdict=Verdict.MAY_HAVE_RUN
    ),
    "garbage": b'{"text": 1',
    "surprise": RuntimeError("a fault of the adapter"),
}
KINDS = {
    "plain": {},
    "repeatable": {"idempotent": True},
    "keyed": {"idempotency_key": "order-1"},
    "sample": {"idempotent": True, "lot": "l", "attach": 1, "minimum_version": 5},
    "sample of a later attach": {
        "idempotent": True,
        "lot": "l",
        "attach": 2,
        "minimum_version": 5,
    },
}
PICK = st.integers(0, 1000)
AT_ONCE = st.booleans()
"""Whether the next event comes in the same turn, before any task has run."""


class AgentMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World(queue_length=4)
        self.agent = self.world.agent
        self.upstream = self.world.upstream
        self.loop.run_until_complete(self.world.start())
        self.entries = [FakeEntry(self.agent, f"entry-{n}") for n in (1, 2)]
        self.batch = []
        self.past = 0
        self.asked = {}
        self.withdrawn = set()
        self.drained = False
        self.attempts = 0

    def run(self, step, at_once=False):
        """Runs a step, with those that wait for the same turn, and what follows."""
        self.batch.append(step)
        if at_once:
            return
        steps, self.batch = self.batch, []

        async def work():
            for one in steps:
                one()
            await settle()

        self.loop.run_until_complete(work())

    def ask(self, entry, account, kind, timeout=60.0):
        options = dict(KINDS[kind])
        if kind == "keyed":
            self.attempts += 1
            options["attempt"] = self.attempts
        request_id = entry.ask(account, timeout=timeout, **options)
        self.asked[request_id] = (entry, kind)
        return request_id

    @rule(
        place=st.integers(0, 1),
        account=st.sampled_from(["mill", "yard"]),
        kind=st.sampled_from(sorted(KINDS)),
        timeout=st.sampled_from([1.0, 60.0]),
        at_once=AT_ONCE,
    )
    def ask_one(self, place, account, kind, timeout, at_once):
        self.run(lambda: self.ask(self.entries[place], account, kind, timeout), at_once)

    @rule(pick=PICK, outcome=st.sampled_from(sorted(OUTCOMES)), at_once=AT_ONCE)
    def end_call(self, pick, outcome, at_once):
        def end():
            waiting = [i for i, end in self.upstream.open.items() if not end.done()]
            if waiting:
                request_id = waiting[pick % len(waiting)]
                self.upstream.end(request_id, OUTCOMES[outcome])

        self.run(end, at_once)

    @rule(pick=PICK, at_once=AT_ONCE)
    def cancel(self, pick, at_once):
        def cancel():
            if self.asked:
                request_id = self.pick_recent(pick)
                entry = self.asked[request_id][0]
                if not entry.closed:
                    entry.tell(Cancel(request_id))

        self.run(cancel, at_once)

    @rule(pick=PICK, at_once=AT_ONCE)
    def seal(self, pick, at_once):
        def seal():
            if self.asked:
                self.entries[0].tell(Seal(self.pick_recent(pick)))

        self.run(seal, at_once)

    def pick_recent(self, pick):
        return list(self.asked)[-1 - pick % min(len(self.asked), 4)]

    @rule(at_once=AT_ONCE)
    def seal_key(self, at_once):
        question = Seal("question/0", "order-1", "mill", 1.0)
        self.run(lambda: self.entries[1].tell(question), at_once)

    @rule(place=st.integers(0, 1), at_once=AT_ONCE)
    def lose_connection(self, place, at_once):
        def lose():
            self.past += 1
            self.entries[place].lose()
            name = f"entry-{place + 1}-{self.past}"
            self.entries[place] = FakeEntry(self.agent, name)

        self.run(lose, at_once)

    @precondition(lambda self: "yard" not in self.withdrawn)
    @rule()
    def withdraw(self):
        self.withdrawn.add("yard")
        self.run(lambda: self.world.withdraw("yard"))
        for call in self.upstream.seen:
            key = self.find_account(call.request_id)
            assert key != "yard" or call.request_id not in self.upstream.open

    @rule(at_once=AT_ONCE)
    def drain_or_restore(self, at_once):
        restore = self.drained
        self.drained = not restore
        self.run(lambda: self.world.drain(restore=restore), at_once)

    @rule(refuses=st.booleans(), readable=st.booleans())
    def change_upstream(self, refuses, readable):
        self.upstream.refuses = refuses
        self.upstream.readable = readable

    @rule(seconds=st.sampled_from([0.1, 2.0, 30.0]))
    def pass_time(self, seconds):
        self.world.clock.now += seconds
        self.run(self.agent.scheduler.pump)

    @rule()
    def wake_from_pause(self):
        self.run(lambda: self.agent.scheduler.hold(0.5))
        seen = len(self.upstream.seen)
        self.run(lambda: self.ask(self.entries[0], "mill", "plain"))
        started = [c for c in self.upstream.seen[seen:] if self.is_last(c)]
        assert not started

    def is_last(self, call):
        return call.request_id == list(self.asked)[-1]

    def find_account(self, request_id):
        entry = self.asked[request_id][0]
        return entry.accounts[request_id]

    def list_ends(self):
        return {
            request_id: entry.list_ends(request_id)
            for request_id, (entry, _) in self.asked.items()
        }

    @invariant()
    def check_what_others_saw(self):
        seen = [call.request_id for call in self.upstream.seen]
        assert len(seen) == len(set(seen))
        assert len(self.upstream.open) <= LIMIT
        keyed = [i for i in seen if self.asked[i][1] == "keyed"]
        assert len({self.find_account(i) for i in keyed}) == len(keyed)
        for request_id, ends in self.list_ends().items():
            assert len(ends) <= 1
            for end in ends:
                self.check_end(request_id, end, seen)

    def check_end(self, request_id, end, seen):
        if not isinstance(end, Answer):
            assert end.verdict is not Verdict.NOT_RUN or request_id not in seen
            return
        made_by = json.loads(end.body)["text"]
        kind = self.asked[request_id][1]
        if made_by != request_id:
            assert kind == self.asked[made_by][1] or "sample" in kind
            assert kind != "plain" and kind != "repeatable"
            assert end.prompt_tokens == end.generated_tokens == 0
        assert request_id not in seen or made_by == request_id

    def teardown(self):
        try:
            self.finish_all()
        finally:
            self.close_loop()

    def finish_all(self):
        self.upstream.refuses, self.upstream.readable = False, True
        self.world.clock.now += 1.0
        if self.drained:
            self.run(lambda: self.world.drain(restore=True))
        for _ in range(len(self.asked) + 1):
            self.run(self.agent.scheduler.pump)
            for request_id, ending in list(self.upstream.open.items()):
                if not ending.done():
                    self.run(lambda one=request_id: self.upstream.end(one))
        self.check_what_others_saw()
        for request_id, ends in self.list_ends().items():
            if not self.asked[request_id][0].closed:
                assert len(ends) == 1, f"{request_id} was never answered"
        self.check_usage()
        probes = [self.ask_probe() for _ in range(self.agent.limit.limit)]
        assert set(probes) == set(self.upstream.open), "capacity has leaked"

    def close_loop(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(lambda: None)
        self.loop.close()

    def ask_probe(self):
        probe = []
        self.run(lambda: probe.append(self.ask(self.entries[0], "mill", "plain")))
        return probe[0]

    def check_usage(self):
        counted = set()
        now = self.world.clock.now
        ledger = self.agent.scheduler.ledger
        for incarnation in {split_request_id(i)[0] for i in self.asked}:
            now += 10.0
            recovery = ledger.recover(now, [incarnation])
            while recovery is not None:
                for request in recovery.requests:
                    counted.add(f"{incarnation}/{request.counter}")
                ledger.on_recovered(recovery)
                recovery = ledger.recover(now, [incarnation])
        answered = {
            request_id
            for request_id, ends in self.list_ends().items()
            if ends and isinstance(ends[0], Answer)
        }
        seen = {call.request_id for call in self.upstream.seen}
        assert answered & seen <= counted <= set(self.upstream.whole)
        assert len(ledger) == 0, "a request that has ended is kept as open"


TestAgentMachine = AgentMachine.TestCase
TestAgentMachine.settings = settings(
    max_examples=80, stateful_step_count=25, deadline=None, derandomize=True
)
