"""The runner on fake ports and a virtual clock."""

import asyncio
import random

import pytest

from buckthornstile.base import Offset, PlatformUnavailableError
from buckthornstile.control import ControlRunner, make_control_core
from buckthornstile.control.tests.simulation import START
from buckthornstile.orders import OrderAnswer, OrderWish
from buckthornstile.ports import LogEntry, LogPage, PlatformPorts


class Platform:
    """All ports in one object, with an outage switch and a clock."""

    def __init__(self):
        self.now = 100.0
        self.records = []
        self.orders = []
        self.reports = []
        self.is_out = False
        self.sleeps = []

    def check(self):
        if self.is_out:
            raise PlatformUnavailableError("out")

    async def append(self, data):
        self.check()
        self.records.append(data)
        return Offset(len(self.records) - 1)

    async def read(self, first, *, limit=500, wait=0.0):
        await asyncio.sleep(0)
        self.now += wait / 10
        self.check()
        entries = enumerate(self.records[first : first + limit], first)
        page = tuple(LogEntry(Offset(i), data) for i, data in entries)
        return LogPage(page, Offset(0), Offset(len(self.records)))

    async def order(self, order, *, timeout):
        self.check()
        self.orders.append(order)

    async def list_orders(self):
        return tuple(order.order_id for order in self.orders)

    async def report(self, seal, *, timeout):
        self.check()
        self.reports.append(seal)

    async def sleep(self, seconds):
        self.sleeps.append(seconds)
        self.now += seconds
        await asyncio.sleep(0)


def make_runner(platform, name="e1", **options):
    async def send_agent_order(action):
        platform.orders.append(action)
        return OrderAnswer.DONE

    ports = PlatformPorts(
        log=platform,
        vm_list=None,
        orders=platform,
        usage_reports=platform,
        weights=None,
    )
    core = make_control_core(name, f"{name}-1", random.Random(0), window=10, grace=1.0)
    return ControlRunner(
        ports,
        core,
        send_agent_order,
        read_clock=lambda: platform.now,
        read_wall=lambda: platform.now,
        sleep=platform.sleep,
        **options,
    )


async def step(platform, runner, count=1):
    for _ in range(count):
        platform.now += 0.25
        await runner.read_once()
        runner.act()
        await runner.settle()


def test_runner_orders_and_reports():
    platform = Platform()
    heard = []

    def fail(offset, record, read_at):
        raise RuntimeError("a fault in one listener")

    def hear(offset, record, read_at):
        heard.append(offset)

    runner = make_runner(platform, listeners=[fail, hear])
    swap = OrderWish("load_version", upstream="u1", service="m", version=3)
    runner.core.request_orders([START, swap])
    asyncio.run(step(platform, runner, 80))
    status = runner.core.make_status(platform.now)
    assert status.is_holder
    assert status.open_orders == 0
    assert len(platform.orders) == 2
    assert runner.core.fold.weight_targets == {"m": 3}
    assert platform.reports
    assert heard == list(range(len(heard)))
    assert runner.counters["listener.failed"] == len(heard)


def test_write_is_dropped_when_the_lease_ends_before_it():
    platform = Platform()
    runner = make_runner(platform)

    async def run():
        await step(platform, runner, 20)
        runner.core.request_orders([START])
        runner.act()
        await runner.settle()
        await runner.read_once()
        runner.act()
        # The process is suspended between its decision and its write.
        platform.now += 60.0
        await runner.settle()

    asyncio.run(run())
    assert runner.core.counters["order.not_sent"] == 1
    assert not platform.orders


def test_runner_survives_an_outage_and_stops():
    platform = Platform()
    runner = make_runner(platform)

    async def run():
        running = asyncio.create_task(runner.run())
        while not runner.core.make_status(platform.now).is_holder:
            await asyncio.sleep(0)
        platform.is_out = True
        while runner.counters["log.read_failed"] < 8:
            await asyncio.sleep(0)
        platform.is_out = False
        while runner.core.may_act(platform.now, order_seconds=0.0) is None:
            await asyncio.sleep(0)
        await runner.stop()
        await running

    asyncio.run(asyncio.wait_for(run(), 20.0))
    assert max(platform.sleeps) == pytest.approx(5.0)
    status = runner.core.make_status(platform.now)
    assert not status.is_holder
    assert runner.core.fold.lease.state.released


class BusyLog(Platform):
    """A log that grows by a record each hundredth of a second."""

    reads = 0

    async def read(self, first, *, limit=500, wait=0.0):
        await asyncio.sleep(0)
        self.reads += 1
        due = max(first + 1, round((self.now - 100.0) * 100))
        due = min(due, first + limit)
        self.now = max(self.now, 100.0 + due / 100)
        release = b'{"kind":"lease_release","holder":"e","incarnation":"i","term":9}'
        page = tuple(LogEntry(Offset(i), release) for i in range(first, due))
        return LogPage(page, Offset(0), Offset(due))


def test_a_busy_log_is_read_page_by_page_and_not_record_by_record():
    platform = BusyLog()
    runner = make_runner(platform)

    async def run():
        reading = asyncio.create_task(runner._read_on())
        while platform.now < 110.0 and platform.reads < 200:
            await asyncio.sleep(0)
        runner._is_stopped = True
        await reading

    asyncio.run(asyncio.wait_for(run(), 20.0))
    assert runner.core.fold.offset >= 900
    assert platform.reads <= 110
