"""All faults of control and usage, interleaved by hypothesis.

The invariants read only what the platform saw.
"""

import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from buckthornstile.control import SendReport
from buckthornstile.control.tests import naive
from buckthornstile.control.tests.scripts import make_line
from buckthornstile.control.tests.simulation import Fate, World
from buckthornstile.orders import SendUpstreamOrder
from buckthornstile.records import ControlSnapshot, UsageBatch, UsageRecovery
from buckthornstile.usage import UsageCounter, UsageLedger

FAULTS = (Fate.LOST, Fate.ANSWER_LOST, Fate.LATE)
FAULT_SHARE = 0.3
MAX_DELAY_SECONDS = 30.0
MAX_TARGET = 6
MAX_STEPS_TO_WRITE = 60
WRITES = (SendReport, SendUpstreamOrder)

CANDIDATES = st.integers(0, 2)
ENTRIES = st.integers(0, 1)
SEEDS = st.integers(0, 2**16)


def make_fates(seed):
    rng = random.Random(seed)

    def choose_fate():
        if rng.random() > FAULT_SHARE:
            return Fate.GOOD, 0.0
        return rng.choice(FAULTS), rng.uniform(0.0, MAX_DELAY_SECONDS)

    return choose_fate


class UsageSide:
    """Two entries and two agents that count what they run."""

    def __init__(self):
        self.births = 0
        self.agents = [UsageLedger(f"a{i}") for i in range(2)]
        self.gone = []
        self.next_offset = 0
        self.truth = {}
        self.open = []
        self.entries = [None, None]
        self.restart(0)
        self.restart(1)

    def restart(self, index):
        if self.entries[index] is not None:
            self.gone.append(self.entries[index].incarnation)
        self.births += 1
        self.entries[index] = UsageCounter(f"x{index}-{self.births}", interval=1.0)
        self.entries[index].next_counter = 0

    def run_request(self, entry, agent, account, tokens, knows):
        counter = entry.next_counter
        entry.next_counter += 1
        entry.open(counter)
        line = make_line(account=account, tokens=tokens)
        self.agents[agent].open(entry.incarnation, counter)
        self.agents[agent].finish(entry.incarnation, counter, line)
        old = self.truth.get(account, (0, 0))
        self.truth[account] = (old[0] + 1, old[1] + tokens)
        if knows:
            entry.finish(counter, line)
        else:
            self.open.append((entry, counter, line))

    def tell_entries(self):
        """The agents tell the entries what they had not learnt."""
        for entry, counter, line in self.open:
            entry.finish(counter, line)
        self.open = []

    def read(self, log):
        for offset, record in log.read(self.next_offset):
            self.next_offset = offset + 1
            if isinstance(record, UsageRecovery):
                for agent in self.agents:
                    agent.on_recovered(record)
            if isinstance(record, UsageBatch):
                self.confirm(record)

    def confirm(self, batch):
        for entry in self.entries:
            through = entry.confirm(batch)
            for agent in self.agents:
                agent.confirm(entry.incarnation, through)

    def append(self, world, choose_fate, thought_gone=()):
        for entry in self.entries:
            self.append_one(world, entry.make_batch(world.now), choose_fate())
        for agent in self.agents:
            recovery = agent.recover(world.now, [*self.gone, *thought_gone])
            self.append_one(world, recovery, choose_fate())

    def append_one(self, world, record, fate):
        if record is not None:
            world.log.append(record, world.now, *fate)


