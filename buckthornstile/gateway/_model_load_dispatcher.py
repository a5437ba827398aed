"""Sends orders to load model versions while this process holds the lease."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial

from buckthornstile.base import BuckthornstileError, UpstreamId
from buckthornstile.duties import LoadModePolicy, ModelLoadPlanner, PlannedModelLoad
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.gateway._presence import LoadedVersions
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.messages import LoadOrder, LoadOrderResult
from buckthornstile.platform import (
    decode_order_answer,
    decode_report,
    encode_order,
    encode_report_request,
)
from buckthornstile.topology import TopologyView, Upstream

ORDER_TIMEOUT = 0.5
"""Seconds until an order times out; shorter than the time that the next lease holder
waits after the lease has expired."""
REPORT_TIMEOUT = 0.6
"""Seconds for an engine to report its state."""


class ModelLoadDispatcher:
    """Sends the planned load orders and requests the state of the engines.

    Args:
        node: Name of the VM; identifies the lease holder to the engines.
        lease_manager: Manages the lease.
        view: The topology in effect.
        planner: Plans the loads.
        clock: Returns the monotonic time in seconds.
        pool: Connections to the upstreams.
        on_version_loaded: Called when an engine reports a newer version.
        record_failure: Called with an upstream that sent no valid report.
    """

    def __init__(
        self,
        node: str,
        lease_manager: LeaseManager,
        *,
        view: TopologyView,
        planner: ModelLoadPlanner,
        clock: Callable[[], float],
        pool: ConnectionPool,
        on_version_loaded: Callable[[], None],
        record_failure: Callable[[Upstream], None],
    ) -> None:
        self.node = node
        self.lease_manager = lease_manager
        self.view = view
        self.planner = planner
        self.clock = clock
        self.mode_policy = LoadModePolicy(view)
        self.pool = pool
        self.on_version_loaded = on_version_loaded
        self.record_failure = record_failure
        self._tasks: set[asyncio.Task[None]] = set()

    async def order(self) -> None:
        """Starts sending the orders and report requests that are due."""
        # Also without the lease, which this process may get soon.
        self.mode_policy.observe(self.clock())
        if not self.lease_manager.can_act():
            return
        term = self.lease_manager.duty_state.term
        loads = self.planner.plan()
        for name in self.planner.list_upstreams_to_poll():
            self.planner.record_unknown_outcome(name)
            self._spawn(self._request_report(name))
        for load in loads:
            expected_orders = self.planner.get_order_count(load.upstream)
            if expected_orders is not None:
                self.planner.record_unknown_outcome(load.upstream)
                self._spawn(self._send_order(load, expected_orders, term))

    def list_unpublished_versions(self) -> LoadedVersions:
        """Returns the versions that engines hold but the topology does not show yet."""
        if not self.lease_manager.lease.is_held():
            return {}
        return {
            name: (self.view.upstreams[name].started_at_ms, versions)
            for name, versions in self.planner.list_unpublished_versions().items()
        }

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(
        self, load: PlannedModelLoad, expected_orders: int, term: int
    ) -> None:
        upstream = self.view.upstreams.get(load.upstream)
        if upstream is None:
            return
        order = LoadOrder(
            upstream=load.upstream,
            model=load.model,
            version=load.version,
            mode=self.mode_policy.choose(upstream.service, self.clock()),
            holder=self.node,
            term=term,
            expected_orders=expected_orders,
        )
        outcome = "unanswered"
        try:
            async with asyncio.timeout(self.lease_manager.clamp_timeout(ORDER_TIMEOUT)):
                response = await self.pool.send(
                    upstream.address,
                    encode_order(order),
                    new_connection=True,
                    before_send=partial(self.lease_manager.check_term, term),
                )
            result = decode_order_answer(response)
            outcome = result.value
            if result is LoadOrderResult.ACCEPTED:
                self.planner.record_accepted(load)
            elif result is LoadOrderResult.ALREADY_HOLDS:
                self.planner.record_already_loaded(load)
        except (TimeoutError, BuckthornstileError) as error:
            outcome = f"unanswered: {error}"
        log_event(
            "order.load",
            upstream=load.upstream,
            model=load.model,
            version=load.version,
            term=order.term,
            expected_orders=order.expected_orders,
            mode=order.mode.value,
            outcome=outcome,
        )

    async def _request_report(self, name: UpstreamId) -> None:
        upstream = self.view.upstreams.get(name)
        if upstream is None:
            return
        try:
            async with asyncio.timeout(REPORT_TIMEOUT):
                response = await self.pool.send(
                    upstream.address, encode_report_request(upstream.id)
                )
            report = decode_report(response)
        except (TimeoutError, BuckthornstileError, ValueError) as error:
            self.record_failure(upstream)
            log_event("engine.report_failed", upstream=name, reason=repr(error))
            return
        self.planner.record_report(
            upstream.id, report.versions, report.order_count, report.is_busy
        )
        if any(
            version > self.view.get_version(upstream, model)
            for model, version in report.versions.items()
        ):
            self.view.record_versions(
                upstream.id, upstream.started_at_ms, report.versions
            )
            self.on_version_loaded()
        log_event(
            "engine.report",
            upstream=name,
            orders=report.order_count,
            busy=report.is_busy,
            versions=",".join(map(str, report.versions.values())),
        )
