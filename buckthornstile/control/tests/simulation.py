"""A small log, platform and processes on a virtual clock, with faults."""

import random
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from buckthornstile.base import Offset
from buckthornstile.control import (
    Append,
    ControlCore,
    ControlFold,
    ReportPlanner,
    SendReport,
    SnapshotPlanner,
)
from buckthornstile.lease import LeaseFold, LeaseKeeper
from buckthornstile.orders import (
    OrderAnswer,
    OrderPlanner,
    OrderWish,
    ReadOrders,
    SendUpstreamOrder,
)
from buckthornstile.records import (
    OrderOutcome,
    decode_record,
    encode_record,
)
from buckthornstile.usage import UsageFold

WINDOW = 10
GRACE = 2.0
BEAT_SECONDS = 0.1
DURATION = 9.0
START = OrderWish("start", "bench-a", "geometry-models")


class Fate(Enum):
    """What becomes of one call to the platform."""

    GOOD = "good"
    LOST = "lost"
    ANSWER_LOST = "answer lost"
    LATE = "late"


class FakeLog:
    def __init__(self):
        self.records = []
        self.landed_at = []
        self.first_retained = 0
        self.is_out = False
        self._late = []

    def append(self, record, now, fate=Fate.GOOD, delay=0.0):
        if self.is_out or fate is Fate.LOST:
            return
        if fate is Fate.LATE:
            self._late.append((now + delay, len(self._late), encode_record(record)))
        else:
            self._add(encode_record(record), now)

    def land(self, now):
        if self.is_out:
            return
        due = sorted(item for item in self._late if item[0] <= now)
        self._late = [item for item in self._late if item[0] > now]
        for _, _, data in due:
            self._add(data, now)

    def _add(self, data, now):
        self.records.append(data)
        self.landed_at.append(now)

    def read(self, first, limit=500, landed_by=float("inf")):
        first = max(first, self.first_retained)
        end = min(first + limit, bisect_right(self.landed_at, landed_by))
        page = self.records[first:end]
        return [(first + index, decode_record(data)) for index, data in enumerate(page)]


@dataclass
class FakePlatform:
    """Carries out whatever it is sent: ignores fencing and idempotency."""

    orders: list = field(default_factory=list)
    writes: list = field(default_factory=list)
    reports: list = field(default_factory=list)
    lists_are_out: bool = False
    _late: list = field(default_factory=list)

    def order(self, order, sender, now, fate=Fate.GOOD, delay=0.0):
        if fate is Fate.LATE:
            self._late.append((now + delay, order, sender))
        elif fate is not Fate.LOST:
            self._carry_out(order, sender)

    def land(self, now):
        for item in [late for late in self._late if late[0] <= now]:
            self._late.remove(item)
            self._carry_out(item[1], item[2])

    def report(self, seal, sender, term, fate=Fate.GOOD):
        if fate is not Fate.LOST:
            self.reports.append(seal)
            self.writes.append((term, sender))

    def _carry_out(self, order, sender):
        self.orders.append(order)
        self.writes.append((order.term, sender))

    def check(self):
        self.check_one_in_charge()
        self.check_reports()
        ids = [order.order_id for order in self.orders]
        assert len(ids) == len(set(ids)), f"an order was carried out twice: {ids}"

    def check_one_in_charge(self):
        senders = {}
        latest = -1
        for term, sender in self.writes:
            assert term >= latest, f"{sender} acted in term {term} after {latest}"
            assert senders.setdefault(term, sender) == sender, "two in one term"
            latest = term

    def check_reports(self):
        figures = {}
        for seal in self.reports:
            known = figures.setdefault(seal.window, seal.lines)
            assert known == seal.lines, f"window {seal.window} has two figures"

    def get_totals(self):
        """Sums each window once, as the platform bills it."""
        totals = {}
        for seal in {seal.window: seal for seal in self.reports}.values():
            for line in seal.lines:
                amount = (line.requests, line.generated_tokens)
                old = totals.get(line.account, (0, 0))
                totals[line.account] = (old[0] + amount[0], old[1] + amount[1])
        return totals


