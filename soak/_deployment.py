"""The deployment that a seed plays on, and what its faults have changed."""

import asyncio
import contextlib

from buckthornstile.configuration import ApiKey
from soak._plan import FaultPlan
from standins.process import ManagedProcess
from standins.tcp_proxy import FaultyProxy
from tests.harness import DeploymentHarness


class SoakDeployment:
    """Store, workers, and entries that each reach the store by a relay of their own.

    Args:
        harness: The store and workers, started.
        plan: What happens.
    """

    def __init__(self, harness: DeploymentHarness, plan: FaultPlan) -> None:
        self.harness = harness
        self.plan = plan
        self.proxies: dict[str, FaultyProxy] = {}
        self.drained: dict[str, float] = {}
        self.drain_spans: list[tuple[str, float, float]] = []
        self.withdrawn_at = 0.0
        self.version = 1
        self.stack = contextlib.ExitStack()
        self.changes = asyncio.Lock()

    def start(self) -> None:
        """Starts entries behind relays, and a second account's key."""
        harness = self.harness
        for number in range(self.plan.entries):
            name = f"entry-{number}"
            proxy = self.stack.enter_context(
                FaultyProxy(harness.store.address, harness.store.port)
            )
            self.proxies[name] = proxy
            self.start_entry(name)
        self.other_key, items = harness.create_account("quay")
        self.other_item = next(item for item in items if isinstance(item, ApiKey))
        harness.observations.keys.append(self.other_key)
        harness.apply_change(*items)
        harness.wait_until_ready()

    def start_entry(self, name: str, *, again: bool = False) -> ManagedProcess:
        proxy = self.proxies[name]
        number = int(name.rpartition("-")[2])
        return self.harness.add_entry(
            name,
            f"bench-{'abc'[number % 3]}",
            replaces=self.harness.entries[name] if again else None,
            store_address=f"{proxy.address}:{proxy.port}",
        )

    def heal(self) -> None:
        """Ends every fault and brings back what is gone."""
        self.harness.store.resume()
        self.harness.store.clear_faults()
        for proxy in self.proxies.values():
            proxy.restore()
        for worker in self.harness.workers.values():
            if worker.is_running:
                worker.resume()
                worker.clear_faults()
        for name, entry in list(self.harness.entries.items()):
            entry.resume() if entry.is_running else self.start_entry(name, again=True)
