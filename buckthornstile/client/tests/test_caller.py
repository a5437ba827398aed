"""Tests of CallerClient against entries that send raw bytes."""

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

WRONG_DIGEST = "00" * 16
ERROR_EVENT = (
    b'event: error\ndata: {"error": {"code": "key.withdrawn", '
    b'"verdict": "may_have_run"}}\n\n'
)
RESPONSES = {
    "returns a complete response": fake_entry.make_response(200, b"done"),
    "rejects the call with verdict not_run": fake_entry.make_error_response(
        429, "load.queue_full", "not_run"
    ),
    "rejects the call with verdict may_have_run": fake_entry.make_error_response(
        429, "load.queue_full", "may_have_run"
    ),
    "rejects the key": fake_entry.make_error_response(401, "key.withdrawn", "not_run"),
    "does not know the key": fake_entry.make_error_response(
        401, "key.unknown", "not_run"
    ),
    "closes without a response": b"",
    "truncates the response": fake_entry.make_response(200, b"do", content_length=4),
    "returns a chunked response": fake_entry.make_chunked_response(
        b"4\r\ndone\r\n0\r\n\r\n"
    ),
    "truncates a chunked response": fake_entry.make_chunked_response(b"4\r\ndone\r\n"),
    "declares no length": fake_entry.make_stream_response(b"done"),
    "ends the stream without an end event": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT
    ),
    "ends the stream with a wrong digest": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT, fake_entry.make_end_event(digest=WRONG_DIGEST)
    ),
    "ends the stream with a wrong length": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT, fake_entry.make_end_event(length=3)
    ),
    "ends the stream with an error": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT, ERROR_EVENT
    ),
    "continues the stream after an end event": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT, fake_entry.make_end_event(), fake_entry.SAMPLE_EVENT
    ),
    "ends the stream with an end event": fake_entry.make_stream_response(
        fake_entry.SAMPLE_EVENT, fake_entry.make_end_event()
    ),
}


class FirstEntryChooser(random.Random):
    """Generator with which a call starts at the first entry."""

    def randrange(self, *_):
        return 0


async def run_client(faults, use):
    entries = [
        fake_entry.FakeEntry(lambda *_, f=fault: RESPONSES[f]) for fault in faults
    ]
    async with contextlib.AsyncExitStack() as stack:
        urls = [(await stack.enter_async_context(entry)).url for entry in entries]
        if faults[0] == "is not running":
            urls[0] = "http://127.0.0.1:1"
        client = CallerClient(
            urls,
            "secret",
            generator=FirstEntryChooser(1),
            policy=RetryPolicy(first_delay=0.001),
        )
        outcome = await use(client)
    return outcome, [request for entry in entries for request in entry.requests]


@pytest.fixture
def faults():
    return []


@given(parsers.parse("an entry that {fault}"))
@given(parsers.parse("another entry that {fault}"))
def add_entry(faults, fault):
    faults.append(fault)


@when(parsers.parse("a caller makes {kind} call"), target_fixture="result")
def make_call(faults, kind):
    async def use(client):
        events = []
        try:
            if kind == "a streamed":
                async for event in client.stream("/v1/x", b"{}"):
                    events.append(event)
                return events, "no error"
            response = await client.call(
                "/v1/x", b"{}", idempotent=kind == "an idempotent", timeout=10
            )
            assert response.body == b"done"
            return events, "the complete response"
        except BuckthornstileError as error:
            return events, f"{error.code.value} and {error.verdict.value}"

    return asyncio.run(run_client(faults, use))


@then(parsers.parse("one event arrives and the stream ends with {outcome}"))
def check_events(result, outcome):
    assert result[0] == ([b"one"], outcome)
    assert len(result[1]) == 1


@then(parsers.parse("the caller receives {outcome}"))
def check_outcome(result, outcome):
    assert result[0] == ([], outcome)


@then(parsers.parse("{count:d} attempts arrived, all with the same idempotency key"))
def check_attempts(result, count):
    headers = [request[1] for request in result[1]]
    assert len(headers) == count
    assert len({h["Idempotency-Key"] for h in headers}) == 1
    numbers = [int(h["X-Attempt"]) for h in headers]
    assert numbers == sorted(set(numbers))
    assert float(headers[-1]["X-Timeout"]) <= 10


def test_truncated_stream_is_accepted_if_end_event_is_not_checked(monkeypatch):
    """Shows that only the check of the end event detects a truncated stream."""
    monkeypatch.setattr(EventStreamParser, "finish", lambda self: None)
    result = make_call(["ends the stream without an end event"], "a streamed")
    assert result[0] == ([b"one"], "no error")


def test_call_runs_twice_if_verdict_is_not_checked(monkeypatch):
    """Shows that only the check of the verdict prevents a retry after a lost call.

    The first entry closes the connection after it has read the request, so a retry
    of a non-idempotent call would run it a second time.
    """

    def retry_always(self, error, now):
        return 0.0

    monkeypatch.setattr(RetryState, "get_retry_delay", retry_always)
    faults = ["closes without a response", "returns a complete response"]
    assert len(make_call(faults, "a non-idempotent")[1]) == 2


def test_error_of_call_has_most_severe_verdict_of_its_attempts():
    """Guards against an error that reports not_run for a call that may have run.

    The first attempt may have run and the second is rejected before it runs.
    """
    faults = ["rejects the call with verdict may_have_run", "rejects the key"]
    result = make_call(faults, "an idempotent")
    assert result[0] == ([], "key.withdrawn and may_have_run")


def test_closing_unfinished_stream_logs_no_traceback(caplog):
    """Guards against a traceback of tornado in the log of a caller.

    The caller closes a stream of which the client has received only a part.
    """
    event = b"data: " + b"x" * 60_000 + b"\n\n"
    response = fake_entry.make_stream_response(*[event] * 100)

    async def close_after_first_event():
        async with fake_entry.FakeEntry(lambda *_: response) as entry:
            client = CallerClient([entry.url], "key")
            async with contextlib.aclosing(client.stream("/v1/completions")) as events:
                async for _ in events:
                    await asyncio.sleep(0.05)  # Lets the receive buffer fill.
                    break
            await asyncio.sleep(0.05)  # Lets the connection close.

    asyncio.run(close_after_first_event())
    assert not caplog.records


@pytest.mark.parametrize("is_streamed", [False, True])
def test_entry_that_is_behind_does_not_refuse_a_key_that_another_accepted(is_streamed):
    """Keys are never removed, so that its configuration must be the older one."""

    async def use(client):
        responses = ["ends the stream with an end event", "returns a complete response"]
        RESPONSES["changes"] = RESPONSES[responses[not is_streamed]]
        if is_streamed:
            first = [event async for event in client.stream("/v1/x", b"{}")]
            assert first == [b"one"]
        else:
            assert (await client.call("/v1/x", b"{}")).body == b"done"
        RESPONSES["changes"] = RESPONSES["does not know the key"]
        response = await client.call("/v1/x", b"{}", timeout=5)
        return response.attempts

    faults = ["changes", "returns a complete response"]
    assert asyncio.run(run_client(faults, use))[0] == 2


def test_key_that_no_entry_has_accepted_is_refused_at_once():
    faults = ["does not know the key", "returns a complete response"]
    result = make_call(faults, "an idempotent")
    assert result[0] == ([], "key.unknown and not_run")
