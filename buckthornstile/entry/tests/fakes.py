"""An entry's parts, joined to real agents by connections in memory."""

import asyncio
import random
from types import SimpleNamespace

from buckthornstile.agent.tests.fakes import SETTINGS, World, settle
from buckthornstile.base import Incarnation, Role
from buckthornstile.entry import _dispatcher, _links
from buckthornstile.entry._calls import Call
from buckthornstile.entry._dispatcher import Dispatcher
from buckthornstile.entry._fleet import Fleet
from buckthornstile.limits import RetryBudget
from buckthornstile.ports import Vm, VmState
from buckthornstile.usage import UsageCounter
from buckthornstile.wire import (
    Heartbeat,
    Identity,
    decode_message,
    encode_message,
    make_connection_error,
)


class MemoryConnection:
    """One end of a connection; what is sent is encoded and decoded."""

    def __init__(self, peer):
        self.peer = peer
        self.other = None
        self.closed = False
        self.inbox = asyncio.Queue()
        self.drops = ()

    def send(self, message):
        if self.closed:
            raise make_connection_error()
        if not isinstance(message, self.drops):
            self.other.inbox.put_nowait(decode_message(encode_message(message)))

    async def receive(self):
        message = None if self.closed else await self.inbox.get()
        if message is None:
            raise make_connection_error()
        return message

    async def wait_writable(self):
        return

    def close(self):
        for end in (self, self.other):
            if not end.closed:
                end.closed = True
                end.inbox.put_nowait(None)


class Writer:
    """The caller's side of one call."""

    def __init__(self, *, stream=False):
        self.stream = stream
        self.body = b""

    @property
    def has_begun(self):
        return self.stream and bool(self.body)

    async def start(self, started):
        self.body = b""

    async def write(self, data):
        self.body += data


class Network:
    """Agents by upstream, and one entry's fleet and dispatcher before them.

    It is what links need of their entry, too.
    """

    def __init__(self, monkeypatch, count=2, **settings):
        monkeypatch.setattr(_links, "dial_peer", self.dial)
        monkeypatch.setattr(_links, "RECONNECT_SECONDS", 0.0)
        monkeypatch.setattr(_links, "MAX_RECONNECT_SECONDS", 0.001)
        monkeypatch.setattr(_links, "SEAL_TIMEOUT_SECONDS", 0.05)
        monkeypatch.setattr(_dispatcher, "HOME_WAIT_SECONDS", 0.02)
        self.identity = Identity("entry-1", Role.ENTRY, Incarnation("e1"), "bench-a")
        self.secret, self.connect_timeout, self.heartbeat_timeout = "", 1.0, 5.0
        self.ssl_context = None
        self.settings = settings
        self.worlds = {}
        self.down = set()
        self.ends = {}
        self.tasks = []
        self.clock = None
        for place in range(count):
            self.boot(f"u{place}")
        self.usage = UsageCounter(self.identity.incarnation, interval=0.0, retry=0.0)
        self.fleet = Fleet(self, subset_size=0, on_change=lambda *_: None)
        self.dispatcher = Dispatcher(
            self.fleet,
            incarnation=self.identity.incarnation,
            usage=self.usage,
            get_configuration=self.get_configuration,
            read_clock=self.read_clock,
            rng=random.Random(1),
            budget=RetryBudget(),
        )

    def boot(self, upstream):
        """Starts an agent, or another life of it."""
        names = {"upstream": upstream, "process": upstream}
        world = World(clock=self.clock, **self.settings, **names)
        self.clock = world.clock
        self.worlds[upstream] = world

    async def start(self):
        for world in self.worlds.values():
            await world.start()
        self.clock.now += 100.0
        self.list_vms()
        await settle()
        self.clock.now += 100.0
        await self.beat()
        return self

    def list_vms(self, *upstreams, leaving=()):
        names = upstreams or tuple(self.worlds)
        self.fleet.on_vm_list(
            [
                Vm(
                    name,
                    Role.AGENT,
                    "bench-a",
                    "127.0.0.1",
                    int(name[1:]) + 1,
                    VmState.LEAVING if name in leaving else VmState.LIVE,
                    name,
                    SETTINGS["service"],
                )
                for name in names
            ]
        )

    async def dial(self, address, port, identity, secret, **_):
        await asyncio.sleep(0)
        upstream = f"u{port - 1}"
        if upstream in self.down:
            raise make_connection_error()
        agent = self.worlds[upstream].agent
        near, far = MemoryConnection(agent.identity), MemoryConnection(identity)
        near.other, far.other = far, near
        self.ends[upstream] = far
        self.tasks.append(asyncio.create_task(agent.serve_connection(far)))
        return near

    async def beat(self):
        """Both sides send heartbeats."""
        for name, world in self.worlds.items():
            if name in self.ends and not self.ends[name].closed:
                self.ends[name].send(world.agent.make_heartbeat())
        self.fleet.broadcast_heartbeat()
        await settle()

    async def cut(self, upstream, *, back=True):
        if not back:
            self.down.add(upstream)
        self.ends[upstream].close()
        await settle()

    def call(self, *, stream=False, **options):
        """Begins a call; gives its task, whose result is the body."""
        call = Call(
            "POST",
            "/v1/completions",
            b"{}",
            "application/json",
            options.pop("timeout", 30.0),
            account="mill",
            key_id="key-mill",
            service=SETTINGS["service"],
            stream=stream,
            **options,
        )
        writer = Writer(stream=stream)

        async def run():
            await self.dispatcher.run_call(call, writer)
            return writer.body

        task = asyncio.create_task(run())
        self.tasks.append(task)
        return task

    def list_seen(self):
        """Lists which upstream saw which request."""
        return [
            (name, call.request_id)
            for name, world in self.worlds.items()
            for call in world.upstream.seen
        ]

    def end_all(self, outcome=None):
        for world in self.worlds.values():
            for request_id, ending in list(world.upstream.open.items()):
                if not ending.done():
                    world.upstream.end(request_id, outcome)

    def list_billed(self):
        """Gives the ranges and the tokens that the entry would bill now."""
        batch = self.usage.make_batch(0.0)
        if batch is None:
            return (), 0
        return batch.ranges, sum(line.generated_tokens for line in batch.lines)

    # What links need of an entry

    def read_clock(self):
        return self.clock()

    def make_heartbeat(self):
        return Heartbeat(1, 0.0, self.get_configuration_offset())

    def get_configuration(self):
        return next(iter(self.worlds.values())).agent.configuration.current

    def get_configuration_offset(self):
        return self.get_configuration().through

    def get_relay(self, after):
        return ()

    def merge_relay(self, records):
        return None

    def on_link_change(self, link):
        self.fleet.apply_configuration(self.get_configuration())

    def note_term(self, term):
        return

    @property
    def configuration(self):
        return SimpleNamespace(current=self.get_configuration())
