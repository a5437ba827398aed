"""What the holder of the control lease does besides its log duties.

The decisions are the planners'; this only feeds them and sends what they want.
"""

import asyncio
from typing import TYPE_CHECKING

from buckthornstile.base import (
    UNKNOWN_VERSION,
    BuckthornstileError,
    OrderId,
    ProcessName,
    UpstreamId,
)
from buckthornstile.entry._links import AgentLink
from buckthornstile.metrics import CounterName
from buckthornstile.orders import OrderWish
from buckthornstile.records import encode_record
from buckthornstile.routing import UpstreamState
from buckthornstile.weights import (
    SwapPlanner,
    SwapPolicy,
    UpstreamWeights,
    WeightNode,
    plan_distribution,
)
from buckthornstile.wire import Order

if TYPE_CHECKING:
    from buckthornstile.entry._daemon import Entry

TICK_SECONDS = 0.25
ORDER_TIMEOUT_SECONDS = 15.0
FETCH_REPEAT_SECONDS = 5.0
SNAPSHOT_RETRY_SECONDS = 5.0


class WeightDuty:
    """Distributes each new version of the weights and staggers the swaps.

    Args:
        entry: The entry, which acts only while it holds the lease.
    """

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self.target = UNKNOWN_VERSION
        self._planner: SwapPlanner | None = None
        self._read_at = float("-inf")
        self._fetch_sent_at: dict[UpstreamId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Acts again and again while this entry holds the lease."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.entry.read_clock()
            term = self.entry.control.may_act(
                now, order_seconds=self.entry.settings.order_timeout
            )
            if term is None:
                self._planner = None
                self._fetch_sent_at.clear()
                continue
            await self._read_target(now)
            if self.target != UNKNOWN_VERSION:
                self._act(now)

    async def _read_target(self, now: float) -> None:
        if now - self._read_at < self.entry.settings.weight_poll_interval:
            return
        self._read_at = now
        try:
            manifest = await self.entry.ports.weights.read_latest()
        except BuckthornstileError:
            self.entry.counters.increment(CounterName("weight_store_failures"))
            return
        if manifest is not None and manifest.version > self.target:
            self.target = manifest.version
            self._fetch_sent_at.clear()
            self.entry.changes.note(
                "weights.published", f"version {manifest.version} is to be served"
            )

    def _act(self, now: float) -> None:
        engines = self._list_engines(now)
        self._order_fetches(engines, now)
        planner = self._get_planner()
        orders = planner.decide([self._report(link) for link in engines], now)
        wishes = [
            OrderWish(
                "load_version",
                failure_domain=self.entry.fleet.links[
                    order.upstream
                ].view.failure_domain,
                upstream=order.upstream,
                version=order.version,
            )
            for order in orders
        ]
        self.entry.control.request_orders(wishes)

    def _get_planner(self) -> SwapPlanner:
        if self._planner is None:
            policy = SwapPolicy(
                maximum_share=self.entry.settings.swap_share,
                order_timeout=ORDER_TIMEOUT_SECONDS,
                wait_until_ready=True,
            )
            self._planner = SwapPlanner(self.target, policy=policy)
        self._planner.set_target(self.target)
        return self._planner

    def _list_engines(self, now: float) -> list[AgentLink]:
        """Lists the live upstreams that report a weight version."""
        return [
            link
            for link in self.entry.fleet.links.values()
            if link.view.is_alive(now, timeout=self.entry.heartbeat_timeout)
            and link.view.version != UNKNOWN_VERSION
            and not link.view.leaving
        ]

    def _report(self, link: AgentLink) -> UpstreamWeights:
        view = link.view
        return UpstreamWeights(
            view.upstream,
            view.service,
            view.failure_domain,
            view.version,
            serving=view.state is UpstreamState.SERVING,
            ready=view.fetched_version >= self.target,
        )

    # Distribution

    def _order_fetches(self, engines: list[AgentLink], now: float) -> None:
        nodes = [
            WeightNode(link.vm.process, link.view.failure_domain) for link in engines
        ]
        plan = plan_distribution(nodes, version=self.target)
        by_process = {link.vm.process: link for link in engines}
        for link in engines:
            sent_at = self._fetch_sent_at.get(link.view.upstream, float("-inf"))
            waits = now - sent_at < FETCH_REPEAT_SECONDS
            if waits or link.view.fetched_version >= self.target:
                continue
            # A repeated order goes to the store: the parent may be the trouble.
            first = sent_at == float("-inf")
            parent = plan.parents[link.vm.process] if first else None
            self._fetch_sent_at[link.view.upstream] = now
            self._send_fetch(link, by_process.get(parent) if parent else None)

    def _send_fetch(self, link: AgentLink, parent: AgentLink | None) -> None:
        term = self.entry.control.fold.lease.term
        order = Order(
            OrderId(f"fetch/{link.view.upstream}/{self.target}/{term}"),
            term,
            "fetch_version",
            version=self.target,
            timeout=self.entry.settings.order_timeout,
            source="" if parent is None else parent.vm.address,
            source_port=0 if parent is None else parent.vm.port,
        )
        task = asyncio.create_task(self._deliver(link, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, link: AgentLink, order: Order) -> None:
        try:
            await link.send_order(order, self.entry.settings.order_timeout)
        except (BuckthornstileError, TimeoutError):
            self.entry.counters.increment(CounterName("fetch_orders_unanswered"))

    # Outcomes

    def on_refused(self, upstream: UpstreamId) -> None:
        """Takes in that an agent refused a swap or failed in it."""
        self.entry.counters.increment(CounterName("swaps_failed"))
        self.entry.changes.note("weights.swap_failed", "a swap failed", upstream)
        if self._planner is not None:
            self._planner.on_failure(upstream, self.entry.read_clock())

    def list_behind(self) -> list[ProcessName]:
        """Lists the agents whose engines do not serve the target yet."""
        now = self.entry.read_clock()
        return [
            link.vm.process
            for link in self._list_engines(now)
            if link.view.version < self.target
        ]


class SnapshotDuty:
    """Re-appends the whole configuration, well inside the log's retention.

    Args:
        entry: The entry, which appends only while it holds the lease.
    """

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self._seen_at = float("-inf")
        self._sent_at = float("-inf")

    def on_snapshot(self, read_at: float) -> None:
        """Takes in that the log holds a snapshot."""
        self._seen_at = read_at

    async def run(self) -> None:
        """Appends a snapshot whenever the last one is old."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.entry.read_clock()
            interval = self.entry.settings.snapshot_interval
            last = max(self._seen_at, self._sent_at)
            is_due = now - last >= interval and not self.entry.configuration.has_gap
            if not is_due or self.entry.control.may_act(now, order_seconds=0) is None:
                continue
            self._sent_at = now - interval + SNAPSHOT_RETRY_SECONDS
            await self._append()

    async def _append(self) -> None:
        snapshot = self.entry.configuration.make_snapshot()
        try:
            await self.entry.log.append(encode_record(snapshot))
        except BuckthornstileError:
            self.entry.counters.increment(CounterName("snapshot_append_failures"))
        except ValueError:
            # Too large for one record: the log's tail still carries the changes.
            self.entry.counters.increment(CounterName("snapshots_too_large"))
