"""The deployment that a seed plays on, and what its faults have changed."""

import asyncio
import contextlib

from buckthornstile.configuration import Key
from soak._plan import Plan
from standins.launch import BenchProcess
from standins.relay import Relay
from tests.support import World


class SoakDeployment:
    """Store, workers, and entries that each reach the store by a relay of their own.

    Args:
        world: The store and workers, started.
        plan: What happens.
    """

    def __init__(self, world: World, plan: Plan) -> None:
        self.world = world
        self.plan = plan
        self.relays: dict[str, Relay] = {}
        self.drained: dict[str, float] = {}
        self.drain_spans: list[tuple[str, float, float]] = []
        self.withdrawn_at = 0.0
        self.version = 1
        self.stack = contextlib.ExitStack()
        self.changes = asyncio.Lock()

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

    def heal(self) -> None:
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
