"""Lots at the desk of an entry: what trainers get, whatever becomes of entries."""

import asyncio
from types import SimpleNamespace

import pytest

from buckthornstile.agent.tests.fakes import settle
from buckthornstile.base import BuckthornstileError, ErrorCode, Incarnation
from buckthornstile.configuration import make_configuration
from buckthornstile.entry._calls import Call
from buckthornstile.entry._lots import LotDesk
from buckthornstile.entry.tests.fakes import Network
from buckthornstile.metrics import Counters, Histograms
from buckthornstile.records import Rule
from buckthornstile.samples import SampleLine, decode_line

RULE = Rule(
    name="training",
    path="/v1/completions",
    service="geometry-models",
    idempotent=True,
    maximum_age=1,
)
SPECIFICATION = {
    "lot": "step",
    "trainer": "geometry",
    "groups": [{"prompt": "p", "samples": 3, "max_tokens": 20}],
    "version": 5,
    "timeout": 60.0,
}


class Trainer:
    """One trainer and its lot; it may attach through several desks."""

    def __init__(self, network):
        self.network = network
        self.attaches = 0
        self.got = {}

    def make_desk(self):
        return LotDesk(
            SimpleNamespace(
                stopping=False,
                heartbeat_timeout=3.0,
                read_clock=self.network.read_clock,
                settings=SimpleNamespace(max_lots=4, max_lot_samples=100),
                configuration=self.network.configuration,
                fleet=self.network.fleet,
                dispatcher=self.network.dispatcher,
                counters=Counters(),
                histograms=Histograms(),
                count_error=lambda error: None,
            )
        )

    async def attach(self, desk, *, attach=None):
        self.attaches += 1
        body = {
            "specification": SPECIFICATION,
            "attach": self.attaches if attach is None else attach,
            "received": [[0, index] for index in sorted(self.got)],
        }
        call = Call("POST", "/v1/lots", b"", "", 9.0, account="mill", key_id="key-mill")
        stream = await desk.attach(call, body)
        self.decide(desk)
        await settle()
        return stream

    def decide(self, desk):
        desk.entry.configuration = self.network.configuration
        desk.decide()

    async def finish(self, desk):
        """Ends what the engines make, and lets the desk deliver it."""
        for _ in range(3):
            self.network.end_all()
            await settle()
            self.decide(desk)
            await settle()

    def read(self, stream):
        """Takes the lines that wait; gives the samples' indexes and the rest."""
        lines = [decode_line(line) for line in stream._lines]
        stream._lines.clear()
        samples = [line for line in lines if isinstance(line, SampleLine)]
        for line in samples:
            assert line.index not in self.got, "a sample came twice"
            self.got[line.index] = line
        return [line for line in lines if not isinstance(line, SampleLine)]

    def acknowledge(self, desk, attach=None):
        attach = self.attaches if attach is None else attach
        slots = [[0, index] for index in self.got]
        body = {"trainer": "geometry", "attach": attach, "slots": slots}
        return desk.acknowledge("mill", "step", body)

    def count_kept(self):
        worlds = self.network.worlds.values()
        return sum(len(world.agent.scheduler.finished) for world in worlds)


@pytest.fixture
def play_lots(monkeypatch):
    def run(story):
        async def work():
            network = Network(monkeypatch)
            for world in network.worlds.values():
                world.change(RULE)
            await network.start()
            trainer = Trainer(network)
            try:
                await asyncio.wait_for(story(network, trainer), 20.0)
            finally:
                network.fleet.stop()
                for task in network.tasks:
                    task.cancel()

        asyncio.run(work())

    return run


def test_a_trainer_gets_each_sample_once_and_agents_then_forget_it(play_lots):
    async def story(network, trainer):
        desk = trainer.make_desk()
        stream = await trainer.attach(desk)
        await trainer.finish(desk)
        (end,) = trainer.read(stream)
        assert sorted(trainer.got) == [0, 1, 2]
        assert end.delivered == 3 and trainer.count_kept() == 3
        trainer.acknowledge(desk)
        trainer.decide(desk)
        await settle()
        assert trainer.count_kept() == 0

    play_lots(story)


