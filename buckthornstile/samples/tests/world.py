"""Fake engines, agents, entries and a trainer around the real sample core.

The checks read only what the trainer took as new and what the engines made.
"""

import json
from dataclasses import dataclass, field

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.ports import EngineState
from buckthornstile.samples import (
    CancelSlot,
    CutDelivery,
    DeliverSample,
    DispatchSlot,
    FinishedSamples,
    GroupSpecification,
    LabelTracker,
    Lot,
    LotSpecification,
    Receipt,
    ReceivedSet,
    ReleaseSamples,
    RunningSlots,
    Sample,
    SampleLine,
    decode_line,
    encode_sample,
    make_lot_id,
)
from buckthornstile.wire import FinishedSample, Slot

LOT = make_lot_id("mill", "geometry", "step-1")


class PromiseBroken(AssertionError):
    """The trainer saw something that a promise rules out."""


@dataclass
class Run:
    request_id: str
    entry: "Entry"
    action: DispatchSlot
    tracker: object
    versions: list = field(default_factory=list)


class Agent:
    """One engine and the agent beside it."""

    def __init__(self, name, version, make_tracker):
        self.name = name
        self.version = version
        self.life = 0
        self.make_tracker = make_tracker
        self.finished = FinishedSamples()
        self.running = RunningSlots()
        self.runs = {}

    @property
    def state(self):
        return EngineState(f"{self.name}.{self.life}", self.version)

    def start(self, run):
        self.finished.check_attach(LOT, run.action.attach)
        if self.version < run.action.minimum_version:
            raise BuckthornstileError(ErrorCode.NO_UPSTREAM, "weights too old")
        slot, minimum = run.action.slot, run.action.minimum_version
        if self.running.join(LOT, slot, run.request_id, minimum_version=minimum):
            return
        self.running.begin(LOT, slot, run.request_id, version=self.version)
        run.tracker = self.make_tracker(self.state)
        self.runs[run.request_id] = run

    def make_token(self, run):
        event = {"token": "t", "index": len(run.versions), "version": self.version}
        run.versions.append(self.version)
        run.tracker.feed(b"data: " + json.dumps(event).encode() + b"\n\n")

    def finish(self, run):
        usage = {"completion_tokens": len(run.versions)}
        event = {"usage": usage, "version": self.version}
        run.tracker.feed(b"data: " + json.dumps(event).encode() + b"\n\ndata: [DONE]\n")
        labels = run.tracker.finish(self.state)
        slot = run.action.slot
        body = json.dumps({"slot": [slot.group, slot.index], "id": run.request_id})
        sample = FinishedSample(
            run.request_id,
            LOT,
            slot.group,
            slot.index,
            body.encode(),
            b"",
            labels,
            generated_tokens=len(run.versions),
        )
        return self.finished.add(
            sample, now=0.0, minimum_version=run.action.minimum_version
        )


class Entry:
    """One entry; a kill takes its lot and starts another life."""

    def __init__(self, name):
        self.name = name
        self.life = 0
        self.counter = 0
        self.lot = None

    def make_request_id(self):
        self.counter += 1
        return f"{self.name}.{self.life}/{self.counter}"

    def kill(self):
        self.life += 1
        self.lot = None


