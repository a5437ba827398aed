"""The filters that a caller's request passes, and the log that an entry reads."""

import asyncio

import pytest

from buckthornstile.agent.tests.fakes import FakeClock
from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.configuration import hash_key, make_configuration
from buckthornstile.entry._calls import authenticate_call, classify_call, parse_call
from buckthornstile.entry._tracked_log import TrackedLog
from buckthornstile.ports import LogEntry, LogPage
from buckthornstile.records import Key, OpenRoute, Rule, UsageLine
from buckthornstile.usage import UsageCounter

SECRET = "live-key-7f3a"
CONFIGURATION = make_configuration(
    [
        Key(name="k1", account="mill", digest=hash_key(SECRET)),
        Key(name="k2", account="mill", digest=hash_key(SECRET + "x"), withdrawn=True),
        Rule(name="r", path="/v1", service="shop-desk", account="mill"),
        OpenRoute(name="/v1/hours", service="shop-desk", account="open"),
    ],
    revision=1,
)
DEEP = b"[" * 100_000


def parse(path="/v1/orders", headers=None, body=b"", method="POST"):
    return parse_call(
        method, path, headers or {}, body, default_timeout=5.0, max_timeout=60.0
    )


@pytest.mark.parametrize(
    ("headers", "body", "code"),
    [
        ({"X-Timeout": "nan"}, b"", ErrorCode.HEADER_INVALID),
        ({"X-Timeout": "1e99"}, b"", ErrorCode.HEADER_INVALID),
        ({"X-Attempt": "0"}, b"", ErrorCode.HEADER_INVALID),
        ({"X-First-Attempt-Age": "-1"}, b"", ErrorCode.HEADER_INVALID),
        ({"Idempotency-Key": "k" * 201}, b"", ErrorCode.HEADER_INVALID),
        ({"Idempotency-Key": "a\0b"}, b"", ErrorCode.HEADER_INVALID),
        ({}, b"", ErrorCode.BODY_MALFORMED),
        ({}, DEEP, ErrorCode.BODY_MALFORMED),
        ({}, b"\xff\xfe", ErrorCode.BODY_MALFORMED),
        ({}, b'{"prompt": 1}', ErrorCode.BODY_MALFORMED),
        ({}, b'{"prompt": "p", "max_tokens": true}', ErrorCode.BODY_MALFORMED),
        ({}, b'{"prompt": "p", "max_tokens": 1e9}', ErrorCode.BODY_MALFORMED),
    ],
)
def test_a_bad_request_is_refused_with_a_code_and_without_its_contents(
    headers, body, code
):
    with pytest.raises(BuckthornstileError) as caught:
        parse("/v1/completions", headers, body)
    assert caught.value.code is code
    assert len(caught.value.message) < 200


@pytest.mark.parametrize(
    ("header", "code"),
    [
        (None, ErrorCode.KEY_MISSING),
        (SECRET, ErrorCode.KEY_MISSING),
        (f"Basic {SECRET}", ErrorCode.KEY_MISSING),
        ("Bearer ", ErrorCode.KEY_UNKNOWN),
        (f"Bearer {SECRET}!", ErrorCode.KEY_UNKNOWN),
        (f"Bearer {SECRET}x", ErrorCode.KEY_WITHDRAWN),
        (f"Bearer {SECRET}\udcff", ErrorCode.KEY_UNKNOWN),
    ],
)
def test_a_wrong_key_is_refused_and_never_repeated(header, code):
    with pytest.raises(BuckthornstileError) as caught:
        authenticate_call(parse(), header, CONFIGURATION)
    assert caught.value.code is code
    assert SECRET not in str(caught.value) + caught.value.message


def test_a_key_gives_an_account_and_goes_no_further():
    call = authenticate_call(parse(), f"Bearer {SECRET}", CONFIGURATION)
    call = classify_call(call, CONFIGURATION)
    assert (call.account, call.key_id, call.service) == ("mill", "k1", "shop-desk")
    assert SECRET not in repr(call)


def test_only_the_open_route_itself_needs_no_key():
    call = authenticate_call(parse("/v1/hours?day=1"), None, CONFIGURATION)
    assert classify_call(call, CONFIGURATION).account == "open"
    for path in ("/v1/hours/", "/v1/hours/x", "/v1/hourss"):
        with pytest.raises(BuckthornstileError):
            authenticate_call(parse(path), None, CONFIGURATION)


class LaggingLog:
    """A log whose page may stop before its end."""

    def __init__(self, clock):
        self.clock = clock
        self.end = 0

    async def read(self, first, *, limit=500, wait=0.0):
        self.clock.now += 2.0
        entries = tuple(LogEntry(n, b"") for n in range(first, first + limit))
        return LogPage(entries, 0, self.end)


def test_the_lag_of_a_log_counts_from_the_last_read_that_came_to_its_end():
    clock = FakeClock()
    log = LaggingLog(clock)
    tracked = TrackedLog(log, read_clock=clock)
    assert tracked.get_lag() == float("inf")
    log.end = 10
    asyncio.run(tracked.read(0, limit=5))
    assert tracked.get_lag() == float("inf")
    asyncio.run(tracked.read(5, limit=5))
    clock.now += 1.0
    assert tracked.get_lag() == 1.0
    log.end = 20
    asyncio.run(tracked.read(10, limit=5))
    assert tracked.get_lag() == 3.0


def test_a_usage_batch_stays_the_same_until_it_is_read_back():
    counter = UsageCounter("e1", interval=1.0, retry=1.0)
    line = UsageLine(account="a", service="s", request_class="waited", requests=1)
    for number in range(3):
        counter.open(number)
    counter.finish(0, line)
    first = counter.make_batch(0.0)
    counter.finish(1, line)
    assert counter.make_batch(5.0) is first
    assert counter.confirm(first) == 0
    second = counter.make_batch(50.0)
    assert second.ranges == ((1, 1),) and not counter.is_settled
    counter.finish(2, None)
    assert counter.confirm(second) == 1
    third = counter.make_batch(99.0)
    assert (third.ranges, third.lines) == (((2, 2),), ())
