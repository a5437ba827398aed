"""Carries out the faults and changes of a plan."""

import asyncio
import contextlib
import time
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.configuration import ItemName
from soak._deployment import SoakDeployment
from soak._plan import Step
from standins.launch import BenchProcess
from tests.support import DESK, MODELS

ENGINE_FLAGS = {"event_seconds": 0.004, "drain_seconds": 1.0}
DESK_FLAGS = {"work_seconds": 0.01, "drain_seconds": 1.0}


class StepRunner:
    """Carries out steps; they overlap where their times do.

    Args:
        deployment: What they hit.
        seconds: Seconds until all is healed.
    """

    def __init__(self, deployment: SoakDeployment, seconds: float) -> None:
        self.deployment = deployment
        self.world = deployment.world
        self.relays = deployment.relays
        self.seconds = seconds
        self.steps: list[str] = []
        self.restarts = asyncio.Lock()

    async def run(self) -> None:
        """Carries out the plan, then heals everything."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in self.deployment.plan.steps:
                await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
                group.create_task(self._run_step(step))
            left = started + self.seconds - time.monotonic()
            await asyncio.sleep(max(0.0, left))
        await asyncio.to_thread(self.deployment.heal)

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
        # Two steps may have ended the same entry; the first one starts it again.
        async with self.restarts:
            if self.world.entries[name] is entry:
                await asyncio.to_thread(self.deployment.start_entry, name, again=True)

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
            flags["version"] = self.deployment.version
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
        if domain in self.deployment.drained:
            return
        try:
            async with self.deployment.changes:
                await asyncio.to_thread(self.world.drain, domain)
            self.deployment.drained[domain] = time.time()
            await asyncio.sleep(step.seconds)
            async with self.deployment.changes:
                name = ItemName(kind="drain", name=domain)
                ended = time.time()
                await asyncio.to_thread(lambda: self.world.change(remove=[name]))
            self.deployment.drain_spans.append(
                (domain, self.deployment.drained[domain], ended)
            )
        except OSError:
            # The store did not take it: the operator tries no further.
            return

    async def _do_withdraw(self, step: Step) -> None:
        if self.deployment.withdrawn_at:
            return
        item = self.deployment.other_item.model_copy(update={"withdrawn": True})
        with contextlib.suppress(OSError):
            async with self.deployment.changes:
                await asyncio.to_thread(self.world.change, item)
            self.deployment.withdrawn_at = time.time()

    async def _do_version(self, step: Step) -> None:
        trainer = self.world.make_trainer()
        with contextlib.suppress(BuckthornstileError):
            await trainer.set_version(self.deployment.version + 1)
            self.deployment.version += 1


async def _pause(process: BenchProcess, seconds: float) -> None:
    if not process.is_running:
        return
    process.pause()
    try:
        await asyncio.sleep(seconds)
    finally:
        if process.is_running:
            process.resume()
