"""Keeps the lease and, while it is held, orders loads and reports usage."""

import asyncio
from collections.abc import Callable, Coroutine

from buckthornstile.base import (
    BuckthornstileError,
    PlatformUnavailableError,
    ProcessName,
    ServiceName,
)
from buckthornstile.calls import LoadMode, OrderAnswer, VersionOrder
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyFold,
    DutyRecord,
    Lease,
    LoadPlanner,
    PlannedLoad,
    SealRecord,
    UsageTotals,
    decode_duty_record,
    encode_duty_record,
)
from buckthornstile.exchanges import ConnectionPool
from buckthornstile.gateway._presence import Versions
from buckthornstile.logs import log_event
from buckthornstile.platform import (
    AppendRefusedError,
    DutyClient,
    StoreClient,
    decode_order_answer,
    decode_report,
    encode_order,
    encode_report_call,
)
from buckthornstile.tails import Tail
from buckthornstile.topology import TopologyView, Upstream

DUTY_WAIT = 0.5
TICK = 0.1
"""Seconds between two looks at what is due."""
ORDER_TIMEOUT = 0.5
"""Seconds for an order; shorter than what a successor waits beyond the lease."""
REPORT_TIMEOUT = 0.5
APPEND_TIMEOUT = 0.6
REPORT_PAUSE = 0.3
SLOW_REPORT_TIMEOUT = 0.6
MIN_TIME_LEFT = 0.15
"""Seconds of the lease that must be left to begin a call."""


