"""Orders are fenced by term and carried out once; weights come whole."""

import asyncio
from types import SimpleNamespace

import pytest

from buckthornstile.agent import _weights
from buckthornstile.agent._orders import OrderDesk
from buckthornstile.agent._weights import WeightFetcher
from buckthornstile.agent.tests.fakes import FakeClock, FakeUpstream, settle
from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.ports import WeightManifest
from buckthornstile.weights import hash_chunk
from buckthornstile.wire import Order, make_connection_error

CHUNKS = (b"aaaa", b"bbbb", b"cc")
MANIFEST = WeightManifest(6, 3, 4, tuple(hash_chunk(chunk) for chunk in CHUNKS))


class FakeStore:
    """A rate-limited store; ``broken`` chunks come wrong once."""

    def __init__(self):
        self.reads = []
        self.refusals = 0
        self.broken = set()
        self.gate = None

    async def read_latest(self):
        if self.gate is not None:
            await self.gate.wait()
        return MANIFEST

    async def read_chunk(self, version, index):
        if self.refusals:
            self.refusals -= 1
            raise BuckthornstileError(
                ErrorCode.PLATFORM_UNAVAILABLE, "rate limit", retry_after=0.001
            )
        self.reads.append(index)
        if index in self.broken:
            self.broken.discard(index)
            return b"oops"
        return CHUNKS[index]


class PeerConnection:
    """A connection to another agent's fetcher, without a socket."""

    def __init__(self, peer, *, breaks_at=None):
        self.peer = peer
        self.breaks_at = breaks_at
        self.answers = asyncio.Queue()
        self.closed = False

    def send(self, message):
        self.answers.put_nowait(self.peer.get_chunk(message))

    async def receive(self):
        answer = await self.answers.get()
        if answer.index == self.breaks_at:
            raise make_connection_error()
        return answer

    def close(self):
        self.closed = True


class Desk:
    """An order desk with its engine and store; keeps its answers."""

    def __init__(self):
        self.clock = FakeClock()
        self.engine = FakeUpstream()
        self.store = FakeStore()
        self.fetcher = WeightFetcher(self.store, identity=None, secret="")
        self.desk = OrderDesk(self.engine, fetcher=self.fetcher, read_clock=self.clock)
        self.answers = []
        self.connection = SimpleNamespace(closed=False, send=self.answers.append)

    async def order(self, term, *, order_id="o", action="load_version", timeout=60.0):
        order = Order(order_id, term, action, version=6, timeout=timeout)
        self.desk.accept(order, self.connection)
        await settle()

    def get_codes(self):
        return [answer.code for answer in self.answers]


def run(story):
    return asyncio.run(asyncio.wait_for(story(), 20.0))


def test_an_order_is_carried_out_once_however_often_it_comes():
    async def story():
        desk = Desk()
        for _ in range(3):
            await desk.order(4)
        desk.engine.state = type(desk.engine.state)("life-1", 5)
        await desk.order(4)
        assert desk.engine.loads == [(6, 4)]
        assert all(answer.accepted for answer in desk.answers)

    run(story)


def test_an_older_term_is_refused_however_the_newer_one_was_learnt():
    async def story():
        desk = Desk()
        desk.desk.note_term(5)
        await desk.order(4)
        assert desk.get_codes() == [ErrorCode.TERM_OLD]
        assert desk.engine.loads == [] and desk.desk.refused_terms == 1

    run(story)


@pytest.mark.parametrize(
    ("event", "code"),
    [
        (lambda desk: desk.desk.note_term(9), ErrorCode.TERM_OLD),
        (lambda desk: setattr(desk.clock, "now", 2e3), ErrorCode.ORDER_LATE),
    ],
)
def test_an_order_is_checked_again_after_a_slow_fetch(event, code):
    async def story():
        desk = Desk()
        desk.store.gate = asyncio.Event()
        await desk.order(4)
        event(desk)
        desk.store.gate.set()
        await settle()
        assert desk.get_codes() == [code]
        assert desk.engine.loads == []

    run(story)


def test_a_term_is_checked_immediately_before_the_engine_is_ordered():
    async def story():
        desk = Desk()
        desk.engine.on_read = lambda: desk.desk.note_term(9)
        await desk.order(4)
        assert desk.get_codes() == [ErrorCode.TERM_OLD]
        assert desk.engine.loads == []

    run(story)


def test_a_failed_swap_is_told_and_may_be_ordered_again():
    async def story():
        desk = Desk()
        desk.engine.refuses = True
        await desk.order(4)
        assert desk.get_codes() == [ErrorCode.UPSTREAM_FAILED]
        assert desk.desk.failed_swaps == 1 and not desk.desk.loading
        desk.engine.refuses = False
        await desk.order(4)
        assert desk.answers[-1].accepted and desk.engine.state.version == 6

    run(story)


def test_weights_come_from_the_store_through_rate_limit_and_broken_chunks():
    async def story():
        desk = Desk()
        desk.store.refusals = 2
        desk.store.broken = {1}
        await desk.fetcher.wait_fetched(6)
        assert [desk.fetcher.cache.get_chunk(6, n) for n in range(3)] == list(CHUNKS)
        assert desk.store.reads == [0, 1, 1, 2]
        assert desk.fetcher.failures == 3

    run(story)


@pytest.mark.parametrize(("breaks_at", "from_store"), [(None, []), (2, [1, 2])])
def test_weights_come_from_a_peer_and_the_rest_from_the_store(
    monkeypatch, breaks_at, from_store
):
    async def story():
        source, desk = Desk(), Desk()
        await source.fetcher.wait_fetched(6)
        connection = PeerConnection(source.fetcher, breaks_at=breaks_at)

        async def dial(*_, **__):
            return connection

        monkeypatch.setattr(_weights, "dial_peer", dial)
        desk.fetcher.begin(6, "127.0.0.1", 1)
        await desk.fetcher.wait_fetched(6)
        assert desk.fetcher.fetched_version == 6
        assert desk.store.reads == from_store
        assert connection.closed

    run(story)
