"""The deployment on which a plan runs, and the state that its steps change."""

import asyncio
import contextlib
from dataclasses import dataclass

from buckthornstile.configuration import ApiKey
from soak._plan import FaultPlan
from standins.process import ManagedProcess
from standins.tcp_proxy import FaultyProxy
from tests.harness import DeploymentHarness

CRASH_TIMEOUT = 2.0
"""Seconds in which a worker whose control request failed must have ended."""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A step that stopped entries, or kept them from the store.

    Attributes:
        kind: The step's kind.
        entry: Name of the entry, or empty for all of them.
        started_at: Start, in seconds since the epoch.
        ended_at: End, in seconds since the epoch.
    """

    kind: str
    entry: str
    started_at: float
    ended_at: float


class SoakDeployment:
    """A store, workers, and entries that reach the store through one proxy each.

    Args:
        harness: The harness, whose store and workers are started.
        plan: The plan that is run.

    Attributes:
        proxies: The proxy of each entry, by the entry's name.
        drain_started_at: When each failure domain was drained, in seconds since the
            epoch.
        disturbances: Steps that kept entries from learning from each other.
        drain_intervals: Failure domain, start and end of each drain that has ended.
        withdrawn_at: When the second account's key was withdrawn, in seconds since the
            epoch; 0 if it was not.
        version: The trainer's weight version.
        change_lock: Held while a configuration change is appended to the store.
        other_key: The second account's key in clear text.
        other_key_item: The configuration item of that key.
    """

    def __init__(self, harness: DeploymentHarness, plan: FaultPlan) -> None:
        self.harness = harness
        self.plan = plan
        self.proxies: dict[str, FaultyProxy] = {}
        self.drain_started_at: dict[str, float] = {}
        self.drain_intervals: list[tuple[str, float, float]] = []
        self.disturbances: list[Disturbance] = []
        self.withdrawn_at = 0.0
        self.version = 1
        self.exit_stack = contextlib.ExitStack()
        self.change_lock = asyncio.Lock()

    def start(self) -> None:
        """Starts entries behind proxies and creates a second client account."""
        harness = self.harness
        for number in range(self.plan.entries):
            name = f"entry-{number}"
            proxy = self.exit_stack.enter_context(
                FaultyProxy(harness.store.address, harness.store.port)
            )
            self.proxies[name] = proxy
            self.start_entry(name)
        self.other_key, items = harness.create_account("quay")
        self.other_key_item = next(item for item in items if isinstance(item, ApiKey))
        harness.observations.keys.append(self.other_key)
        harness.apply_change(*items)
        harness.wait_until_ready()

    def start_entry(self, name: str, *, restart: bool = False) -> ManagedProcess:
        """Starts an entry behind its proxy, or replaces one that has exited."""
        proxy = self.proxies[name]
        number = int(name.rpartition("-")[2])
        return self.harness.add_entry(
            name,
            f"bench-{'abc'[number % 3]}",
            replaces=self.harness.entries[name] if restart else None,
            store_address=f"{proxy.address}:{proxy.port}",
        )

    def clear_all_faults(self) -> None:
        """Clears all faults, resumes paused processes and restarts exited entries."""
        self.harness.store.resume()
        self.harness.store.clear_faults()
        for proxy in self.proxies.values():
            proxy.restore()
        for worker in self.harness.workers.values():
            if worker.is_running:
                worker.resume()
                _clear_faults(worker)
        for name, entry in list(self.harness.entries.items()):
            entry.resume() if entry.is_running else self.start_entry(name, restart=True)


def _clear_faults(worker: ManagedProcess) -> None:
    """Disables a worker's faults, unless a request crashes it at this moment."""
    try:
        worker.clear_faults()
    except OSError:
        worker.process.wait(timeout=CRASH_TIMEOUT)