class Control:
    """The duties that one process performs for all.

    Args:
        name: This process's name.
        node: The VM's name, under which the platform knows the holder.
        store: The store.
        view: The topology in force.
        planner: Plans loads.
        totals: Sums usage.
        client: Calls to the platform.
        pool: Connections to upstreams.
        clock: The time in seconds; it must go on while suspended.
        wall_clock: Seconds since the epoch.
        turn_bound: Seconds in which the holder may not change there and back.
        usage_due: Seconds after its end in which a window is to be reported.
        list_live: Gives the processes that live and count requests.
        on_news: Called when an engine was found to hold a new version.
        note_failure: Called when an engine did not answer.
    """

    def __init__(
        self,
        name: ProcessName,
        node: str,
        *,
        store: StoreClient,
        view: TopologyView,
        planner: LoadPlanner,
        totals: UsageTotals,
        client: DutyClient | None,
        pool: ConnectionPool,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        turn_bound: float,
        usage_due: float,
        list_live: Callable[[], list[ProcessName]],
        on_news: Callable[[], None],
        note_failure: Callable[[Upstream], None],
    ) -> None:
        self.name = name
        self.node = node
        self.store = store
        self.view = view
        self.planner = planner
        self.totals = totals
        self.client = client
        self.pool = pool
        self.clock = clock
        self.wall_clock = wall_clock
        self.usage_due = usage_due
        self.list_live = list_live
        self.on_news = on_news
        self.note_failure = note_failure
        self.fold = DutyFold(clock)
        self.lease = Lease(name, self.fold, clock=clock, turn_bound=turn_bound)
        self.is_leaving = False
        self.tail = Tail(
            store,
            DUTY_TOPIC,
            0,
            clock=clock,
            wait=DUTY_WAIT,
            on_raw=self._apply,
            on_read=self._note_read,
        )
        self._returned_at = -1e9
        self._orders: set[asyncio.Task[None]] = set()
        self._writing = asyncio.Lock()

    async def run(self) -> None:
        """Performs the duties until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tail.run())
            group.create_task(self._repeat(self._keep_lease))
            group.create_task(self._repeat(self._order_loads))
            group.create_task(self._repeat(self._report_usage))

    async def _repeat(self, step: Callable[[], Coroutine[None, None, None]]) -> None:
        while True:
            try:
                await step()
            except BuckthornstileError as error:
                log_event("duty.step_failed", step=step.__name__, reason=error.message)
            await asyncio.sleep(TICK)

    def _apply(self, offset: int, data: bytes) -> None:
        try:
            record = decode_duty_record(data)
        except ValueError as error:
            log_event("duty.record_unreadable", offset=offset, reason=error)
            return
        before = self.fold.holder
        self.fold.apply(offset, record)
        if self.fold.holder != before:
            log_event("lease.holder", holder=self.fold.holder, term=self.fold.term)

    def _note_read(self) -> None:
        self.fold.end = max(self.fold.end, self.tail.end)
        if self.tail.returned_at > self._returned_at:
            self._returned_at = self.tail.returned_at
            self.fold.note_return()

    # Lease

    async def _keep_lease(self) -> None:
        if not self.tail.is_loaded or self.tail.get_age() > DUTY_WAIT + APPEND_TIMEOUT:
            return
        if self.is_leaving:
            return
        record = self.lease.choose_record()
        if record is None:
            return
        sent_at = self.clock()
        offset = await self._append(record)
        if offset is None:
            return
        is_new = record.term is None
        self.lease.note_written(record, offset, sent_at)
        if is_new:
            log_event("lease.taken", term=self.fold.term)

    async def _append(self, record: DutyRecord) -> int | None:
        async with self._writing:
            try:
                return await self.store.append(
                    DUTY_TOPIC,
                    0,
                    [encode_duty_record(record)],
                    at=self.fold.end,
                    timeout=APPEND_TIMEOUT,
                )
            except AppendRefusedError:
                # The tail shows what was written meanwhile.
                return None

    def _may_act(self) -> bool:
        return self.lease.holds() and self.lease.get_time_left() > MIN_TIME_LEFT

    # Loads

    async def _order_loads(self) -> None:
        if not self._may_act():
            return
        loads = self.planner.plan()
        for name in self.planner.list_doubted():
            self.planner.note_doubt(name)
            self._spawn(self._ask_engine(name))
        for load in loads:
            expected_orders = self.planner.get_order_count(load.upstream)
            if expected_orders is not None:
                self.planner.note_doubt(load.upstream)
                self._spawn(self._order(load, expected_orders))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _order(self, load: PlannedLoad, expected_orders: int) -> None:
        upstream = self.view.upstreams.get(load.upstream)
        if upstream is None:
            return
        order = VersionOrder(
            upstream=load.upstream,
            model=load.model,
            version=load.version,
            mode=self._choose_mode(upstream.service),
            holder=self.node,
            term=self.fold.term,
            expected_orders=expected_orders,
        )
        timeout = min(ORDER_TIMEOUT, self.lease.get_time_left())
        outcome = "unanswered"
        try:
            async with asyncio.timeout(timeout):
                answer = await self.pool.exchange(
                    upstream.address, encode_order(order), fresh=True
                )
            result = decode_order_answer(answer)
            outcome = result.value
            if result is OrderAnswer.ACCEPTED:
                self.planner.note_accepted(load)
            elif result is OrderAnswer.ALREADY_HOLDS:
                self.planner.note_holds(load)
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

    def _choose_mode(self, service: ServiceName) -> LoadMode:
        configuration = self.view.configuration
        routes = configuration.routes if configuration else ()
        for route in routes:
            names = [name for name, _ in route.services]
            if service in names and route.needs_single_version:
                return LoadMode.FINISH_FIRST
        return LoadMode.CONTINUE

    def list_fresh_versions(self) -> Versions:
        """Lists what engines hold that their entries do not show yet."""
        if not self.lease.holds():
            return {}
        return {
            name: (self.view.upstreams[name].born, versions)
            for name, versions in self.planner.list_fresh_versions().items()
        }

    async def _ask_engine(self, name: str) -> None:
        upstream = self.view.upstreams.get(name)  # type: ignore[call-overload]
        if upstream is None:
            return
        try:
            async with asyncio.timeout(SLOW_REPORT_TIMEOUT):
                answer = await self.pool.exchange(
                    upstream.address, encode_report_call(upstream.id)
                )
            report = decode_report(answer)
        except (TimeoutError, BuckthornstileError, ValueError) as error:
            self.note_failure(upstream)
            log_event("engine.report_failed", upstream=name, reason=repr(error))
            return
        self.planner.note_report(
            upstream.id, report.versions, report.order_count, report.is_busy
        )
        if any(
            version > self.view.get_version(upstream, model)
            for model, version in report.versions.items()
        ):
            self.view.note_versions(upstream.id, upstream.born, report.versions)
            self.on_news()
        log_event(
            "engine.report",
            upstream=name,
            orders=report.order_count,
            busy=report.is_busy,
            versions=",".join(map(str, report.versions.values())),
        )

    # Usage

    async def _report_usage(self) -> None:
        if self.client is None or not self._may_act():
            return
        wall = self.wall_clock()
        unsealed = self.totals.find_unsealed(
            self.fold.seals, wall, self.usage_due, self.list_live()
        )
        for window in unsealed:
            record = SealRecord(window, self.totals.sum_window(window))
            offset = await self._append(record)
            if offset is None:
                return
            self.fold.apply(offset, record)
            log_event("usage.sealed", window=window, counts=dict(record.counts))
        for seal in list(self.fold.seals.values()):
            if not seal.is_reported:
                await self._report(seal, wall)

    async def _report(self, seal: SealRecord, wall: float) -> None:
        assert self.client is not None
        age = wall - (seal.window + 1) * self.totals.window
        if age > self.usage_due or not self._may_act():
            return
        try:
            await self.client.report_usage(
                seal.window,
                seal.counts,
                holder=self.node,
                term=self.fold.term,
                timeout=min(REPORT_TIMEOUT, self.lease.get_time_left()),
            )
        except PlatformUnavailableError as error:
            log_event("usage.report_failed", window=seal.window, reason=error.message)
            await asyncio.sleep(REPORT_PAUSE)
            return
        record = SealRecord(seal.window, seal.counts, is_reported=True)
        log_event("usage.reported", window=seal.window, term=self.fold.term, age=age)
        self.fold.apply(self.fold.end - 1, record)
        await self._append(record)
