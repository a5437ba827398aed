"""The lease holder's orders to this agent, fenced by term."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

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
    WeightChunk,
    WeightRequest,
)

MAX_REMEMBERED_ORDERS = 1024


class OrderDesk:
    """Refuses orders of an older term and carries out each order once.

    Args:
        engine: The engine, or None beside a plain service.
        read_clock: Gives the time, in seconds.
    """

    def __init__(
        self, engine: EnginePort | None, *, read_clock: Callable[[], float]
    ) -> None:
        self.engine = engine
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
        try:
            result = await self._carry_out(order, arrived_at)
        except BuckthornstileError as error:
            result = OrderResult(
                order.order_id, order.term, False, error.code, error.message
            )
        if not connection.closed:
            connection.send(result)

    async def _carry_out(self, order: Order, arrived_at: float) -> OrderResult:
        async with self._lock:
            done = self._results.get(order.order_id)
            if done is not None:
                return done
            self._check(order, arrived_at)
            await self._load(order)
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
        if order.action != "load_version" or self.engine is None:
            raise BuckthornstileError(
                ErrorCode.ORDER_UNKNOWN, f"no order {order.action!r} is known here"
            )

    async def _load(self, order: Order) -> None:
        assert self.engine is not None
        self.loading = True
        try:
            await self.engine.load_version(order.version, term=order.term)
            self.swaps += 1
        except BuckthornstileError:
            self.failed_swaps += 1
            raise
        finally:
            self.loading = False

    def get_chunk(self, request: WeightRequest) -> WeightChunk:
        """Gives one chunk of weights, if this agent has it."""
        return WeightChunk(request.version, request.index, code=ErrorCode.NO_UPSTREAM)
