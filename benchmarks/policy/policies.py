"""The policies that are compared: two baselines and versions of the product's own."""

from collections import deque
from dataclasses import dataclass
from math import inf

from buckthornstile.base import RequestClass
from buckthornstile.limits import ConcurrencyLimit
from buckthornstile.queueing import FairQueue, PushResult, QueueItem


@dataclass(frozen=True)
class Policy:
    """The decisions that a run uses.

    Args:
        name: The name in tables.
        choice: ``round_robin``, ``least_connections`` or ``core``.
        fair: Whether agents use the fair queue; if not, first in, first out.
        ramp: Whether agents limit concurrency by latency and ramp.
        affinity: Whether samples of a group prefer one upstream.
        hedge: Whether the last samples of a lot are doubled on idle capacity.
        planned_scale: Whether the planner starts and stops upstreams; if not, a
            reaction to the present utilisation does.
        load_factor: Bound of affinity, as a multiple of the mean load.
        knee: Whether agents tell the limit how fast streams run.
        burst: Work by which a waited-on account may be ahead of the others.
        credit: Work on which an account that had less may catch up.
        affinity_factor: Bound of affinity, as a multiple of the least time.
        choices: Upstreams drawn at random for a choice.
    """

    name: str
    choice: str = "core"
    fair: bool = True
    ramp: bool = True
    affinity: bool = True
    hedge: bool = True
    planned_scale: bool = True
    load_factor: float = 1.25
    knee: bool = True
    burst: float = 300.0
    credit: float = 4000.0
    affinity_factor: float = 2.5
    choices: int = 2


def _make_baseline(name: str) -> Policy:
    return Policy(
        name,
        choice=name,
        fair=False,
        ramp=False,
        affinity=False,
        hedge=False,
        planned_scale=False,
    )


ROUND_ROBIN = _make_baseline("round_robin")
LEAST_CONNECTIONS = _make_baseline("least_connections")
FIRST_VERSION = Policy(
    "first_version", knee=False, burst=inf, credit=0.0, affinity_factor=inf
)
"""The product as first measured, with its decisions frozen."""
PRODUCT = Policy("product", hedge=False)
POLICIES = (ROUND_ROBIN, LEAST_CONNECTIONS, FIRST_VERSION, PRODUCT)
BASELINES = (ROUND_ROBIN.name, LEAST_CONNECTIONS.name)


class FifoQueue:
    """First in, first out, bounded: the baselines' queue."""

    def __init__(self, *, maximum_items: int) -> None:
        self.maximum_items = maximum_items
        self._items: deque[QueueItem] = deque()
        self._expired: list[QueueItem] = []

    def __len__(self) -> int:
        return len(self._items)

    @property
    def queued_cost(self) -> float:
        """The work that waits, in tokens."""
        return sum(item.cost for item in self._items)

    def compute_work_ahead(self, request_class: RequestClass) -> tuple[int, float]:
        """Computes what waits: all of it, since no class goes first."""
        return len(self), self.queued_cost

    def push(self, item: QueueItem, now: float) -> PushResult:
        """Queues an item unless the queue is full."""
        if len(self._items) >= self.maximum_items:
            return PushResult(accepted=False)
        self._items.append(item)
        return PushResult(accepted=True)

    def pop(self, now: float) -> QueueItem | None:
        """Takes the oldest item that is still wanted."""
        while self._items:
            item = self._items.popleft()
            if item.deadline > now:
                return item
            self._expired.append(item)
        return None

    def remove(self, request_id: str) -> QueueItem | None:
        """Removes an item that waits."""
        for item in self._items:
            if item.request_id == request_id:
                self._items.remove(item)
                return item
        return None

    def charge(self, request_id: str, cost: float) -> None:
        """Does nothing: this queue knows no shares."""

    def take_expired(self) -> tuple[QueueItem, ...]:
        """Gives the items dropped at their deadline."""
        expired = tuple(self._expired)
        self._expired.clear()
        return expired


class FixedLimit(ConcurrencyLimit):
    """The upstream's full slots from the first request on."""

    @property
    def limit(self) -> int:
        """Requests that may run at the upstream at once."""
        return self.maximum


def make_queue(policy: Policy) -> FairQueue | FifoQueue:
    """Makes an agent's queue."""
    if policy.fair:
        return FairQueue(
            maximum_items=400, maximum_items_per_account=300, burst=policy.burst
        )
    return FifoQueue(maximum_items=400)


def make_limit(policy: Policy, slots: int, now: float) -> ConcurrencyLimit:
    """Makes an agent's limit on concurrency."""
    kind = ConcurrencyLimit if policy.ramp else FixedLimit
    return kind(now, initial=4, maximum=slots, doubling_seconds=2.0)
