"""An entry's links: whole answers over them, and which upstreams they serve."""

import asyncio

import pytest

from buckthornstile.agent.tests.fakes import settle
from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.entry import _pending
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.routing import RouteRequest
from buckthornstile.wire import Chunk, Dispatch, End, make_digest

KEYED = {"idempotency_key": "order-1"}


# One request's replies


def make_pending(ended):
    dispatch = Dispatch("e/0", "a", "k", 0, None, "s", "GET", "/")
    return PendingRequest(dispatch, "life", on_end=ended.append)


def make_end(*parts):
    digest = make_digest()
    for part in parts:
        digest.update(part)
    length = sum(map(len, parts))
    return End("e/0", Verdict.RAN, length=length, digest=digest.digest())


ONE, TWO = Chunk("e/0", 0, b"one"), Chunk("e/0", 1, b"two")


@pytest.mark.parametrize(
    ("replies", "code"),
    [
        ([ONE, TWO, make_end(b"one", b"two")], None),
        ([ONE, make_end(b"one", b"two")], ErrorCode.ANSWER_TRUNCATED),
        ([ONE, TWO, make_end(b"two", b"one")], ErrorCode.ANSWER_TRUNCATED),
        ([TWO], ErrorCode.ANSWER_CROSSED),
        ([ONE, ONE], ErrorCode.ANSWER_CROSSED),
        ([ONE, Chunk("e/0", 1, b"x" * 99)], ErrorCode.CANCELLED),
    ],
)
def test_an_answer_is_whole_or_an_error_and_nothing_follows_it(
    monkeypatch, replies, code
):
    monkeypatch.setattr(_pending, "MAX_WAITING_BYTES", 50)

    async def story():
        ended = []
        pending = make_pending(ended)
        for reply in [*replies, ONE, make_end()]:
            pending.push(reply)
        got = []
        try:
            while not got or not isinstance(got[-1], End):
                got.append(await pending.next(0.01))
        except BuckthornstileError as error:
            assert (error.code, error.verdict) == (code, Verdict.MAY_HAVE_RUN)
        else:
            assert code is None and got == replies
        assert ended == [pending]

    asyncio.run(story())


# The fleet


def choose(network):
    link, _ = network.dispatcher.choose(RouteRequest("geometry-models"))
    return None if link is None else link.view.upstream


def test_an_empty_or_lagging_list_ends_no_service(play):
    async def story(network):
        network.fleet.on_vm_list([])
        await network.cut("u0")
        await asyncio.sleep(0.01)
        await network.beat()
        assert network.fleet.links["u0"].is_up
        task = network.call(**KEYED)
        await settle()
        network.end_all()
        assert await task
        network.list_vms("u1")
        assert network.fleet.links["u0"].is_up
        await network.cut("u0", back=False)
        network.list_vms("u1")
        assert "u0" in network.fleet.links
        network.clock.now += 60.0
        network.list_vms("u1")
        assert "u0" not in network.fleet.links

    play(story)


def test_a_leaving_upstream_gets_nothing_until_it_is_back(play):
    async def story(network):
        network.list_vms("u0", leaving=("u0",))
        assert choose(network) is None
        network.list_vms("u0")
        assert choose(network) == "u0"
        agent = network.worlds["u0"].agent
        await agent.stop()
        await settle()
        assert choose(network) is None
        network.list_vms("u0")
        assert choose(network) is None
        network.boot("u0")
        await network.worlds["u0"].start()
        await network.cut("u0")
        await asyncio.sleep(0.01)
        await network.beat()
        assert choose(network) == "u0"

    play(story, count=1)


def test_a_drained_failure_domain_gets_nothing(play):
    async def story(network):
        network.worlds["u0"].drain()
        network.fleet.apply_configuration(network.get_configuration())
        assert choose(network) is None
        network.worlds["u0"].drain(restore=True)
        network.fleet.apply_configuration(network.get_configuration())
        assert choose(network) == "u0"

    play(story, count=1)


def test_an_address_that_another_agent_has_is_not_used(play):
    async def story(network):
        network.boot("u1")
        await network.worlds["u1"].start()
        network.worlds["u0"] = network.worlds.pop("u1")
        await network.cut("u0")
        await asyncio.sleep(0.01)
        assert not network.fleet.links["u0"].is_up
        assert choose(network) is None

    play(story, count=1)
