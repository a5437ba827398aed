"""The thin shell that reads the log and runs the control core's actions.

The lease is rechecked immediately before each write, and each write has a deadline
shorter than what is left. A process that is suspended between that check and the
write's departure is beyond any check of its own; against it stand the deadline and
fencing number that the write carries, the agents' own check of the term, and
deterministic ids.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import singledispatchmethod

from buckthornstile.base import (
    BuckthornstileError,
    Offset,
    PlatformUnavailableError,
)
from buckthornstile.clock import read_boottime, read_wall_time
from buckthornstile.control._actions import Append, ControlAction, SendReport
from buckthornstile.control._core import ControlCore
from buckthornstile.orders import (
    OrderAnswer,
    ReadOrders,
    SendAgentOrder,
    SendUpstreamOrder,
)
from buckthornstile.ports import PlatformPorts
from buckthornstile.records import Record, decode_record, encode_record

RecordListener = Callable[[Offset, Record, float], None]
"""Called with offset, record and time of reading, for folds beside control."""

SendAgentOrderCall = Callable[[SendAgentOrder], Awaitable[OrderAnswer]]

DEFAULT_TICK_SECONDS = 0.25
DEFAULT_APPEND_TIMEOUT_SECONDS = 3.0
DEFAULT_READ_WAIT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 5.0
MAX_BACKOFF_SECONDS = 5.0
MAX_TASKS = 128
"""Writes in flight at once."""


class ControlRunner:
    """Reads the log for one process and runs control's actions.

    Args:
        ports: The platform.
        core: The control core.
        send_agent_order: Sends an order to an agent.
        listeners: Called with each record, in offset order, before the core.
        read_clock: Reads a clock that goes on while the VM is suspended.
        read_wall: Reads the wall clock.
        sleep: Waits for some seconds.
        tick: Seconds between decisions.
        append_timeout: Seconds after which an append counts as unanswered.
        read_wait: Seconds that a read waits at the log's end.

    Attributes:
        is_candidate: Whether this process may claim; set by its owner.
        counters: What failed, by kind.
    """

    def __init__(
        self,
        ports: PlatformPorts,
        core: ControlCore,
        send_agent_order: SendAgentOrderCall,
        *,
        listeners: Sequence[RecordListener] = (),
        read_clock: Callable[[], float] = read_boottime,
        read_wall: Callable[[], float] = read_wall_time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        tick: float = DEFAULT_TICK_SECONDS,
        append_timeout: float = DEFAULT_APPEND_TIMEOUT_SECONDS,
        read_wait: float = DEFAULT_READ_WAIT_SECONDS,
    ) -> None:
        self.ports = ports
        self.core = core
        self.send_agent_order = send_agent_order
        self.listeners = listeners
        self.read_clock = read_clock
        self.read_wall = read_wall
        self.sleep = sleep
        self.tick = tick
        self.append_timeout = append_timeout
        self.read_wait = read_wait
        self.is_candidate = True
        self.counters: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_offset = Offset(0)
        self._is_stopped = False

    async def run(self) -> None:
        """Reads and acts until :meth:`stop`."""
        reading = asyncio.create_task(self._read_on())
        try:
            while not self._is_stopped:
                self.act()
                await self.sleep(self.tick)
        finally:
            reading.cancel()
            await asyncio.gather(reading, *self._tasks, return_exceptions=True)

    async def stop(self, *, timeout: float = 5.0) -> None:
        """Finishes what is in flight, releases the lease and ends :meth:`run`.

        Args:
            timeout: Seconds after which the lease is left to lapse instead.
        """
        self.core.stop()
        ends_at = self.read_clock() + timeout
        while self.read_clock() < ends_at:
            if not self.core.make_status(self.read_clock()).is_holder:
                break
            await self.sleep(self.tick)
        self._is_stopped = True

    async def read_once(self, *, wait: float = 0.0) -> int:
        """Reads one page and passes it to the listeners and the core.

        Args:
            wait: Seconds that the log may wait for a record.

        Returns:
            How many records came.

        Raises:
            PlatformUnavailableError: The log did not answer.
        """
        try:
            page = await asyncio.wait_for(
                self.ports.log.read(self._next_offset, wait=wait),
                READ_TIMEOUT_SECONDS + wait,
            )
        except TimeoutError as error:
            raise PlatformUnavailableError("the log did not answer") from error
        # Later than the log's own reading, so followers wait rather too long.
        read_at = self.read_clock()
        self.core.fold.skip_to(page.first_retained)
        self._next_offset = max(self._next_offset, page.first_retained)
        for entry in page.entries:
            if entry.offset < self._next_offset:
                continue
            self._next_offset = Offset(entry.offset + 1)
            record = decode_record(entry.data)
            self._tell_listeners(entry.offset, record, read_at)
            self._apply(entry.offset, record, read_at)
        return len(page.entries)

    def act(self) -> int:
        """Decides once and starts the actions.

        Returns:
            How many actions were started.
        """
        if len(self._tasks) >= MAX_TASKS:
            self.counters["action.too_many"] += 1
            return 0
        try:
            actions = self.core.decide(
                self.read_clock(),
                wall_now=self.read_wall(),
                candidate=self.is_candidate,
            )
        except Exception:
            # Without a renewal the lease lapses, and another candidate takes over.
            self.counters["decide.failed"] += 1
            return 0
        for action in actions:
            task = asyncio.create_task(self._run_action(action))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return len(actions)

    async def settle(self) -> None:
        """Waits for the actions in flight."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _read_on(self) -> None:
        backoff = self.tick
        while not self._is_stopped:
            try:
                await self.read_once(wait=self.read_wait)
                backoff = self.tick
            except Exception:
                # Whatever an adapter raises, the log is read on later.
                self.counters["log.read_failed"] += 1
                await self.sleep(backoff)
                backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _apply(self, offset: Offset, record: Record, read_at: float) -> None:
        try:
            self.core.apply(offset, record, read_at=read_at)
        except Exception:
            # The same record fails in every process, so their folds still agree.
            self.counters["fold.failed"] += 1

    def _tell_listeners(self, offset: Offset, record: Record, read_at: float) -> None:
        for listener in self.listeners:
            try:
                listener(offset, record, read_at)
            except Exception:
                # One fold's fault must not keep the others from reading on.
                self.counters["listener.failed"] += 1

    async def _run_action(self, action: ControlAction) -> None:
        try:
            await self._run(action)
        except Exception as error:
            self.counters[f"action.failed.{type(error).__name__}"] += 1

    @singledispatchmethod
    async def _run(self, action: ControlAction) -> None:
        raise TypeError(f"unknown action {type(action).__name__}")

    @_run.register
    async def _append(self, action: Append) -> None:
        data = encode_record(action.record)
        if action.needs_lease and self._may_act(0.0) is None:
            self.counters["append.dropped"] += 1
            return
        try:
            await asyncio.wait_for(
                self.ports.log.append(data), timeout=self.append_timeout
            )
        except (BuckthornstileError, TimeoutError):
            # The core repeats it unless it is read back.
            self.counters["log.append_unanswered"] += 1

    @_run.register
    async def _report(self, action: SendReport) -> None:
        taken = False
        try:
            if self._may_act(action.timeout) is not None:
                call = self.ports.usage_reports.report(
                    action.seal, timeout=action.timeout
                )
                await asyncio.wait_for(call, timeout=action.timeout)
                taken = True
        except (BuckthornstileError, TimeoutError):
            self.counters["report.unanswered"] += 1
        finally:
            window = action.seal.window
            self.core.on_report_result(window, taken, self.read_clock())

    @_run.register
    async def _order(self, action: SendUpstreamOrder) -> None:
        answer = OrderAnswer.NOT_SENT
        try:
            if self._may_act(action.timeout) is not None:
                answer = OrderAnswer.UNKNOWN
                call = self.ports.orders.order(action.order, timeout=action.timeout)
                await asyncio.wait_for(call, timeout=action.timeout)
                answer = OrderAnswer.DONE
        except PlatformUnavailableError as error:
            if not error.may_have_taken_effect:
                answer = OrderAnswer.NOT_SENT
        except TimeoutError:
            self.counters["order.unanswered"] += 1
        except BuckthornstileError:
            answer = OrderAnswer.REFUSED
        finally:
            order_id = action.order.order_id
            self.core.on_order_answer(order_id, answer, self.read_clock())

    @_run.register
    async def _agent_order(self, action: SendAgentOrder) -> None:
        answer = OrderAnswer.NOT_SENT
        try:
            if self._may_act(action.timeout) is not None:
                answer = OrderAnswer.UNKNOWN
                call = self.send_agent_order(action)
                answer = await asyncio.wait_for(call, timeout=action.timeout)
        except (BuckthornstileError, TimeoutError):
            self.counters["agent_order.unanswered"] += 1
        finally:
            self.core.on_order_answer(action.order_id, answer, self.read_clock())

    @_run.register
    async def _read_orders(self, action: ReadOrders) -> None:
        started_at = self.read_clock()
        try:
            order_ids = await asyncio.wait_for(
                self.ports.orders.list_orders(), timeout=READ_TIMEOUT_SECONDS
            )
        except (BuckthornstileError, TimeoutError):
            self.counters["orders.read_failed"] += 1
            return
        self.core.on_orders_listed(order_ids, started_at=started_at)

    def _may_act(self, order_seconds: float) -> object:
        return self.core.may_act(self.read_clock(), order_seconds=order_seconds)