def test_a_new_entry_takes_over_what_is_finished_and_joins_what_runs(play_lots):
    async def story(network, trainer):
        lost = trainer.make_desk()
        await trainer.attach(lost)
        world = next(w for w in network.worlds.values() if w.upstream.open)
        done = next(iter(world.upstream.open))
        world.upstream.end(done)
        await settle()
        # The first entry dies: its connections end, and another one attaches.
        for upstream in network.worlds:
            await network.cut(upstream)
        await asyncio.sleep(0.01)
        network.identity = network.identity.__class__(
            "entry-2", network.identity.role, Incarnation("e2"), "bench-a"
        )
        network.dispatcher.incarnation = Incarnation("e2")
        await network.beat()
        fresh = trainer.make_desk()
        stream = await trainer.attach(fresh)
        await trainer.finish(fresh)
        trainer.read(stream)
        assert sorted(trainer.got) == [0, 1, 2]
        joined = sum(
            world.agent.scheduler.running_slots.joined_count
            for world in network.worlds.values()
        )
        assert len(network.list_seen()) == 5 - joined

    play_lots(story)


def test_an_older_attach_is_cut_and_cannot_come_back(play_lots):
    async def story(network, trainer):
        desk = trainer.make_desk()
        older = await trainer.attach(desk)
        newer = await trainer.attach(desk)
        assert older.closed
        for attach in (1, 2):
            with pytest.raises(BuckthornstileError) as caught:
                await trainer.attach(desk, attach=attach)
            assert caught.value.code is ErrorCode.ATTACH_OLD
        trainer.attaches = 2
        await trainer.finish(desk)
        trainer.read(newer)
        assert sorted(trainer.got) == [0, 1, 2]
        assert older._lines == type(older._lines)()
        with pytest.raises(BuckthornstileError) as caught:
            trainer.acknowledge(desk, attach=1)
        assert caught.value.code is ErrorCode.ATTACH_OLD

    play_lots(story)


def test_a_withdrawn_key_ends_its_lot_and_its_runs(play_lots):
    async def story(network, trainer):
        desk = trainer.make_desk()
        stream = await trainer.attach(desk)
        seen = len(network.list_seen())
        key = network.get_configuration().keys["key-mill"]
        withdrawn = key.model_copy(update={"withdrawn": True})
        # The agents have not heard of it yet.
        desk.on_configuration(make_configuration([withdrawn, RULE]))
        await settle()
        assert not any(w.upstream.open for w in network.worlds.values())
        trainer.decide(desk)
        await settle()
        (error,) = trainer.read(stream)
        assert error.code is ErrorCode.KEY_WITHDRAWN and stream._ended
        assert len(network.list_seen()) == seen

    play_lots(story)


def test_a_planned_stop_sends_the_trainer_elsewhere_and_cuts_nothing(play_lots):
    async def story(network, trainer):
        desk = trainer.make_desk()
        stream = await trainer.attach(desk)
        desk.entry.stopping = True
        desk.hand_over()
        (error,) = trainer.read(stream)
        assert error.code is ErrorCode.DRAINING
        with pytest.raises(BuckthornstileError) as caught:
            await trainer.attach(desk)
        assert caught.value.code is ErrorCode.DRAINING
        assert sum(len(w.upstream.open) for w in network.worlds.values()) == 3
        other = trainer.make_desk()
        stream = await trainer.attach(other)
        await trainer.finish(other)
        trainer.read(stream)
        assert sorted(trainer.got) == [0, 1, 2]

    play_lots(story)


def test_a_sample_that_grew_too_old_is_made_again(play_lots):
    async def story(network, trainer):
        desk = trainer.make_desk()
        stream = await trainer.attach(desk)
        desk.on_trainer_version("mill", "geometry", 7)
        await trainer.finish(desk)
        assert trainer.read(stream) == [] and trainer.got == {}
        opened = next(iter(desk.open.values()))
        assert opened.lot.counters.discarded == 3
        assert trainer.count_kept() == 3

    play_lots(story)
