"""Plays a plan on real processes, and checks what was seen from outside."""

import asyncio
import contextlib
import json
import time
import traceback
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.configuration import ItemName, Key
from soak._plan import DURATION, Plan, Step
from standins.launch import BenchProcess
from standins.relay import Relay
from tests.checker import CallSeen, list_arrivals
from tests.support import (
    DESK,
    MODELS,
    SECONDS_TO_STOP,
    World,
    make_lot,
)

RECOVERY = 15.0  # seconds after the last fault in which all is served again
CLIENT_PAUSE = 0.03  # seconds
LOT_PAUSE = 0.2  # seconds
STORE_RETENTION = 20.0  # seconds
ENGINE_FLAGS = {"event_seconds": 0.004, "drain_seconds": 1.0}
DESK_FLAGS = {"work_seconds": 0.01, "drain_seconds": 1.0}


@dataclass(slots=True)
class Outcome:
    """What became of one seed."""

    seed: int
    problems: list[str] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    samples: int = 0
    seconds: float = 0.0
    steps: list[str] = field(default_factory=list)


class SoakRun:
    """One deployment under one plan.

    Every entry reaches the store by a relay of its own.

    Args:
        world: The store and workers, started.
        plan: What happens.
        seconds: Seconds of load before all is healed.
    """

    def __init__(self, world: World, plan: Plan, *, seconds: float = DURATION) -> None:
        self.seconds = seconds
        self.world = world
        self.plan = plan
        self.relays: dict[str, Relay] = {}
        self.drained: dict[str, float] = {}
        self.drain_spans: list[tuple[str, float, float]] = []
        self.withdrawn_at = 0.0
        self.version = 1
        self.steps: list[str] = []
        self.stack = contextlib.ExitStack()
        self.changes = asyncio.Lock()

    # Processes

    def start(self) -> None:
        """Starts entries behind relays, and a second account's key."""
        world = self.world
        for number in range(self.plan.entries):
            name = f"entry-{number}"
            relay = self.stack.enter_context(
                Relay(world.store.address, world.store.port)
            )
            self.relays[name] = relay
            self.start_entry(name)
        self.other_key, items = world.make_account("quay")
        self.other_item = next(item for item in items if isinstance(item, Key))
        world.evidence.keys.append(self.other_key)
        world.change(*items)
        world.wait_ready()

    def start_entry(self, name: str, *, again: bool = False) -> BenchProcess:
        relay = self.relays[name]
        number = int(name.rpartition("-")[2])
        return self.world.add_entry(
            name,
            f"bench-{'abc'[number % 3]}",
            instead_of=self.world.entries[name] if again else None,
            store_address=f"{relay.address}:{relay.port}",
        )

    # Steps

    async def run(self) -> list[str]:
        """Plays the steps under load, then checks.

        Returns:
            What was seen to be wrong.
        """
        stopping = asyncio.Event()
        load = asyncio.create_task(self.run_load(stopping))
        try:
            await self.run_steps()
            recovery = await self.check_recovery()
        finally:
            stopping.set()
            await load
        return recovery + await asyncio.to_thread(self.check)

    async def run_steps(self) -> None:
        """Carries out the plan; steps overlap where their times do."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in self.plan.steps:
                await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
                group.create_task(self._run_step(step))
            left = started + self.seconds - time.monotonic()
            await asyncio.sleep(max(0.0, left))
        await asyncio.to_thread(self._heal)

    async def _run_step(self, step: Step) -> None:
        self.steps.append(f"{step.at:6.2f} {step}")
        action = getattr(self, f"_do_{step.kind}")
        await action(step)

    def _choose(self, names: list[str], step: Step) -> str:
        return names[step.target % len(names)]

    def _choose_entry(self, step: Step) -> str:
        return self._choose(sorted(self.world.entries), step)

    async def _do_kill(self, step: Step) -> None:
        await self._end_entry(step, lambda entry: entry.kill())

    async def _do_stop(self, step: Step) -> None:
        await self._end_entry(step, lambda entry: entry.stop(timeout=15.0))

    async def _end_entry(self, step: Step, end: Any) -> None:
        name = self._choose_entry(step)
        entry = self.world.entries[name]
        if not entry.is_running:
            return
        await asyncio.to_thread(end, entry)
        await asyncio.sleep(step.seconds)
        if self.world.entries[name] is entry:
            await asyncio.to_thread(self.start_entry, name, again=True)

    async def _do_pause(self, step: Step) -> None:
        await _pause(self.world.entries[self._choose_entry(step)], step.seconds)

    async def _do_worker_pause(self, step: Step) -> None:
        name = self._choose(sorted(self.world.workers), step)
        await _pause(self.world.workers[name], step.seconds)

    async def _do_store_pause(self, step: Step) -> None:
        await _pause(self.world.store, step.seconds)

    async def _do_worker_kill(self, step: Step) -> None:
        await self._end_worker(step, kill=True)

    async def _do_worker_stop(self, step: Step) -> None:
        await self._end_worker(step, kill=False)

    async def _end_worker(self, step: Step, *, kill: bool) -> None:
        world = self.world
        name = self._choose(sorted(world.workers), step)
        worker = world.workers[name]
        if not worker.is_running or worker.asked_to_stop:
            return
        world.evidence.lost_journals.add(name)
        if kill:
            worker.kill()
        else:
            worker.ask_to_stop()
            await asyncio.to_thread(worker.stop)
        await asyncio.sleep(step.seconds)
        number = int(name.rpartition("-")[2])
        domain = f"bench-{'abc'[number]}"
        start, flags = world.add_worker, dict(DESK_FLAGS, service=DESK)
        if name.startswith("engine"):
            start, flags = world.add_engine, dict(ENGINE_FLAGS, service=MODELS)
            flags["version"] = self.version
        await asyncio.to_thread(start, name, domain, **flags)

    async def _do_worker_fault(self, step: Step) -> None:
        name = self._choose(sorted(self.world.workers), step)
        worker = self.world.workers[name]
        fault = {"kind": step.variant, "count": 4, "seconds": step.seconds, "value": 9}
        with contextlib.suppress(OSError):
            await asyncio.to_thread(worker.add_fault, **fault)

    async def _do_store_fault(self, step: Step) -> None:
        store = self.world.store
        target = ("", "append", "read")[step.target % 3]
        with contextlib.suppress(OSError):
            await asyncio.to_thread(
                store.add_fault, step.variant, target=target, seconds=step.seconds
            )
            await asyncio.sleep(step.seconds)
            path = f"/control/faults?kind={step.variant}"
            await asyncio.to_thread(store.call, "DELETE", path)

    async def _do_compact(self, step: Step) -> None:
        with contextlib.suppress(OSError):
            await asyncio.to_thread(self.world.store.call, "POST", "/control/compact")

    async def _do_link_cut(self, step: Step) -> None:
        relay = self.relays[self._choose_entry(step)]
        await asyncio.to_thread(relay.cut)
        await asyncio.sleep(step.seconds)
        relay.restore()

    async def _do_link_reset(self, step: Step) -> None:
        await asyncio.to_thread(self.relays[self._choose_entry(step)].reset)

    async def _do_link_delay(self, step: Step) -> None:
        relay = self.relays[self._choose_entry(step)]
        relay.delay_seconds = 0.3
        await asyncio.sleep(step.seconds)
        relay.restore()

    async def _do_link_silence(self, step: Step) -> None:
        relay = self.relays[self._choose_entry(step)]
        relay.silenced = frozenset({step.variant})
        await asyncio.sleep(step.seconds)
        relay.restore()

    async def _do_drain(self, step: Step) -> None:
        domain = f"bench-{'abc'[step.target % 3]}"
        if domain in self.drained:
            return
        try:
            async with self.changes:
                await asyncio.to_thread(self.world.drain, domain)
            self.drained[domain] = time.time()
            await asyncio.sleep(step.seconds)
            async with self.changes:
                name = ItemName(kind="drain", name=domain)
                ended = time.time()
                await asyncio.to_thread(lambda: self.world.change(remove=[name]))
            self.drain_spans.append((domain, self.drained[domain], ended))
        except OSError:
            # The store did not take it: the operator tries no further.
            return

    async def _do_withdraw(self, step: Step) -> None:
        if self.withdrawn_at:
            return
        item = self.other_item.model_copy(update={"withdrawn": True})
        with contextlib.suppress(OSError):
            async with self.changes:
                await asyncio.to_thread(self.world.change, item)
            self.withdrawn_at = time.time()

    async def _do_version(self, step: Step) -> None:
        trainer = self.world.make_trainer()
        with contextlib.suppress(BuckthornstileError):
            await trainer.set_version(self.version + 1)
            self.version += 1

    def _heal(self) -> None:
        """Ends every fault and brings back what is gone."""
        self.world.store.resume()
        self.world.store.clear_faults()
        for relay in self.relays.values():
            relay.restore()
        for worker in self.world.workers.values():
            if worker.is_running:
                worker.resume()
                worker.clear_faults()
        for name, entry in list(self.world.entries.items()):
            entry.resume() if entry.is_running else self.start_entry(name, again=True)

    # Load

    async def run_load(self, stopping: asyncio.Event) -> None:
        """Sends calls of all kinds and lots until told to stop."""
        world = self.world
        caller = world.make_caller()
        other = world.make_caller(key=self.other_key, attempts=1)
        kinds = [
            lambda: world.order(caller, timeout=8.0),
            lambda: world.look_up(caller, timeout=8.0),
            lambda: world.complete(caller, timeout=8.0),
            lambda: world.complete(caller, stream=True, tokens=150, timeout=8.0),
            lambda: world.order(other, account="quay", timeout=8.0),
        ]

        async def loop(call: Any) -> None:
            while not stopping.is_set():
                await call()
                await asyncio.sleep(CLIENT_PAUSE)

        async with asyncio.TaskGroup() as group:
            for call in kinds:
                group.create_task(loop(call))
            group.create_task(self._keep_connection(stopping))
            group.create_task(self._run_lots(stopping))

    async def _run_lots(self, stopping: asyncio.Event) -> None:
        number = 0
        while not stopping.is_set():
            lot = make_lot(f"lot-{number}", groups=2, samples=4, maximum_age=2)
            lot = lot.model_copy(update={"version": self.version, "timeout": 12.0})
            trainer = self.world.make_trainer()
            with contextlib.suppress(BuckthornstileError):
                await self.world.run_lot(trainer, lot, get_version=lambda: self.version)
            number += 1
            await asyncio.sleep(LOT_PAUSE)

    async def _keep_connection(self, stopping: asyncio.Event) -> None:
        """Sends lookups on one connection until its entry is gone, then on another."""
        number = 0
        while not stopping.is_set():
            urls = self.world.entry_urls
            if urls:
                host, _, port = urls[number % len(urls)][7:].rpartition(":")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._use_connection(host, int(port), stopping)
            number += 1
            await asyncio.sleep(CLIENT_PAUSE)

    async def _use_connection(
        self, host: str, port: int, stopping: asyncio.Event
    ) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while not stopping.is_set():
                name = f"kept-{next(self.world.names)}"
                body = json.dumps({"name": name}).encode()
                seen = CallSeen("mill", "lookup", name, body, began=time.time())
                self.world.evidence.calls.append(seen)
                head = (
                    f"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Timeout: 5\r\n"
                    f"Authorization: Bearer {self.world.key}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                async with asyncio.timeout(8.0):
                    is_last = await _read_answer(reader, seen)
                if is_last:
                    return
                await asyncio.sleep(CLIENT_PAUSE)
        except TimeoutError:
            return
        finally:
            writer.transport.abort()

    # Checks

    def check(self) -> list[str]:
        """Checks every promise; gives what is wrong."""
        problems = []
        checks = (self.world.check, self._check_drains, self._check_withdrawal)
        for check in checks:
            try:
                check()
            except AssertionError as error:
                text = traceback.format_exception_only(error)
                problems.append("".join(text).strip()[:600])
        for name, process in self.world.entries.items():
            if not process.is_running:
                problems.append(f"{name} ended with status {process.process.poll()}")
            for event in process.read_events("task.failed"):
                problems.append(f"{name}: {event}")
        return problems

    def _check_drains(self) -> None:
        for domain, begun, ended in self.drain_spans:
            for name in self.world.evidence.upstreams:
                if f"bench-{'abc'[int(name[-1])]}" != domain:
                    continue
                late = [
                    at
                    for at in list_arrivals(self.world.evidence, name)
                    if begun + SECONDS_TO_STOP < at < ended
                ]
                assert not late, f"{name} got {len(late)} requests while drained"

    def _check_withdrawal(self) -> None:
        if not self.withdrawn_at:
            return
        bound = self.withdrawn_at + SECONDS_TO_STOP
        served = [
            call.name
            for call in self.world.evidence.calls
            if call.account == "quay" and call.status == 200 and call.began > bound
        ]
        assert not served, f"served under a withdrawn key: {served[:5]}"

    async def check_recovery(self) -> list[str]:
        """Checks that all kinds of calls are served again in time."""
        caller = self.world.make_caller(attempts=2)
        end = time.monotonic() + RECOVERY
        failed: list[str] = []
        while time.monotonic() < end:
            seen = [
                await self.world.look_up(caller, timeout=2.0),
                await self.world.order(caller, timeout=2.0),
                await self.world.complete(caller, timeout=4.0),
            ]
            failed = [f"{one.kind}: {one.code}" for one in seen if one.status != 200]
            if not failed:
                return []
            await asyncio.sleep(0.3)
        return [f"not served again: {failed}"]


async def _pause(process: BenchProcess, seconds: float) -> None:
    if not process.is_running:
        return
    process.pause()
    try:
        await asyncio.sleep(seconds)
    finally:
        if process.is_running:
            process.resume()


async def _read_answer(reader: asyncio.StreamReader, seen: CallSeen) -> bool:
    """Reads one answer; gives whether the entry closes the connection after it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(fields["content-length"]))
    seen.ended = time.time()
    status = int(lines[0].split()[1])
    if status == 200:
        seen.status, seen.answer = 200, body
    else:
        error = json.loads(body)["error"]
        seen.code, seen.verdict = error["code"], error["verdict"]
    return fields.get("connection") == "close"


def play(plan: Plan) -> Outcome:
    """Plays a plan; every process has ended when this returns.

    Args:
        plan: The plan.

    Returns:
        What was seen to be wrong, and how much was done.
    """
    started = time.monotonic()
    outcome = Outcome(plan.seed)
    world = World(
        engines=plan.engines,
        services=plan.desks,
        entries=0,
        engine_flags=ENGINE_FLAGS,
        service_flags=DESK_FLAGS,
        entry_settings={"stop_grace": 8},
        store_flags={"retention": STORE_RETENTION},
    )
    with world:
        soak = SoakRun(world, plan)
        with soak.stack:
            soak.start()
            outcome.problems = asyncio.run(_run(soak))
        outcome.steps = soak.steps
    calls = world.evidence.calls
    outcome.calls = dict(Counter(call.code or str(call.status) for call in calls))
    outcome.samples = len(world.evidence.samples)
    outcome.seconds = time.monotonic() - started
    return outcome


async def _run(soak: SoakRun) -> list[str]:
    asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(24))
    return await soak.run()
