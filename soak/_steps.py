"""Runs the faults and changes of a plan."""

import asyncio
import contextlib
import time
from dataclasses import replace
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.configuration import ItemReference
from soak._deployment import Disturbance, SoakDeployment
from soak._plan import FAULT_KINDS, FaultStep, is_disturbance
from standins.process import ManagedProcess
from tests.harness import MODEL_SERVICE, PLAIN_SERVICE

ENGINE_FLAGS = {"event_seconds": 0.004, "drain_seconds": 1.0}
DEADLY_BODY = '{"name": "deadly"}'
"""Body of the requests that crash each worker of the plain service."""
DEADLY_INTERVAL = 0.2
"""Seconds between two sends of such a request through each entry."""
SERVICE_WORKER_FLAGS = {
    "work_seconds": 0.01,
    "drain_seconds": 1.0,
    "deadly_body": DEADLY_BODY,
}
PROBE_INTERVAL = 0.2
"""Seconds between two requests through each entry while a worker leaves."""
RATE_LIMIT = 3.0
"""Requests per second that a worker states; the load sends it several times as many."""
CUT_INTERVAL = 0.5
"""Seconds between two streams that each engine breaks off, with several versions."""
CRASH_RESTART_DELAY = 0.5
"""Seconds after a crash at which a worker is started again."""


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
        # Number of engines that were started again.
        self.restart_count = 0
        # Workers that a step starts again.
        self.restarting: set[str] = set()

    async def run(self) -> None:
        """Runs all steps, then clears all faults."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            if self.deployment.plan.is_mixed:
                group.create_task(self._mix_versions(started + self.duration))
            for step in self.deployment.plan.steps:
                await asyncio.sleep(max(0.0, started + step.at - time.monotonic()))
                group.create_task(self._run_step(step))
            remaining = started + self.duration - time.monotonic()
            await asyncio.sleep(max(0.0, remaining))
        await asyncio.to_thread(self.deployment.clear_all_faults)

    async def _mix_versions(self, end: float) -> None:
        """Starts an engine with another software version, and breaks streams off."""
        plan = self.deployment.plan
        # The desks come first in the order of targets.
        step = FaultStep(0.0, "worker_stop", target=plan.desks + 1, seconds=0.0)
        await self._stop_worker(step, kill=False)
        cut = FaultStep(0.0, "worker_fault", 0, seconds=0.0, variant="cut")
        while time.monotonic() < end:
            for number in range(plan.engines):
                target = plan.desks + number
                await self._do_worker_fault(replace(cut, target=target), count=1)
            await asyncio.sleep(CUT_INTERVAL)

    async def _run_step(self, step: FaultStep) -> None:
        self.step_log.append(f"{step.at:6.2f} {step}")
        if step.kind == "holder_pause":
            step = replace(step, kind="pause", target=await self._find_holder())
        action = getattr(self, f"_do_{step.kind}")
        started_at = time.time()
        await action(step)
        if is_disturbance(step.kind):
            is_common = FAULT_KINDS[step.kind][0] == "store"
            entry = "" if is_common else self._choose_entry(step)
            self.deployment.disturbances.append(
                Disturbance(step.kind, entry, started_at, time.time())
            )

    async def _find_holder(self) -> int:
        """Returns the index of the entry that holds the lease, or 0 if none says so."""
        name = ""
        with contextlib.suppress(OSError):
            name = await asyncio.to_thread(self.harness.find_lease_holder)
        return sorted(self.harness.entries).index(name) if name else 0

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
        if not worker.is_running or worker.stop_requested or name in self.restarting:
            return
        self.restarting.add(name)
        if kill:
            harness.observations.lost_journals.add(name)
            worker.kill()
        else:
            worker.terminate()
            await asyncio.to_thread(worker.stop)
            await asyncio.to_thread(harness.save_final_journal, name)
        await self._restart_worker(name, min(2.0, step.seconds))

    async def _restart_worker(self, name: str, delay: float) -> None:
        """Starts a worker that has exited again, after ``delay`` seconds."""
        harness = self.harness
        await asyncio.sleep(delay)
        number = int(name.rpartition("-")[2])
        domain = f"bench-{'abc'[number]}"
        start, flags = (
            harness.add_worker,
            dict(SERVICE_WORKER_FLAGS, service=PLAIN_SERVICE),
        )
        if name.startswith("engine"):
            start, flags = harness.add_engine, dict(ENGINE_FLAGS, service=MODEL_SERVICE)
            flags["version"] = self.deployment.version
            if self.deployment.plan.is_mixed:
                self.restart_count += 1
                flags["software_version"] = f"v{1 + self.restart_count % 2}"
        await asyncio.to_thread(start, name, domain, **flags)
        self.restarting.discard(name)

    async def _do_leave(self, step: FaultStep) -> None:
        """Lets a worker state that it leaves long before the store shows it.

        During the second half, the other workers of its service refuse all requests,
        and each entry gets some, for which it would use the worker if it did not know.
        """
        workers = self.harness.workers
        name = self._choose(sorted(workers), step)
        kind = name.rpartition("-")[0]
        others = [other for other in sorted(workers) if other.startswith(kind)]
        others.remove(name)
        await self._do_worker_fault(replace(step, variant="leaving"), count=None)
        await asyncio.sleep(step.seconds / 2)
        with contextlib.suppress(OSError):
            for other in others:
                await asyncio.to_thread(workers[other].add_fault, "full")
        is_engine = name.startswith("engine")
        end = time.monotonic() + step.seconds / 2
        while time.monotonic() < end:
            for url in self.harness.entry_urls:
                caller = self.harness.make_caller(entries=[url], attempts=1)
                if is_engine:
                    await self.harness.send_completion(caller, tokens=5, timeout=1.0)
                else:
                    await self.harness.send_lookup(caller, timeout=1.0)
            await asyncio.sleep(PROBE_INTERVAL)
        with contextlib.suppress(OSError):
            for other in others:
                path = "/control/faults?kind=full"
                await asyncio.to_thread(workers[other].request_json, "DELETE", path)
        await self._stop_worker(step, kill=False)

    async def _do_limit(self, step: FaultStep) -> None:
        await self._do_worker_fault(
            replace(step, variant="limit"), count=None, value=RATE_LIMIT
        )
        await asyncio.sleep(step.seconds)

    async def _do_deadly(self, step: FaultStep) -> None:
        """Sends a request that crashes workers through all entries."""
        end = time.monotonic() + step.seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                for url in self.harness.entry_urls:
                    group.create_task(self._send_deadly_request(url))
                await asyncio.sleep(DEADLY_INTERVAL)
                self._restart_crashed_workers(group)
        # The last requests may have crashed workers too.
        async with asyncio.TaskGroup() as group:
            self._restart_crashed_workers(group)

    def _restart_crashed_workers(self, group: asyncio.TaskGroup) -> None:
        for name, worker in self.harness.workers.items():
            if not worker.is_running and name not in self.restarting:
                self.restarting.add(name)
                self.harness.save_final_journal(name)
                group.create_task(self._restart_worker(name, CRASH_RESTART_DELAY))

    async def _send_deadly_request(self, url: str) -> None:
        caller = self.harness.make_caller(entries=[url], attempts=1)
        with contextlib.suppress(BuckthornstileError):
            await caller.call(
                "/lookup", DEADLY_BODY.encode(), idempotent=True, timeout=2.0
            )

    async def _do_worker_fault(
        self, step: FaultStep, *, count: int | None = 4, value: float = 9
    ) -> None:
        name = self._choose(sorted(self.harness.workers), step)
        worker = self.harness.workers[name]
        fault = {
            "kind": step.variant,
            "count": count,
            "seconds": step.seconds,
            "value": value,
        }
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
