"""A trainer gets each sample once, whatever becomes of its entries."""

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


END = encode_line(EndLine(delivered=4))
BROKEN = make_line(1)[:-20]
CROSSED = make_line(1).replace(b"sample 1", b"sample 9")
FAULTS = {
    "closes half way": [make_line(0), make_line(1)],
    "falls silent": [make_line(0), None],
    "cuts a line": [make_line(0), BROKEN],
    "crosses a body": [make_line(0), CROSSED],
    "ends too early": [make_line(0), END],
    "doubles a sample": [make_line(0), make_line(0), make_line(0)],
    "sends too old a sample": [make_line(0), make_line(1, version=3)],
    "sends garbage": [make_line(0), b'{"sample": 7}\n'],
    "fails": [make_line(0), encode_line(ErrorLine(code=ErrorCode.DRAINING))],
}


def serve(script):
    """Serves lots by a script, and takes every other post."""

    def answer(path, headers, body):
        if path != "/v1/lots":
            return fake_entry.make_whole(200, b"{}")
        head = fake_entry.HEAD.format(200, "").encode()
        return [head, *script(json.loads(body))]

    return answer


def send_rest(attach):
    received = {index for _, index in attach["received"]}
    rest = [make_line(n) for n in range(4) if n not in received]
    return [encode_line(HeartbeatLine()), *rest, END]


async def run_lot(scripts):
    entries = [fake_entry.FakeEntry(serve(script)) for script in scripts]
    async with contextlib.AsyncExitStack() as stack:
        urls = [(await stack.enter_async_context(entry)).url for entry in entries]
        policy = SessionPolicy(silence_timeout=0.3, first_delay=0.001)
        client = TrainerClient(urls, "secret", "geometry", policy=policy)
        samples = [sample async for sample in client.run_lot(LOT)]
        await client.set_version(6)
        await client.close()
    return client, samples, [request for e in entries for request in e.requests]


@pytest.mark.parametrize("fault", FAULTS)
def test_each_sample_comes_once_whatever_the_entry_does(fault):
    client, samples, requests = asyncio.run(
        run_lot([lambda _: FAULTS[fault], send_rest])
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
    assert (client.too_old_count > 0) is (fault == "sends too old a sample")
    assert client.idle_seconds > 0


def test_a_withdrawn_key_ends_the_lot_with_its_code():
    refusal = encode_line(ErrorLine(code=ErrorCode.KEY_WITHDRAWN))
    with pytest.raises(BuckthornstileError) as caught:
        asyncio.run(run_lot([lambda _: [refusal], send_rest]))
    assert caught.value.code is ErrorCode.KEY_WITHDRAWN
