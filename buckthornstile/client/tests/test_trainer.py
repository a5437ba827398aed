"""Tests that TrainerClient delivers every sample once after faults of entries."""

import asyncio
import contextlib
import json

import pytest

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.client import SessionPolicy, TrainerClient
from buckthornstile.client.tests import fake_entry
from buckthornstile.samples import (
    EndLine,
    ErrorLine,
    GroupSpecification,
    HeartbeatLine,
    LotSpecification,
    Sample,
    Slot,
    TokenRange,
    encode_line,
    encode_sample,
)

LOT = LotSpecification(
    lot="step",
    trainer="geometry",
    groups=(GroupSpecification(prompt="p", samples=4),),
    version=5,
)


def make_line(index, version=5):
    body = json.dumps({"text": f"sample {index}"}).encode()
    return encode_sample(Sample(Slot(0, index), body, (TokenRange(0, 3, version),)))


END_LINE = encode_line(EndLine(delivered=4))
TRUNCATED_LINE = make_line(1)[:-20]
LINE_WITH_WRONG_BODY = make_line(1).replace(b"sample 1", b"sample 9")
# Parts that the first entry sends, by fault; after None it sends nothing more.
FAULTS = {
    "closes after two samples": [make_line(0), make_line(1)],
    "stops sending": [make_line(0), None],
    "truncates a line": [make_line(0), TRUNCATED_LINE],
    "sends a wrong body": [make_line(0), LINE_WITH_WRONG_BODY],
    "sends the end line too early": [make_line(0), END_LINE],
    "sends a duplicate sample": [make_line(0), make_line(0), make_line(0)],
    "sends a sample that is too old": [make_line(0), make_line(1, version=3)],
    "sends a malformed line": [make_line(0), b'{"sample": 7}\n'],
    "sends an error line": [
        make_line(0),
        encode_line(ErrorLine(code=ErrorCode.DRAINING)),
    ],
}


def make_responder(make_parts):
    """Returns a respond function that streams the parts of a lot from make_parts.

    Every other request gets the response 200.
    """

    def respond(path, headers, body):
        if path != "/v1/lots":
            return fake_entry.make_response(200, b"{}")
        response_head = fake_entry.RESPONSE_HEAD.format(200, "").encode()
        return [response_head, *make_parts(json.loads(body))]

    return respond


def make_missing_parts(attach):
    """Returns a heartbeat, the samples that the trainer lacks and the end line."""
    received = {index for _, index in attach["received"]}
    missing = [make_line(n) for n in range(4) if n not in received]
    return [encode_line(HeartbeatLine()), *missing, END_LINE]


async def run_lot(part_makers):
    entries = [fake_entry.FakeEntry(make_responder(m)) for m in part_makers]
    async with contextlib.AsyncExitStack() as stack:
        urls = [(await stack.enter_async_context(entry)).url for entry in entries]
        policy = SessionPolicy(silence_timeout=0.3, first_delay=0.001)
        client = TrainerClient(urls, "secret", "geometry", policy=policy)
        samples = [sample async for sample in client.run_lot(LOT)]
        await client.set_version(6)
        await client.close()
    return client, samples, [request for e in entries for request in e.requests]


@pytest.mark.parametrize("fault", FAULTS)
def test_each_sample_is_yielded_once_after_entry_fault(fault):
    """Guards against lost and duplicate samples after a fault of the first entry."""
    client, samples, requests = asyncio.run(
        run_lot([lambda _: FAULTS[fault], make_missing_parts])
    )
    assert sorted(s.text for s in samples) == [f"sample {n}" for n in range(4)]
    attaches = [json.loads(body) for path, _, body in requests if path == "/v1/lots"]
    numbers = [attach["attach"] for attach in attaches]
    assert numbers == sorted(set(numbers))
    assert attaches[-1]["received"]
    acknowledged = [
        slot
        for path, _, body in requests
        if path == "/v1/lots/step/acknowledge"
        for slot in json.loads(body)["slots"]
    ]
    assert {index for _, index in acknowledged} >= {2, 3}
    assert (client.too_old_count > 0) is (fault == "sends a sample that is too old")
    assert client.idle_seconds > 0


def test_withdrawn_key_ends_lot_with_its_error_code():
    error_line = encode_line(ErrorLine(code=ErrorCode.KEY_WITHDRAWN))
    with pytest.raises(BuckthornstileError) as caught:
        asyncio.run(run_lot([lambda _: [error_line], make_missing_parts]))
    assert caught.value.code is ErrorCode.KEY_WITHDRAWN


def make_unknown_key_responder(attaches):
    """Returns a function that refuses the key in attaches with these numbers."""
    count = 0

    def make_parts(attach):
        nonlocal count
        count += 1
        if count not in attaches:
            return [make_line(0)] if count == 1 else make_missing_parts(attach)
        return [encode_line(ErrorLine(code=ErrorCode.KEY_UNKNOWN))]

    return make_parts


def test_entry_that_is_behind_does_not_end_a_lot_whose_key_another_accepted():
    """Its configuration is older than the one under which the lot was accepted."""
    _, samples, _ = asyncio.run(run_lot([make_unknown_key_responder({2, 3})]))
    assert sorted(s.text for s in samples) == [f"sample {n}" for n in range(4)]


def test_unknown_key_ends_a_lot_that_no_entry_has_accepted():
    with pytest.raises(BuckthornstileError) as caught:
        asyncio.run(run_lot([make_unknown_key_responder({1})]))
    assert caught.value.code is ErrorCode.KEY_UNKNOWN
