"""Admits calls in fair order while their service has places."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    RequestClass,
    RequestId,
    ServiceName,
)
from buckthornstile.configuration import Account
from buckthornstile.queueing import FairQueue, QueueItem

QUEUE_RETRY = 0.2
"""Seconds after which a call that was refused for the queue may come again."""
PUMP_PERIOD = 0.2
"""Seconds between two looks for places that became free elsewhere."""


@dataclass(slots=True)
class _Service:
    """Calls of one service: how many run, and which wait."""

    queue: FairQueue = field(default_factory=FairQueue)
    running: int = 0
    waiting: dict[RequestId, "asyncio.Future[None]"] = field(default_factory=dict)


class AdmissionController:
    """Bounds what runs at once and shares it among client accounts by weight.

    Args:
        get_concurrency_limit: Gives the calls of a service that may run here at once.
        clock: Gives the steady time in seconds.
        maximum_open: Calls that may be open or queued at once.
    """

    def __init__(
        self,
        get_concurrency_limit: Callable[[ServiceName], int],
        clock: Callable[[], float],
        *,
        maximum_open: int,
    ) -> None:
        self.get_concurrency_limit = get_concurrency_limit
        self.clock = clock
        self.maximum_open = maximum_open
        self.open = 0
        self._open_by_account: dict[AccountId, int] = {}
        self._services: dict[ServiceName, _Service] = {}

    async def enter(
        self,
        service: ServiceName,
        account: Account,
        request_class: RequestClass,
        request: RequestId,
        *,
        cost: float,
        deadline: float,
    ) -> None:
        """Waits for a place; each call that was let in must leave.

        Args:
            service: The service that it needs.
            account: The client account.
            request_class: Who waits on it.
            request: The call's own id.
            cost: Its expected work, in tokens.
            deadline: The clock reading after which nobody wants the answer.

        Raises:
            BuckthornstileError: ``QUEUE_FULL`` or ``DEADLINE_PASSED``.
        """
        self._count(account)
        state = self._services.setdefault(service, _Service())
        try:
            if not len(state.queue) and state.running < self.get_concurrency_limit(
                service
            ):
                state.running += 1
                return
            await self._wait(
                service,
                state,
                QueueItem(
                    request,
                    account.name,
                    request_class,
                    weight=account.weight,
                    cost=cost,
                    deadline=deadline,
                ),
            )
        except BaseException:
            self._uncount(account.name)
            raise

    def leave(self, service: ServiceName, account: AccountId) -> None:
        """Gives a place back."""
        self._uncount(account)
        state = self._services[service]
        state.running -= 1
        self._pump(service, state)

    def _count(self, account: Account) -> None:
        own = self._open_by_account.get(account.name, 0)
        if self.open >= self.maximum_open or own >= account.maximum_open:
            raise _make_full(f"{own} calls of account {account.name!r} are open")
        self.open += 1
        self._open_by_account[account.name] = own + 1

    def _uncount(self, account: AccountId) -> None:
        self.open -= 1
        self._open_by_account[account] -= 1
        if not self._open_by_account[account]:
            del self._open_by_account[account]

    async def _wait(
        self, service: ServiceName, state: _Service, item: QueueItem
    ) -> None:
        pushed = state.queue.push(item, self.clock())
        if not pushed.accepted:
            raise _make_full(f"the queue of service {service!r} is full")
        for shed in pushed.shed:
            _fail(state, shed, _make_full("other accounts' calls came first"))
        future = asyncio.get_running_loop().create_future()
        state.waiting[item.request_id] = future
        try:
            while not future.done():
                self._pump(service, state)
                left = item.deadline - self.clock()
                if left <= 0 and not future.done():
                    raise _make_late()
                await asyncio.wait({future}, timeout=min(PUMP_PERIOD, left))
            future.result()
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                state.running -= 1
            raise
        finally:
            state.waiting.pop(item.request_id, None)
            state.queue.remove(item.request_id)

    def _pump(self, service: ServiceName, state: _Service) -> None:
        while state.running < self.get_concurrency_limit(service):
            item = state.queue.pop(self.clock())
            for expired in state.queue.pop_expired():
                _fail(state, expired, _make_late())
            if item is None:
                return
            future = state.waiting.get(item.request_id)
            if future is not None and not future.done():
                state.running += 1
                future.set_result(None)


def _fail(state: _Service, item: QueueItem, error: BuckthornstileError) -> None:
    future = state.waiting.get(item.request_id)
    if future is not None and not future.done():
        future.set_exception(error)


def _make_full(message: str) -> BuckthornstileError:
    return BuckthornstileError(ErrorCode.QUEUE_FULL, message, retry_after=QUEUE_RETRY)


def _make_late() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DEADLINE_PASSED, "the call's timeout passed in the queue"
    )
