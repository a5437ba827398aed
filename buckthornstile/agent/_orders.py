"""The lease holder's orders to this agent, fenced by term."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from buckthornstile.agent._weights import WeightFetcher
from buckthornstile.base import (
    NO_TERM,
    BuckthornstileError,
    ErrorCode,
    OrderId,
    Term,
)
from buckthornstile.ports import EnginePort
from buckthornstile.wire import (
    Connection,
    Order,
    OrderResult,
)

FETCH_ACTION = "fetch_version"
LOAD_ACTION = "load_version"
ACTIONS = frozenset({FETCH_ACTION, LOAD_ACTION})
MAX_REMEMBERED_ORDERS = 1024


class OrderDesk:
    """Refuses orders of an older term and carries out each order once.

    Args:
        engine: The engine, or None beside a plain service.
        fetcher: Fetches weights.
        read_clock: Gives the time, in seconds.
    """

    def __init__(
        self,
        engine: EnginePort | None,
        *,
        fetcher: WeightFetcher,
        read_clock: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.fetcher = fetcher
        self.read_clock = read_clock
        self.term = NO_TERM
        self.loading = False
        self.refused_terms = 0
        self.failed_swaps = 0
        self.swaps = 0
        self._results: OrderedDict[OrderId, OrderResult] = OrderedDict()
        self._lock = asyncio.Lock()

    def note_term(self, term: Term) -> None:
        """Remembers the newest term that any peer has named."""
        self.term = max(self.term, term)

    def accept(self, order: Order, connection: Connection) -> None:
        """Begins an order; its result goes to the connection that asked."""
        arrived_at = self.read_clock()
        task = asyncio.create_task(self._answer(order, connection, arrived_at))
        # The loop keeps only a weak reference to a task.
        connection.__dict__.setdefault("tasks", set()).add(task)
        task.add_done_callback(connection.__dict__["tasks"].discard)

    async def _answer(
        self, order: Order, connection: Connection, arrived_at: float
    ) -> None:
        work = asyncio.create_task(self._try(order, arrived_at))
        await asyncio.wait([work], timeout=order.timeout)
        # An order that has begun is answered before it is finished: the holder
        # sees its end in heartbeats, and must not wait longer than its lease.
        begun = OrderResult(order.order_id, order.term, accepted=True)
        result = work.result() if work.done() else begun
        if not connection.closed:
            connection.send(result)
        await work

    async def _try(self, order: Order, arrived_at: float) -> OrderResult:
        try:
            return await self._carry_out(order, arrived_at)
        except BuckthornstileError as error:
            return OrderResult(
                order.order_id, order.term, False, error.code, error.message
            )

    async def _carry_out(self, order: Order, arrived_at: float) -> OrderResult:
        if order.action == FETCH_ACTION:
            # It only prepares, so that it may run beside a swap.
            self._check(order, arrived_at)
            self.fetcher.begin(order.version, order.source, order.source_port)
            return OrderResult(order.order_id, order.term, accepted=True)
        async with self._lock:
            done = self._results.get(order.order_id)
            if done is not None:
                return done
            self._check(order, arrived_at)
            await self.fetcher.wait_fetched(order.version)
            await self._load(order, arrived_at)
            result = OrderResult(order.order_id, order.term, accepted=True)
            self._results[order.order_id] = result
            while len(self._results) > MAX_REMEMBERED_ORDERS:
                self._results.popitem(last=False)
            return result

    def _check(self, order: Order, arrived_at: float) -> None:
        if order.term < self.term:
            self.refused_terms += 1
            raise BuckthornstileError(
                ErrorCode.TERM_OLD, f"term {order.term} is older than {self.term}"
            )
        self.note_term(order.term)
        if self.read_clock() - arrived_at > order.timeout:
            raise BuckthornstileError(
                ErrorCode.ORDER_LATE, "the order's time to begin has passed"
            )
        if order.action not in ACTIONS or self.engine is None:
            raise BuckthornstileError(
                ErrorCode.ORDER_UNKNOWN, f"no order {order.action!r} is known here"
            )

    async def _load(self, order: Order, arrived_at: float) -> None:
        assert self.engine is not None
        state = await self.engine.read_state()
        # Another holder may have come meanwhile, or the time to begin passed.
        self._check(order, arrived_at)
        if state.version == order.version:
            return
        self.loading = True
        try:
            await self.engine.load_version(order.version, term=order.term)
            self.swaps += 1
        except BuckthornstileError:
            self.failed_swaps += 1
            raise
        finally:
            self.loading = False