class Process:
    """One candidate; its clock has its own start and rate."""

    def __init__(self, name, incarnation, *, rate=1.0, start=0.0, seed=0, **parts):
        self.name = name
        self.rate = rate
        self.start = start
        self.is_paused = False
        self.reads = True
        self.read_delay = 0.0
        self.reports_lost = False
        self.appends_lost = False
        self.rechecks = parts.get("rechecks", True)
        self.waiting = deque()
        self.done = 0
        self.next_offset = 0
        fold = ControlFold(
            lease=parts.get("lease_fold", LeaseFold)(clock_rate_error=0.02),
            usage=parts.get("usage_fold", UsageFold)(),
        )
        keeper = parts.get("keeper", LeaseKeeper)(
            fold.lease,
            name,
            incarnation,
            random.Random(f"{seed}/{incarnation}"),
            duration=DURATION,
            jitter=1.0,
        )
        self.core = ControlCore(
            fold,
            keeper,
            parts.get("planner", OrderPlanner)(fold.orders),
            ReportPlanner(fold.usage, window=WINDOW, grace=GRACE, retry=1.0),
            SnapshotPlanner(fold, seconds=60.0),
        )

    @property
    def sender(self):
        return self.core.keeper.incarnation

    def get_clock(self, now):
        return self.start + now * self.rate

    def read(self, world):
        if not self.reads or world.log.is_out:
            return
        now = self.get_clock(world.now)
        self.core.keeper.last_read_at = now
        self.core.fold.skip_to(Offset(world.log.first_retained))
        landed_by = world.now - self.read_delay
        for offset, record in world.log.read(self.next_offset, landed_by=landed_by):
            accepted = self.core.apply(Offset(offset), record, read_at=now)
            self.next_offset = offset + 1
            if accepted and isinstance(record, OrderOutcome):
                self.done += record.outcome == "done"

    def wish(self, target):
        """Wishes for one upstream more until the log shows enough starts."""
        self.core.request_orders([START] if self.done < target else [])

    def decide(self, world):
        now = self.get_clock(world.now)
        self.waiting.extend(self.core.decide(now, wall_now=world.wall_now))

    def act(self, world, choose_fate):
        while self.waiting:
            self.run_action(world, self.waiting.popleft(), choose_fate())

    def run_action(self, world, action, fate):
        now = self.get_clock(world.now)
        if isinstance(action, Append):
            fate, delay = (Fate.LOST, 0.0) if self.appends_lost else fate
            is_held = self.may_act(world, 0.0) is not None
            if is_held or not action.needs_lease:
                world.log.append(action.record, world.now, fate, delay)
        elif isinstance(action, SendReport):
            term = self.may_act(world, action.timeout)
            fate = Fate.LOST if self.reports_lost else fate[0]
            if term is not None:
                world.platform.report(action.seal, self.sender, term, fate)
            taken = term is not None and fate is Fate.GOOD
            self.core.on_report_result(action.seal.window, taken, now)
        elif isinstance(action, SendUpstreamOrder):
            answer = self.send_order(world, action, fate[0])
            self.core.on_order_answer(action.order.order_id, answer, now)
        elif isinstance(action, ReadOrders) and not world.platform.lists_are_out:
            listed = [order.order_id for order in world.platform.orders]
            self.core.on_orders_listed(listed, started_at=now)

    def send_order(self, world, action, fate):
        if self.may_act(world, action.timeout) is None:
            return OrderAnswer.NOT_SENT
        # The platform refuses an order whose own deadline has passed.
        delay = action.timeout * 0.9 / 1.02
        world.platform.order(action.order, self.sender, world.now, fate, delay)
        return OrderAnswer.DONE if fate is Fate.GOOD else OrderAnswer.UNKNOWN

    def beat(self, world):
        """Writes to the platform whenever it may, so that any overlap shows."""
        now = self.get_clock(world.now)
        term = self.core.may_act(now, order_seconds=BEAT_SECONDS)
        if term is not None:
            world.platform.writes.append((term, self.sender))

    def may_act(self, world, order_seconds):
        if not self.rechecks:
            return self.core.fold.lease.term
        now = self.get_clock(world.now)
        return self.core.may_act(now, order_seconds=order_seconds)


class World:
    """Three candidates over one log and platform, in virtual time."""

    def __init__(self, *, seed=0, rates=(1.0, 0.99, 1.01), **parts):
        self.now = 0.0
        self.wall_now = 1_000_000.0
        self.log = FakeLog()
        self.platform = FakePlatform()
        self.seed = seed
        self.rates = rates
        self.parts = parts
        self.target = 0
        self.beats = False
        self.births = 0
        self.processes = [self.make_process(i) for i in range(len(rates))]

    def make_process(self, index):
        self.births += 1
        return Process(
            f"e{index}",
            f"e{index}-{self.births}",
            rate=self.rates[index],
            start=1000.0 * index,
            seed=self.seed,
            **self.parts,
        )

    def kill(self, index):
        self.processes[index] = self.make_process(index)

    def advance(self, seconds, *, step=0.25, choose_fate=lambda: (Fate.GOOD, 0.0)):
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += step
            self.wall_now += step
            self.log.land(self.now)
            self.platform.land(self.now)
            for process in self.processes:
                if process.is_paused:
                    continue
                # A process that wakes up first goes on with what it was doing.
                process.act(self, choose_fate)
                process.read(self)
                process.wish(self.target)
                process.decide(self)
                if self.beats:
                    process.beat(self)

    def get_holder(self, *, other_than=None):
        for process in self.processes:
            now = process.get_clock(self.now)
            is_held = process.core.may_act(now, order_seconds=0.0) is not None
            if is_held and process is not other_than:
                return process
        return None

    def wait_for_holder(self, *, other_than=None, limit=120.0):
        ends_at = self.now + limit
        while self.now < ends_at:
            self.advance(0.25)
            holder = self.get_holder(other_than=other_than)
            if holder is not None:
                return holder
        raise TimeoutError("nobody holds the lease")

    def settle(self, seconds=60.0):
        """Ends all faults and lets everything finish."""
        self.log.is_out = False
        self.platform.lists_are_out = False
        for process in self.processes:
            process.is_paused = False
            process.reads = True
            process.read_delay = 0.0
            process.reports_lost = False
            process.appends_lost = False
        self.advance(seconds)
