"""Runs the faults and changes of a plan."""

import asyncio
import contextlib
import time
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.configuration import ItemReference
from soak._deployment import SoakDeployment
from soak._plan import FaultStep
from standins.process import ManagedProcess
from tests.harness import MODEL_SERVICE, PLAIN_SERVICE

ENGINE_FLAGS = {"event_seconds": 0.004, "drain_seconds": 1.0}
SERVICE_WORKER_FLAGS = {"work_seconds": 0.01, "drain_seconds": 1.0}


class StepRunner:
    """Runs the steps of a plan at their times, concurrently if they overlap.

    Args:
        deployment: The deployment that the steps change.
        duration: Seconds until all faults are cleared.
    """

    def __init__(self, deployment: SoakDeployment, duration: float) -> None:
        self.deployment = deployment
        self.harness = deployment.harness
        self.proxies = deployment.proxies
        self.duration = duration
        self.step_log: list[str] = []
        self.restart_lock = asyncio.Lock()

    async def run(self) -> None:
        """Runs all steps, then clears all faults."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for step in self.deployment.plan.steps:
                await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
                group.create_task(self._run_step(step))
            remaining = started + self.duration - time.monotonic()
            await asyncio.sleep(max(0.0, remaining))
        await asyncio.to_thread(self.deployment.clear_all_faults)

    async def _run_step(self, step: FaultStep) -> None:
        self.step_log.append(f"{step.at:6.2f} {step}")
        action = getattr(self, f"_do_{step.kind}")
        await action(step)

    def _choose(self, names: list[str], step: FaultStep) -> str:
        return names[step.target % len(names)]

    def _choose_entry(self, step: FaultStep) -> str:
        return self._choose(sorted(self.harness.entries), step)

    async def _do_kill(self, step: FaultStep) -> None:
        await self._stop_entry(step, lambda entry: entry.kill())

    async def _do_stop(self, step: FaultStep) -> None:
        await self._stop_entry(step, lambda entry: entry.stop(timeout=15.0))

    async def _stop_entry(self, step: FaultStep, stop: Any) -> None:
        name = self._choose_entry(step)
        entry = self.harness.entries[name]
        if not entry.is_running:
            return
        await asyncio.to_thread(stop, entry)
        await asyncio.sleep(step.seconds)
        # Two steps may have stopped the same entry; the first of them restarts it.
        async with self.restart_lock:
            if self.harness.entries[name] is entry:
                await asyncio.to_thread(self.deployment.start_entry, name, restart=True)

    async def _do_pause(self, step: FaultStep) -> None:
        await _pause(self.harness.entries[self._choose_entry(step)], step.seconds)

    async def _do_worker_pause(self, step: FaultStep) -> None:
        name = self._choose(sorted(self.harness.workers), step)
        await _pause(self.harness.workers[name], step.seconds)

    async def _do_store_pause(self, step: FaultStep) -> None:
        await _pause(self.harness.store, step.seconds)

    async def _do_worker_kill(self, step: FaultStep) -> None:
        await self._stop_worker(step, kill=True)

    async def _do_worker_stop(self, step: FaultStep) -> None:
        await self._stop_worker(step, kill=False)

    async def _stop_worker(self, step: FaultStep, *, kill: bool) -> None:
        harness = self.harness
        name = self._choose(sorted(harness.workers), step)
        worker = harness.workers[name]
        if not worker.is_running or worker.stop_requested:
            return
        harness.observations.lost_journals.add(name)
        if kill:
            worker.kill()
        else:
            worker.terminate()
            await asyncio.to_thread(worker.stop)
        await asyncio.sleep(step.seconds)
        number = int(name.rpartition("-")[2])
        domain = f"bench-{'abc'[number]}"
        start, flags = (
            harness.add_worker,
            dict(SERVICE_WORKER_FLAGS, service=PLAIN_SERVICE),
        )
        if name.startswith("engine"):
            start, flags = harness.add_engine, dict(ENGINE_FLAGS, service=MODEL_SERVICE)
            flags["version"] = self.deployment.version
        await asyncio.to_thread(start, name, domain, **flags)

    async def _do_worker_fault(self, step: FaultStep) -> None:
        name = self._choose(sorted(self.harness.workers), step)
        worker = self.harness.workers[name]
        fault = {"kind": step.variant, "count": 4, "seconds": step.seconds, "value": 9}
        with contextlib.suppress(OSError):
            await asyncio.to_thread(worker.add_fault, **fault)

    async def _do_store_fault(self, step: FaultStep) -> None:
        store = self.harness.store
        target = ("", "append", "read")[step.target % 3]
        with contextlib.suppress(OSError):
            await asyncio.to_thread(
                store.add_fault, step.variant, target=target, seconds=step.seconds
            )
            await asyncio.sleep(step.seconds)
            path = f"/control/faults?kind={step.variant}"
            await asyncio.to_thread(store.request_json, "DELETE", path)

    async def _do_compact(self, step: FaultStep) -> None:
        with contextlib.suppress(OSError):
            await asyncio.to_thread(
                self.harness.store.request_json, "POST", "/control/compact"
            )

    async def _do_link_cut(self, step: FaultStep) -> None:
        proxy = self.proxies[self._choose_entry(step)]
        await asyncio.to_thread(proxy.disconnect)
        await asyncio.sleep(step.seconds)
        proxy.restore()

    async def _do_link_reset(self, step: FaultStep) -> None:
        await asyncio.to_thread(
            self.proxies[self._choose_entry(step)].reset_connections
        )

    async def _do_link_delay(self, step: FaultStep) -> None:
        proxy = self.proxies[self._choose_entry(step)]
        proxy.delay_seconds = 0.3
        await asyncio.sleep(step.seconds)
        proxy.restore()

    async def _do_link_silence(self, step: FaultStep) -> None:
        proxy = self.proxies[self._choose_entry(step)]
        proxy.blocked_directions = frozenset({step.variant})
        await asyncio.sleep(step.seconds)
        proxy.restore()

    async def _do_drain(self, step: FaultStep) -> None:
        domain = f"bench-{'abc'[step.target % 3]}"
        if domain in self.deployment.drain_started_at:
            return
        try:
            async with self.deployment.change_lock:
                await asyncio.to_thread(self.harness.drain_domain, domain)
            self.deployment.drain_started_at[domain] = time.time()
            await asyncio.sleep(step.seconds)
            async with self.deployment.change_lock:
                reference = ItemReference(kind="drain", name=domain)
                ended_at = time.time()
                await asyncio.to_thread(
                    lambda: self.harness.apply_change(remove=[reference])
                )
            self.deployment.drain_intervals.append(
                (domain, self.deployment.drain_started_at[domain], ended_at)
            )
        except OSError:
            # The store did not accept the change, and the step does not retry it.
            return

    async def _do_withdraw(self, step: FaultStep) -> None:
        if self.deployment.withdrawn_at:
            return
        item = self.deployment.other_key_item.model_copy(update={"withdrawn": True})
        with contextlib.suppress(OSError):
            async with self.deployment.change_lock:
                await asyncio.to_thread(self.harness.apply_change, item)
            self.deployment.withdrawn_at = time.time()

    async def _do_version(self, step: FaultStep) -> None:
        trainer = self.harness.make_trainer()
        with contextlib.suppress(BuckthornstileError):
            await trainer.set_version(self.deployment.version + 1)
            self.deployment.version += 1


async def _pause(process: ManagedProcess, seconds: float) -> None:
    if not process.is_running:
        return
    process.pause()
    try:
        await asyncio.sleep(seconds)
    finally:
        if process.is_running:
            process.resume()