@dataclass
class World:
    """Everything around the core; ``make_…`` options put in naive forms."""

    groups: int = 2
    samples: int = 3
    maximum_age: int = 1
    make_lot: type = Lot
    make_tracker: type = LabelTracker
    make_received: type = ReceivedSet

    def __post_init__(self):
        group = GroupSpecification(prompt="p", samples=self.samples, max_tokens=4)
        self.specification = LotSpecification(
            lot="step-1",
            trainer="geometry",
            groups=(group,) * self.groups,
            version=5,
            maximum_age=self.maximum_age,
            timeout=10_000,
        )
        self.now = 0.0
        self.agents = [Agent(f"a{n}", 5, self.make_tracker) for n in range(3)]
        self.entries = [Entry("e1"), Entry("e2")]
        self.received = self.make_received(self.specification)
        self.version = 5
        self.stream = None
        self.wire = []
        self.attaches = []
        self.acknowledgements = []
        self.truth = {}
        self.owners = {}
        self.taken = []
        self.aged = 0

    # The trainer

    def attach(self, entry, *, delayed=False):
        request = self.received.begin_attach()
        self.stream = (entry, request.attach)
        if delayed:
            self.attaches.append((entry, request))
        else:
            self.take_attach(entry, request)

    def take_attach(self, entry, request):
        if entry.lot is None:
            entry.lot = self.make_lot(self.specification, now=self.now, lot_id=LOT)
        version = request.specification.version
        try:
            actions = entry.lot.on_attach(
                request.attach, request.received, version, self.now
            )
        except BuckthornstileError:
            return
        self.carry_out(entry, actions)
        for agent in self.agents:
            self.collect(entry, agent, request.attach)

    def collect(self, entry, agent, attach):
        try:
            held = agent.finished.list_finished(LOT, attach)
        except BuckthornstileError:
            return
        for item in held:
            slot = Slot(item.slot_group, item.slot_index)
            sample = Sample(slot, item.body, item.labels, item.request_id)
            entry.lot.on_finished(sample, self.now)

    def read(self, number=0):
        """Reads any line in flight, late ones of older streams included."""
        if not self.wire:
            return
        _, attach, data = self.wire.pop(number % len(self.wire))
        line = decode_line(data)
        assert isinstance(line, SampleLine)
        receipt = self.received.receive(line)
        if receipt is Receipt.NEW:
            self.check(line)
        if receipt is not Receipt.TOO_OLD:
            self.acknowledgements.append((line.slot, attach))
        else:
            self.aged += 1

    def check(self, line):
        """The checker: knows nothing of the product's inside."""
        if line.body["slot"] != [line.group, line.index]:
            raise PromiseBroken("another slot's sample")
        if line.slot in [slot for slot, _ in self.taken]:
            raise PromiseBroken("a sample came twice")
        labels = [r.version for r in line.ranges for _ in range(r.first, r.last + 1)]
        truth = self.truth[line.body["id"]]
        if labels != truth:
            raise PromiseBroken(f"labels {labels}, but made by {truth}")
        if min(truth) < self.version - self.maximum_age:
            raise PromiseBroken("a sample older than the bound")
        self.taken.append((line.slot, line.body["id"]))

    def acknowledge(self, *, lost=False):
        if not self.acknowledgements or self.stream is None:
            return
        slot, attach = self.acknowledgements.pop(0)
        lot = self.stream[0].lot
        if lot is not None and not lost:
            lot.on_acknowledge([slot], attach=attach)

    def advance(self, *, lost=False):
        self.version += 1
        self.received.on_trainer_version(self.version)
        if not lost and self.stream is not None and self.stream[0].lot is not None:
            self.stream[0].lot.on_trainer_version(self.version)

    def restart_trainer(self):
        """Starts another life, with nothing received; old news stays on its way."""
        first_attach = self.received.next_attach
        self.received = self.make_received(
            self.specification, first_attach=first_attach
        )
        self.received.on_trainer_version(self.version)
        self.taken = []
        self.wire = []
        self.stream = None

    # Entries and agents

    def decide(self, entry, *, capacity=2, idle_capacity=1, choose=None):
        if entry.lot is None:
            return
        actions = entry.lot.decide(
            self.now, capacity=capacity, idle_capacity=idle_capacity
        )
        self.carry_out(entry, actions, choose=choose)

    def carry_out(self, entry, actions, *, choose=None):
        for action in actions:
            if isinstance(action, DispatchSlot):
                slot = action.slot
                default = (slot.group + slot.index + action.attempt) % 3
                agent = self.agents[default if choose is None else choose]
                self.dispatch(entry, agent, action)
            elif isinstance(action, DeliverSample):
                line = encode_sample(action.sample)
                self.wire.append((entry, action.attach, line))
            elif isinstance(action, CancelSlot):
                for agent in self.agents:
                    agent.runs.pop(agent.running.leave(action.request_id), None)
            elif isinstance(action, ReleaseSamples):
                for agent in self.agents:
                    agent.finished.acknowledge(action.lot, action.slots)
            elif isinstance(action, CutDelivery):
                cut = (entry, action.attach)
                self.wire = [item for item in self.wire if item[:2] != cut]

    def dispatch(self, entry, agent, action):
        request_id = entry.make_request_id()
        entry.lot.on_dispatched(action.slot, request_id, self.now)
        self.owners[request_id] = entry
        run = Run(request_id, entry, action, None)
        try:
            agent.start(run)
        except BuckthornstileError as error:
            entry.lot.on_failure(request_id, error.verdict, error.code, self.now)

    def finish(self, agent, number=0, *, lost=False):
        if not agent.runs:
            return
        request_id = list(agent.runs)[number % len(agent.runs)]
        run = agent.runs.pop(request_id)
        self.truth[request_id] = run.versions
        waiting = self.list_waiting(agent, run)
        try:
            agent.make_token(run)
            held = agent.finish(run)
        except BuckthornstileError as error:
            self.fail(waiting, error.verdict, error.code)
            return
        if lost:
            self.fail(waiting, Verdict.MAY_HAVE_RUN, None)
            return
        for waiter, lot in waiting:
            lot.on_result(waiter, held.body, held.labels, 4, self.now)

    def list_waiting(self, agent, run):
        waiting = agent.running.finish(run.request_id)
        pairs = [(request_id, self.owners[request_id].lot) for request_id in waiting]
        return [(request_id, lot) for request_id, lot in pairs if lot is not None]

    def fail(self, waiting, verdict, code):
        for request_id, lot in waiting:
            lot.on_failure(request_id, verdict, code, self.now)

    def restart(self, agent, version):
        agent.life += 1
        agent.version = version
        for run in agent.runs.values():
            self.fail(self.list_waiting(agent, run), Verdict.MAY_HAVE_RUN, None)
        agent.runs.clear()

    def run_calmly(self, rounds=60):
        """Lets everything work for a while; the lot must then be complete."""
        for _ in range(rounds):
            if self.received.is_complete:
                return
            entry = self.stream[0] if self.stream else self.entries[0]
            superseded = entry.lot is None or entry.lot.superseded
            if superseded or self.received.needs_attach:
                self.attach(entry)
            entry.lot.on_trainer_version(self.version)
            for agent in self.agents:
                agent.version = max(agent.version, self.version)
            self.now += 3.0
            self.decide(entry, capacity=100)
            for agent in self.agents:
                while agent.runs:
                    self.finish(agent)
            self.decide(entry, capacity=100)
            while self.wire:
                self.read()
            while self.acknowledgements:
                self.acknowledge()
        raise PromiseBroken("the lot stalls")
