"""Steps of the callers' promise, against entries that send raw bytes."""

import asyncio
import contextlib
import random

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from buckthornstile.base import BuckthornstileError
from buckthornstile.client import (
    CallerClient,
    EventStreamParser,
    RetryPolicy,
    RetryState,
)
from buckthornstile.client.tests import fake_entry

scenarios("caller.feature")

WRONG = "00" * 16
ERROR = (
    b'event: error\ndata: {"error": {"code": "key.withdrawn", '
    b'"verdict": "may_have_run"}}\n\n'
)
ANSWERS = {
    "answers whole": fake_entry.make_whole(200, b"done"),
    'refuses with "not run"': fake_entry.make_refusal(
        429, "load.queue_full", "not_run"
    ),
    'refuses with "may have run"': fake_entry.make_refusal(
        429, "load.queue_full", "may_have_run"
    ),
    "refuses the key": fake_entry.make_refusal(401, "key.withdrawn", "not_run"),
    "closes without an answer": b"",
    "cuts the answer short": fake_entry.make_whole(200, b"do", length=4),
    "answers in chunks": fake_entry.make_chunked(b"4\r\ndone\r\n0\r\n\r\n"),
    "cuts an answer in chunks": fake_entry.make_chunked(b"4\r\ndone\r\n"),
    "declares no length": fake_entry.make_stream(b"done"),
    "ends the stream without a word": fake_entry.make_stream(fake_entry.EVENT),
    "ends the stream with a wrong digest": fake_entry.make_stream(
        fake_entry.EVENT, fake_entry.make_end(digest=WRONG)
    ),
    "ends the stream with a wrong length": fake_entry.make_stream(
        fake_entry.EVENT, fake_entry.make_end(length=3)
    ),
    "ends the stream with an error": fake_entry.make_stream(fake_entry.EVENT, ERROR),
    "goes on after the end": fake_entry.make_stream(
        fake_entry.EVENT, fake_entry.make_end(), fake_entry.EVENT
    ),
    "ends the stream well": fake_entry.make_stream(
        fake_entry.EVENT, fake_entry.make_end()
    ),
}


class FirstEntry(random.Random):
    def randrange(self, *_):
        return 0


async def run(names, use):
    entries = [fake_entry.FakeEntry(lambda *_, n=name: ANSWERS[n]) for name in names]
    async with contextlib.AsyncExitStack() as stack:
        urls = [(await stack.enter_async_context(entry)).url for entry in entries]
        if names[0] == "is not there":
            urls[0] = "http://127.0.0.1:1"
        client = CallerClient(
            urls,
            "secret",
            generator=FirstEntry(1),
            policy=RetryPolicy(first_delay=0.001),
        )
        outcome = await use(client)
    return outcome, [request for entry in entries for request in entry.requests]


@pytest.fixture
def names():
    return []


@given(parsers.parse("an entry that {fault}"))
@given(parsers.parse("another entry that {fault}"))
def add_entry(names, fault):
    names.append(fault)


@when(parsers.parse("a caller makes {kind} call"), target_fixture="seen")
def call(names, kind):
    async def use(client):
        events = []
        try:
            if kind == "a streamed":
                async for event in client.stream("/v1/x", b"{}"):
                    events.append(event)
                return events, "the end"
            answer = await client.call(
                "/v1/x", b"{}", idempotent=kind == "an idempotent", timeout=10
            )
            assert answer.body == b"done"
            return events, "the whole answer"
        except BuckthornstileError as error:
            return events, f"{error.code.value} and {error.verdict.value}"

    return asyncio.run(run(names, use))


@then(parsers.parse("the stream gives one event and then {outcome}"))
def check_events(seen, outcome):
    assert seen[0] == ([b"one"], outcome)
    assert len(seen[1]) == 1


@then(parsers.parse("the caller gets {outcome}"))
def check_outcome(seen, outcome):
    assert seen[0] == ([], outcome)


@then(parsers.parse("{count:d} attempts arrived, all with one idempotency key"))
def check_attempts(seen, count):
    headers = [request[1] for request in seen[1]]
    assert len(headers) == count
    assert len({h["Idempotency-Key"] for h in headers}) == 1
    numbers = [int(h["X-Attempt"]) for h in headers]
    assert numbers == sorted(set(numbers))
    assert float(headers[-1]["X-Timeout"]) <= 10


def test_without_the_end_event_a_cut_stream_would_pass_for_whole(monkeypatch):
    monkeypatch.setattr(EventStreamParser, "finish", lambda self: None)
    seen = call(["ends the stream without a word"], "a streamed")
    assert seen[0] == ([b"one"], "the end")


def test_without_the_verdict_a_call_would_run_twice(monkeypatch):
    def repeat_always(self, error, now):
        return 0.0

    monkeypatch.setattr(RetryState, "get_retry_delay", repeat_always)
    names = ["closes without an answer", "answers whole"]
    assert len(call(names, "a non-idempotent")[1]) == 2


def test_the_verdict_of_a_call_is_the_worst_of_its_attempts():
    names = ['refuses with "may have run"', "refuses the key"]
    seen = call(names, "an idempotent")
    assert seen[0] == ([], "key.withdrawn and may_have_run")


def test_breaking_off_a_stream_logs_no_traceback(caplog):
    event = b"data: " + b"x" * 60_000 + b"\n\n"
    answer = fake_entry.make_stream(*[event] * 100)

    async def go():
        async with fake_entry.FakeEntry(lambda *_: answer) as entry:
            client = CallerClient([entry.url], "key")
            async with contextlib.aclosing(client.stream("/v1/completions")) as events:
                async for _ in events:
                    await asyncio.sleep(0.05)  # The buffer fills meanwhile.
                    break
            await asyncio.sleep(0.05)  # The connection closes meanwhile.

    asyncio.run(go())
    assert not caplog.records