class ControlMachine(RuleBasedStateMachine):
    parts = {}

    def __init__(self):
        super().__init__()
        self.world = World(rates=(1.0, 0.985, 1.015), **self.parts)
        self.world.beats = True
        self.usage = UsageSide()

    @rule(seconds=st.sampled_from([0.5, 4.0, 15.0, 40.0]), seed=SEEDS)
    def advance(self, seconds, seed):
        self.world.advance(seconds, choose_fate=make_fates(seed))

    @rule(index=CANDIDATES)
    def pause(self, index):
        self.world.processes[index].is_paused = True

    @rule(index=CANDIDATES)
    def resume(self, index):
        self.world.processes[index].is_paused = False

    @rule(index=CANDIDATES)
    def kill(self, index):
        self.world.kill(index)

    @rule()
    def pause_holder_before_write(self):
        process = self.world.get_holder()
        for _ in range(MAX_STEPS_TO_WRITE if process else 0):
            if any(isinstance(action, WRITES) for action in process.waiting):
                process.is_paused = True
                return
            self.world.advance(0.25)

    @rule(reads=st.booleans(), appends=st.booleans(), reports=st.booleans())
    def cut_holder(self, reads, appends, reports):
        holder = self.world.get_holder()
        if holder:
            holder.reads = reads
            holder.appends_lost = not appends
            holder.reports_lost = not reports

    @rule(index=CANDIDATES, reads=st.booleans(), appends=st.booleans())
    def cut_candidate(self, index, reads, appends):
        process = self.world.processes[index]
        process.reads = reads
        process.appends_lost = not appends
        process.reports_lost = False

    @rule(seconds=st.sampled_from([2.0, 12.0, 30.0]), seed=SEEDS)
    def lose_log(self, seconds, seed):
        self.world.log.is_out = True
        self.world.advance(seconds, choose_fate=make_fates(seed))
        self.world.log.is_out = False

    @rule(is_out=st.booleans())
    def change_lists(self, is_out):
        self.world.platform.lists_are_out = is_out

    @rule(seconds=st.sampled_from([1.0, 15.0]))
    def heal(self, seconds):
        self.world.settle(seconds)

    @rule()
    def want_upstream(self):
        self.world.target = min(self.world.target + 1, MAX_TARGET)

    @rule()
    def trim_log(self):
        log = self.world.log
        for _, record in log.read(log.first_retained):
            if isinstance(record, ControlSnapshot):
                keeps = min(record.through + 1, self.usage.next_offset)
                log.first_retained = max(log.first_retained, keeps)

    @rule(
        index=ENTRIES,
        agent=ENTRIES,
        account=st.sampled_from(["mill-7", "members"]),
        tokens=st.integers(0, 9),
        knows=st.booleans(),
    )
    def run_request(self, index, agent, account, tokens, knows):
        entry = self.usage.entries[index]
        self.usage.run_request(entry, agent, account, tokens, knows)

    @rule(seed=SEEDS, wrong=st.booleans())
    def append_usage(self, seed, wrong):
        live = [entry.incarnation for entry in self.usage.entries]
        thought_gone = live if wrong else ()
        self.usage.append(self.world, make_fates(seed), thought_gone)

    @rule()
    def read_usage(self):
        if not self.world.log.is_out:
            self.usage.read(self.world.log)

    @rule(index=ENTRIES)
    def kill_entry(self, index):
        self.usage.restart(index)

    @invariant()
    def check_platform(self):
        self.world.platform.check()

    def teardown(self):
        self.world.settle(MAX_DELAY_SECONDS)
        self.usage.tell_entries()
        for _ in range(40):
            self.usage.append(self.world, lambda: (Fate.GOOD, 0.0))
            self.usage.read(self.world.log)
            self.world.advance(2.0)
        self.world.platform.check()
        billed = self.world.platform.get_totals()
        assert billed == self.usage.truth, "usage is billed wrongly"
        assert len(self.world.platform.orders) >= self.world.target
        for process in self.world.processes:
            process.read(self.world)
            assert process.core.fold.is_ready
        states = [p.core.fold.make_snapshot().state for p in self.world.processes]
        assert states[0] == states[1] == states[2]


MACHINE_SETTINGS = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    report_multiple_bugs=False,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_promises_hold_under_all_faults():
    run_state_machine_as_test(ControlMachine, settings=MACHINE_SETTINGS)


@pytest.mark.parametrize(
    ("parts", "message"),
    [
        ({"rechecks": False}, "acted in term"),
        ({"usage_fold": naive.RangelessFold}, "usage is billed wrongly"),
        ({"planner": naive.ResendingPlanner}, "carried out twice"),
    ],
)
def test_machine_finds_a_naive_form(parts, message):
    machine = type("NaiveMachine", (ControlMachine,), {"parts": parts})
    without_shrinking = settings(
        MACHINE_SETTINGS, max_examples=300, phases=[Phase.generate]
    )
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(machine, settings=without_shrinking)
