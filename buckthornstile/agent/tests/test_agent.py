"""One agent's promises, one scenario each."""

import asyncio

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.agent.tests.fakes import FakeEntry, World, make_body, settle
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    Verdict,
)
from buckthornstile.ports import EngineState
from buckthornstile.records import decode_record
from buckthornstile.wire import (
    AcknowledgeSamples,
    Answer,
    Cancel,
    ConfirmUsage,
    FinishedList,
    FinishedRequest,
    Seal,
    Sealed,
    Slot,
)

scenarios("honest_ends.feature")

SAMPLE = {"idempotent": True, "lot": "l", "attach": 1, "minimum_version": 5}
KINDS = {
    "plain": {},
    "repeatable": {"idempotent": True},
    "keyed": {"idempotency_key": "order-1"},
    "sample": SAMPLE,
}
BROKEN = BuckthornstileError(ErrorCode.ANSWER_TRUNCATED, verdict=Verdict.MAY_HAVE_RUN)


class Story:
    """A world on its own loop, two entries, and the request that it is about."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.agent = self.world.agent
        self.upstream = self.world.upstream
        self.one, self.two = (FakeEntry(self.agent, f"entry-{n}") for n in (1, 2))
        self.loop.run_until_complete(self.world.start())
        # Long enough for the request table to vouch for earlier attempts.
        self.world.clock.now += 100.0
        self.request = ""

    def run(self, *steps):
        """Runs steps in one turn, and then all that follows."""

        async def work():
            for step in steps:
                step()
            await settle()

        self.loop.run_until_complete(work())

    def ask(self, kind, entry=None, account="mill", **options):
        asked = []
        entry = entry or self.one
        options = {**KINDS[kind], **options}
        self.run(lambda: asked.append(entry.ask(account, **options)))
        return asked[0]

    def make_step(self, event):
        """Gives what an event does to the request."""
        world, agent = self.world, self.agent
        cancel = Cancel("entry-1-a/0")
        by_key = Seal("q/0", "order-1", "mill", 1.0)
        return {
            "its key is withdrawn": lambda: world.withdraw("mill"),
            "its failure domain is drained": world.drain,
            "the agent begins a planned stop": lambda: setattr(agent, "draining", True),
            "its caller gives it up": lambda: self.one.tell(
                Cancel(self.request or cancel.request_id)
            ),
            "its deadline passes": lambda: self.pass_time(61.0),
            "a retry seals it through another entry": lambda: self.two.tell(by_key),
            "a seal for it comes over another connection": lambda: self.two.tell(
                Seal(self.request)
            ),
            "the upstream refuses the connection": lambda: setattr(
                self.upstream, "refuses", True
            ),
            "the engine does not report its version": self.hide_state,
            "the engine no longer reports": lambda: (self.hide_state(), self.end()),
            "the engine serves older weights": lambda: None,
            "its trainer attaches again elsewhere": lambda: self.two.tell(
                FinishedRequest("l", 2)
            ),
            "its answer breaks off": lambda: self.end(BROKEN),
            "the adapter meets a surprise": lambda: self.end(RuntimeError("odd")),
            "the engine restarts under it": lambda: (self.restart(), self.end()),
        }[event.removesuffix(" in the same turn")]

    def hide_state(self):
        self.upstream.readable = False

    def restart(self):
        self.upstream.state = EngineState(Incarnation("life-2"), 5)

    def end(self, outcome=None):
        self.upstream.end(self.request, outcome)

    def pass_time(self, seconds):
        self.world.clock.now += seconds
        self.agent.scheduler.pump()

    def free_upstream(self):
        """Ends what runs, so that whatever still waits would start."""
        for _ in range(4):
            for request_id in list(self.upstream.open):
                self.run(lambda one=request_id: self.upstream.end(one))

    def list_seen(self):
        return [call.request_id for call in self.upstream.seen]

    def recover(self):
        """Gives the counters that the agent would bill for the first entry."""
        incarnation = self.one.peer.incarnation
        recovery = self.agent.scheduler.ledger.recover(0.0, [incarnation])
        return [r.counter for r in recovery.requests] if recovery else []


@pytest.fixture
def story():
    story = Story()
    yield story
    for task in asyncio.all_tasks(story.loop):
        task.cancel()
    story.run()
    story.loop.close()


@given(parsers.parse("an upstream that is {state}"))
def _(story, state):
    if state == "busy":
        for _ in range(2):
            story.ask("plain", story.two, "yard")


@when(parsers.parse("a {kind} request comes and {event}"))
def _(story, kind, event):
    step = story.make_step(event)
    if event.endswith("in the same turn"):
        story.request = f"{story.one.peer.incarnation}/0"
        story.run(lambda: story.one.ask("mill", **KINDS[kind]), step)
    elif len(story.upstream.open) < 2:
        story.run(step)
        minimum = 6 if "older" in event else 5
        options = {"minimum_version": minimum} if kind == "sample" else {}
        story.request = story.ask(kind, **options)
    else:
        story.request = story.ask(kind)
        story.run(step)


@when(parsers.parse("a {kind} request runs and {event}"))
def _(story, kind, event):
    story.request = story.ask(kind)
    assert story.request in story.upstream.open
    story.run(story.make_step(event))


@when(parsers.parse("a {kind} request is there and its entry is lost"))
def _(story, kind):
    story.request = story.ask(kind)
    story.run(story.one.lose)


@then(parsers.parse("the entry hears once that it has not run, because of {code}"))
def _(story, code):
    story.free_upstream()
    assert story.one.get_end(story.request) == (Verdict.NOT_RUN, ErrorCode(code))


@then(parsers.parse("the entry hears once that it may have run, because of {code}"))
def _(story, code):
    assert story.one.get_end(story.request) == (Verdict.MAY_HAVE_RUN, ErrorCode(code))
    story.free_upstream()
    assert len(story.one.list_ends(story.request)) == 1


@then("the upstream never sees it")
def _(story):
    assert story.request not in story.list_seen()
    assert len(story.agent.scheduler.ledger) <= 2
    assert story.recover() == []


@then("nothing is billed for it")
def _(story):
    assert len(story.agent.scheduler.ledger) == 0


@then("the request never reaches the upstream")
def _(story):
    story.free_upstream()
    assert story.request not in story.list_seen()


@then("the request is stopped")
def _(story):
    assert story.request not in story.upstream.open
    assert story.agent.scheduler.running_count == 0


@then("the request runs on, and a retry gets its answer")
def _(story):
    story.run(story.end)
    retry = story.ask(
        "keyed", story.two, attempt=2, first_attempt_age=1.0, home_stable_for=99.0
    )
    (answer,) = story.two.list_ends(retry)
    assert story.request in answer.body.decode()
    assert story.list_seen() == [story.request]
    assert story.recover() == [0]


@then("the request runs on, and is kept for the next entry")
def _(story):
    story.run(story.end)
    story.run(lambda: story.two.tell(FinishedRequest("l", 2)))
    (kept,) = [m for m in story.two.received if isinstance(m, FinishedList)]
    assert [sample.request_id for sample in kept.samples] == [story.request]
    story.run(lambda: story.two.tell(AcknowledgeSamples("l", (Slot(0, 0),))))
    assert len(story.agent.scheduler.finished) == 0


def test_a_slot_that_runs_for_a_lost_entry_answers_the_next_one_once(story):
    first = story.ask("sample")
    story.run(story.one.lose)
    second = story.ask("sample", story.two, attach=2)
    doubled = lambda: story.two.tell(  # noqa: E731
        story.agent.scheduler._open[second].dispatch
    )
    story.run(doubled)
    story.run(lambda: story.upstream.end(first))
    refusal, answer = story.two.list_ends(second)
    assert refusal.code is ErrorCode.SEALED
    assert isinstance(answer, Answer) and answer.replayed
    assert story.list_seen() == [first]
    assert story.recover() == [0]
    assert len(story.agent.scheduler.ledger) == 1


def test_a_late_request_after_its_seal_is_refused(story):
    late = f"{story.one.peer.incarnation}/0"
    story.run(lambda: story.two.tell(Seal(late)))
    assert story.two.received[-1] == Sealed(late, Verdict.NOT_RUN)
    assert story.ask("plain") == late
    assert story.one.get_end(late) == (Verdict.NOT_RUN, ErrorCode.SEALED)
    assert story.list_seen() == []


def test_a_full_queue_sheds_the_account_with_most_work(story):
    story.agent.scheduler.queue.maximum_items = 3
    large = [story.ask("plain", story.two, "yard") for _ in range(6)]
    refused = [i for i in large if story.two.list_ends(i)]
    assert refused == large[5:]
    small = story.ask("plain")
    assert story.two.get_end(large[4]) == (Verdict.NOT_RUN, ErrorCode.QUEUE_FULL)
    story.free_upstream()
    assert story.one.get_end(small)[0] is Verdict.RAN
    assert not {large[4], large[5]} & set(story.list_seen())


def test_nothing_starts_in_the_moments_after_a_pause(story):
    story.run(lambda: story.agent.scheduler.hold(0.5))
    request = story.ask("plain")
    assert story.list_seen() == []
    story.run(story.world.drain)
    story.run(lambda: story.pass_time(0.6))
    assert story.one.get_end(request) == (Verdict.NOT_RUN, ErrorCode.DRAINING)


def test_what_is_read_before_a_pause_is_noticed_does_not_start_either(story):
    story.agent.scheduler.note_tick(story.world.clock())
    story.world.clock.now += 10.0
    request = story.ask("plain")
    assert story.list_seen() == []
    story.run(story.world.drain)
    story.run(lambda: story.pass_time(0.6))
    assert story.one.get_end(request) == (Verdict.NOT_RUN, ErrorCode.DRAINING)


def test_usage_is_kept_until_its_entry_confirms_or_is_gone(story):
    for _ in range(3):
        story.ask("plain")
        story.free_upstream()
    story.run(lambda: story.one.tell(ConfirmUsage(story.one.peer.incarnation, 1)))
    assert story.recover() == [2]
    story.agent.scheduler.ledger.maximum_kept = 1
    request = story.ask("plain")
    assert story.one.get_end(request) == (Verdict.NOT_RUN, ErrorCode.QUEUE_FULL)


def test_a_finished_list_fits_into_a_frame(story):
    for index in range(6):
        story.request = story.ask("sample", slot_index=index, expected_tokens=1)
        body = make_body(story.request + "x" * (7 << 20))
        story.run(lambda body=body: story.end(body))
    story.run(lambda: story.two.tell(FinishedRequest("l", 2)))
    kept = story.two.received[-1]
    assert isinstance(kept, FinishedList)
    assert 0 < sum(len(sample.body) for sample in kept.samples) < 32 << 20


def test_an_entry_that_is_gone_is_billed_by_the_agent(story):
    request = story.ask("keyed")
    story.run(lambda: story.upstream.end(request))
    story.run(story.one.lose)
    recovery = story.agent.scheduler.ledger.recover(0.0, ["entry-1-a"])
    assert decode_record(recovery.model_dump_json().encode()) == recovery
    assert recovery.requests[0].line.generated_tokens == 20


def test_a_withdrawn_key_does_not_count_against_the_upstream(story):
    story.ask("plain")
    story.run(lambda: story.world.withdraw("mill"))
    others = [story.ask("plain", story.two, "yard") for _ in range(2)]
    assert set(others) == set(story.upstream.open)
