"""An agent in memory: its upstream, its entries and its clock are fakes."""

import asyncio
import json
from unittest import mock

from buckthornstile.agent import _daemon
from buckthornstile.agent._links import EntryLink, handle_message
from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    RequestClass,
    Role,
    Verdict,
)
from buckthornstile.ports import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    EngineState,
    LogPage,
    PlatformPorts,
)
from buckthornstile.records import (
    Account,
    ConfigurationChange,
    Drain,
    ItemName,
    Key,
    encode_record,
)
from buckthornstile.settings import AgentSettings
from buckthornstile.wire import Answer, Dispatch, End, Identity, RelayedRecord

SETTINGS = {
    "process": "agent-1",
    "failure_domain": "bench-a",
    "upstream": "geometry-1",
    "service": "geometry-models",
    "upstream_url": "http://127.0.0.1:1",
    "platform_url": "http://127.0.0.1:1",
    "deployment_secret": "s" * 32,
    "initial_limit": 2,
    "maximum_limit": 2,
}
ACCOUNTS = ("mill", "yard")


async def settle(turns=40):
    """Lets every task go as far as it can without time passing."""
    for _ in range(turns):
        await asyncio.sleep(0)


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def make_body(text, version=5, tokens=20):
    usage = {"prompt_tokens": 3, "completion_tokens": tokens}
    versions = [[0, tokens - 1, version]]
    value = {"text": text, "tokens": tokens, "versions": versions, "usage": usage}
    return json.dumps(value).encode()


class FakeUpstream:
    """Keeps every call open until the test ends it; remembers all that it saw."""

    def __init__(self):
        self.seen = []
        self.whole = []
        self.open = {}
        self.state = EngineState(Incarnation("life-1"), 5)
        self.readable = True
        self.refuses = False
        self.loads = []
        self.on_read = lambda: None

    async def call(self, call):
        if self.refuses:
            raise BuckthornstileError(ErrorCode.UPSTREAM_FAILED, "refused")
        self.seen.append(call)
        ending = self.open[call.request_id] = asyncio.get_running_loop().create_future()
        try:
            body = await ending
        finally:
            del self.open[call.request_id]
        yield AnswerHead(200, "application/json", call.request_id)
        yield AnswerPart(body)
        self.whole.append(call.request_id)
        yield AnswerEnd(len(body))

    def end(self, request_id, outcome=None):
        ending = self.open[request_id]
        if isinstance(outcome, Exception):
            ending.set_exception(outcome)
        else:
            ending.set_result(outcome or make_body(request_id, self.state.version))

    async def read_state(self):
        self.on_read()
        if not self.readable:
            raise BuckthornstileError(ErrorCode.UPSTREAM_FAILED, "no state")
        return self.state

    async def load_version(self, version, *, term):
        self.loads.append((version, term))
        if self.refuses:
            raise BuckthornstileError(ErrorCode.UPSTREAM_FAILED, "the swap failed")
        self.state = EngineState(self.state.incarnation, version)

    async def cancel(self, request_id):
        raise AssertionError("the agent ends the call itself")


class FakeLog:
    def __init__(self):
        self.records = []

    async def append(self, data):
        self.records.append(data)
        return len(self.records) - 1

    async def read(self, first, *, limit=500, wait=0.0):
        return LogPage((), 0, len(self.records))


class FakeEntry:
    """One entry's connection; keeps what the agent sent over it."""

    def __init__(self, agent, name="entry-1"):
        self.agent = agent
        self.stream_open = True
        self.received = []
        self.peer = Identity(name, Role.ENTRY, Incarnation(f"{name}-a"), "bench-a")
        self.link = EntryLink(agent, self)
        self.count = 0
        self.accounts = {}
        agent.links.add(self.link)

    @property
    def closed(self):
        return not self.stream_open

    def send(self, message):
        assert self.stream_open
        self.received.append(message)

    async def wait_writable(self):
        return

    def tell(self, message):
        handle_message(message, self.link)

    def lose(self):
        self.stream_open = False
        self.agent.links.discard(self.link)
        self.agent.scheduler.on_connection_lost(self)

    def ask(self, account="mill", **options):
        """Sends a request; gives its id."""
        request_id = f"{self.peer.incarnation}/{self.count}"
        self.count += 1
        offset = self.agent.configuration.current.through
        dispatch = Dispatch(
            request_id,
            account,
            options.pop("key_id", f"key-{account}"),
            options.pop("configuration_offset", offset),
            options.pop("request_class", RequestClass.WAITED),
            "geometry-models",
            "POST",
            "/v1/completions",
            **options,
        )
        self.accounts[request_id] = account
        self.tell(dispatch)
        return request_id

    def list_ends(self, request_id):
        return [
            message
            for message in self.received
            if isinstance(message, End | Answer) and message.request_id == request_id
        ]

    def get_end(self, request_id):
        """Gives the only end, as verdict and code."""
        (end,) = self.list_ends(request_id)
        if isinstance(end, Answer):
            return Verdict.RAN, None
        return end.verdict, end.code


class World:
    """An agent with its fakes and operators who change its configuration."""

    def __init__(self, *, engine=True, clock=None, **settings):
        self.clock = clock or FakeClock()
        self.upstream = FakeUpstream()
        self.log = FakeLog()
        self.revision = 0
        kind = "engine" if engine else "service"
        values = {**SETTINGS, "upstream_kind": kind, **settings}
        ports = PlatformPorts(self.log, None, None, None, None)
        with mock.patch.object(_daemon, "read_boottime", self.clock):
            self.agent = _daemon.Agent(
                AgentSettings(**values), upstream=self.upstream, ports=ports
            )
        keys = [
            Key(name=f"key-{name}", account=name, digest=str(place) * 64)
            for place, name in enumerate(ACCOUNTS)
        ]
        self.change(*keys, *(Account(name=name) for name in ACCOUNTS))

    async def start(self):
        """Reads the engine's state, as the daemon does before it listens."""
        await self.agent.monitor.read()
        return self

    def change(self, *put, remove=()):
        record = ConfigurationChange(
            change_id=f"c{self.revision}",
            base_revision=self.revision,
            put=put,
            remove=remove,
        )
        self.agent.merge_relay([RelayedRecord(self.revision, encode_record(record))])
        self.revision += 1

    def withdraw(self, account):
        key = self.agent.configuration.current.keys[f"key-{account}"]
        self.change(key.model_copy(update={"withdrawn": True}))

    def drain(self, *, restore=False):
        if restore:
            self.change(remove=(ItemName(kind="drain", name="bench-a"),))
        else:
            self.change(Drain(name="bench-a"))
