"""Admits calls to services in fair order within concurrency limits."""

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

QUEUE_RETRY_AFTER_SECONDS = 0.2
"""Seconds after which a call rejected with ``QUEUE_FULL`` may be retried."""
DISPATCH_INTERVAL = 0.2
"""Seconds between two checks for an increased concurrency limit of a service."""


@dataclass(slots=True)
class _Service:
    """Queue, waiting calls and number of running calls of one service."""

    queue: FairQueue = field(default_factory=FairQueue)
    running: int = 0
    waiting: dict[RequestId, "asyncio.Future[None]"] = field(default_factory=dict)


class AdmissionController:
    """Limits concurrent calls and shares capacity among client accounts by weight.

    Args:
        get_concurrency_limit: A function that returns how many calls of a service may
            run concurrently in this entry.
        clock: A function that returns the monotonic time in seconds.
        maximum_open: Number of calls that may be running or queued at the same time.
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
        self.open_calls = 0
        self._open_by_account: dict[AccountId, int] = {}
        self._services: dict[ServiceName, _Service] = {}

    async def acquire(
        self,
        service: ServiceName,
        account: Account,
        request_class: RequestClass,
        request: RequestId,
        *,
        cost: float,
        deadline: float,
    ) -> None:
        """Waits until a call may run; each admitted call must be released.

        Args:
            service: The service of the call.
            account: The client account.
            request_class: The scheduling class of the call.
            request: The id of the call.
            cost: The expected work of the call, in tokens.
            deadline: The clock reading after which the call is rejected.

        Raises:
            BuckthornstileError: ``QUEUE_FULL`` or ``DEADLINE_PASSED``.
        """
        self._add_open_call(account)
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
            self._remove_open_call(account.name)
            raise

    def release(self, service: ServiceName, account: AccountId) -> None:
        """Releases a call that was admitted before and admits the next ones."""
        self._remove_open_call(account)
        state = self._services[service]
        state.running -= 1
        self._dispatch(service, state)

    def _add_open_call(self, account: Account) -> None:
        account_open = self._open_by_account.get(account.name, 0)
        if self.open_calls >= self.maximum_open or account_open >= account.maximum_open:
            raise _make_queue_full_error(
                f"{account_open} calls of account {account.name!r} are open"
            )
        self.open_calls += 1
        self._open_by_account[account.name] = account_open + 1

    def _remove_open_call(self, account: AccountId) -> None:
        self.open_calls -= 1
        self._open_by_account[account] -= 1
        if not self._open_by_account[account]:
            del self._open_by_account[account]

    async def _wait(
        self, service: ServiceName, state: _Service, item: QueueItem
    ) -> None:
        result = state.queue.push(item, self.clock())
        if not result.accepted:
            raise _make_queue_full_error(f"the queue of service {service!r} is full")
        for shed in result.shed:
            _reject(
                state,
                shed,
                _make_queue_full_error(
                    "the call was evicted from the full queue for another account"
                ),
            )
        future = asyncio.get_running_loop().create_future()
        state.waiting[item.request_id] = future
        try:
            while not future.done():
                self._dispatch(service, state)
                remaining = item.deadline - self.clock()
                if remaining <= 0 and not future.done():
                    raise _make_deadline_error()
                await asyncio.wait({future}, timeout=min(DISPATCH_INTERVAL, remaining))
            future.result()
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                state.running -= 1
            raise
        finally:
            state.waiting.pop(item.request_id, None)
            state.queue.remove(item.request_id)

    def _dispatch(self, service: ServiceName, state: _Service) -> None:
        while state.running < self.get_concurrency_limit(service):
            item = state.queue.pop(self.clock())
            for expired in state.queue.pop_expired():
                _reject(state, expired, _make_deadline_error())
            if item is None:
                return
            future = state.waiting.get(item.request_id)
            if future is not None and not future.done():
                state.running += 1
                future.set_result(None)


def _reject(state: _Service, item: QueueItem, error: BuckthornstileError) -> None:
    future = state.waiting.get(item.request_id)
    if future is not None and not future.done():
        future.set_exception(error)


def _make_queue_full_error(message: str) -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.QUEUE_FULL, message, retry_after=QUEUE_RETRY_AFTER_SECONDS
    )


def _make_deadline_error() -> BuckthornstileError:
    return BuckthornstileError(
        ErrorCode.DEADLINE_PASSED, "the call timed out in the queue"
    )
