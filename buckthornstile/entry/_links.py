"""The entry's connection to one agent."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    IdempotencyKey,
    Incarnation,
    LotId,
    Offset,
    OrderId,
    RequestId,
    Verdict,
)
from buckthornstile.entry._link_owner import LinkOwner
from buckthornstile.entry._outcomes import OpenOutcomes
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.ports import Vm, VmState
from buckthornstile.routing import UpstreamView
from buckthornstile.wire import (
    AcknowledgeSamples,
    Cancel,
    Chunk,
    ConfirmUsage,
    Connection,
    Dispatch,
    End,
    FinishedList,
    FinishedRequest,
    FinishedSample,
    Message,
    Order,
    OrderResult,
    Seal,
    Sealed,
    Slot,
    Started,
    dial_peer,
    make_connection_error,
)

RECONNECT_SECONDS = 0.25
MAX_RECONNECT_SECONDS = 2.0
SEAL_TIMEOUT_SECONDS = 1.5


class AgentLink:
    """Keeps a connection to one agent, and knows what is open over it.

    Args:
        owner: The entry.
        vm: Where the agent is.
        view: What the entry knows of the upstream; kept up to date here.
        on_message: Does what a message of the agent asks for.
    """

    def __init__(
        self,
        owner: LinkOwner,
        vm: Vm,
        view: UpstreamView,
        *,
        on_message: Callable[[Message, "AgentLink"], None],
    ) -> None:
        self.owner = owner
        self.vm = vm
        self.view = view
        self.on_message = on_message
        self.connection: Connection | None = None
        self.incarnation = Incarnation("")
        self.connects = 0
        self.last_error: ErrorCode | None = None
        self.agent_offset = Offset(-1)
        self.heard_at = owner.read_clock()
        self.outcomes = OpenOutcomes()
        self.said_goodbye = False
        self._pending: dict[RequestId, PendingRequest] = {}
        self._seals: dict[RequestId, asyncio.Future[Verdict]] = {}
        self._orders: dict[OrderId, asyncio.Future[OrderResult]] = {}
        self._finished: dict[LotId, asyncio.Future[tuple[FinishedSample, ...]]] = {}
        self._task: asyncio.Task[None] | None = None
        self._connected = asyncio.Event()
        self._seal_count = 0

    # Life

    def start(self) -> None:
        """Begins to connect, and to connect again after each loss."""
        self._task = asyncio.create_task(self._keep_connected())

    def stop(self) -> None:
        """Ends the link; what is open over it ends with a true verdict."""
        if self._task is not None:
            self._task.cancel()
        if self.connection is not None:
            self.connection.close()
        self._lose()
        self.outcomes.close()

    @property
    def is_up(self) -> bool:
        """Whether the agent is connected."""
        return self.connection is not None and not self.connection.closed

    @property
    def open_count(self) -> int:
        """Requests open over this link."""
        return len(self._pending)

    async def wait_connected(self, timeout: float) -> bool:
        """Waits until the agent is connected.

        Args:
            timeout: Seconds to wait.

        Returns:
            Whether it is.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._connected.wait()
        return self.is_up

    async def _keep_connected(self) -> None:
        delay = RECONNECT_SECONDS
        while True:
            try:
                connection = await dial_peer(
                    self.vm.address,
                    self.vm.port,
                    self.owner.identity,
                    self.owner.secret,
                    ssl_context=self.owner.ssl_context,
                    timeout=self.owner.connect_timeout,
                )
            except BuckthornstileError as error:
                self.last_error = error.code
                await asyncio.sleep(delay)
                delay = min(delay * 2, MAX_RECONNECT_SECONDS)
                continue
            delay = RECONNECT_SECONDS
            await self._serve(connection)
            await asyncio.sleep(delay)

    async def _serve(self, connection: Connection) -> None:
        assert connection.peer is not None
        if connection.peer.upstream != self.vm.upstream:
            # Another agent has the address now: the VM list lags.
            self.last_error = ErrorCode.NO_UPSTREAM
            connection.close()
            return
        self.connection = connection
        self.heard_at = self.owner.read_clock()
        if self.incarnation != connection.peer.incarnation:
            # A goodbye was its earlier life's.
            self.said_goodbye = False
        self.incarnation = connection.peer.incarnation
        self.update_leaving()
        self.ask_outcomes()
        self.connects += 1
        self.last_error = None
        self._connected.set()
        connection.send(self.owner.make_heartbeat())
        self.owner.on_link_change(self)
        try:
            while True:
                self.on_message(await connection.receive(), self)
        except BuckthornstileError as error:
            self.last_error = error.code
        finally:
            connection.close()
            self.connection = None
            self._connected.clear()
            self._lose()
            self.owner.on_link_change(self)

    def _lose(self) -> None:
        self.view.heartbeat_at = None
        for pending in list(self._pending.values()):
            pending.push(make_connection_error())
        for waiting in (self._seals, self._orders, self._finished):
            for future in waiting.values():
                if not future.done():
                    future.set_exception(make_connection_error())
                    # A caller that has gone leaves nobody to read it.
                    future.exception()
            waiting.clear()

    def close_if_silent(self, now: float) -> None:
        """Closes a connection whose agent has sent no heartbeat for too long."""
        silent = now - self.heard_at > self.owner.heartbeat_timeout
        if silent and self.connection is not None:
            self.connection.close()

    def send(self, message: Message) -> bool:
        """Sends a message if the agent is connected.

        Returns:
            Whether it was handed to the connection.
        """
        if self.connection is None or self.connection.closed:
            return False
        self.connection.send(message)
        return True

    # Requests

    def dispatch(self, dispatch: Dispatch) -> PendingRequest:
        """Sends a request to the agent.

        Args:
            dispatch: The request.

        Returns:
            Where its replies arrive.

        Raises:
            BuckthornstileError: ``CONNECTION_LOST`` with the verdict NOT_RUN:
                nothing was sent.
        """
        if not self.is_up:
            raise BuckthornstileError(
                ErrorCode.CONNECTION_LOST, "the agent is not connected"
            )
        pending = PendingRequest(dispatch, self.incarnation, on_end=self._on_end)
        self.send(dispatch)
        self._pending[dispatch.request_id] = pending
        self.view.on_send(float(dispatch.expected_tokens) or 1.0)
        return pending

    def _on_end(self, pending: PendingRequest) -> None:
        request_id = pending.dispatch.request_id
        self._pending.pop(request_id, None)
        self.view.on_finish()
        if pending.broken:
            self.send(Cancel(request_id, "the answer is not taken to its end"))

    def cancel(self, pending: PendingRequest, error: BuckthornstileError) -> None:
        """Gives a request up; its late replies are dropped."""
        if pending.ended:
            return
        self.send(Cancel(pending.dispatch.request_id, error.message))
        pending.push(error)

    def deliver(self, reply: Started | Chunk | End) -> None:
        """Hands a reply to the request that it belongs to, if it is open."""
        pending = self._pending.get(reply.request_id)
        if pending is not None:
            pending.push(reply)
        elif isinstance(reply, End):
            self.outcomes.on_end(reply)

    def ask_outcomes(self) -> None:
        """Asks the agent about requests whose usage is not known yet."""
        incarnation = self.incarnation if self.is_up else Incarnation("")
        now = self.owner.read_clock()
        for question in self.outcomes.make_questions(incarnation, now):
            self.send(question)

    def update_leaving(self) -> None:
        """Marks the view by the VM list and by what the agent said itself."""
        listed = self.vm.state is VmState.LEAVING
        self.view.leaving = listed or self.said_goodbye

    async def seal(self, pending: PendingRequest) -> Verdict:
        """Finds out what became of a request whose connection was lost.

        Args:
            pending: The request.

        Returns:
            A true verdict; MAY_HAVE_RUN if the agent cannot be asked.
        """
        if not await self.wait_connected(SEAL_TIMEOUT_SECONDS):
            return Verdict.MAY_HAVE_RUN
        if self.incarnation != pending.agent_incarnation:
            # The agent that got the request is gone, and its memory with it.
            return Verdict.MAY_HAVE_RUN
        return await self._ask_seal(Seal(pending.dispatch.request_id))

    async def seal_call(
        self, account: AccountId, key: IdempotencyKey, first_attempt_age: float
    ) -> Verdict:
        """Seals a call's earlier attempts at this agent.

        Returns:
            NOT_RUN if none has started or ever will; else MAY_HAVE_RUN or RAN.
        """
        if not await self.wait_connected(SEAL_TIMEOUT_SECONDS):
            return Verdict.MAY_HAVE_RUN
        self._seal_count += 1
        question = RequestId(
            f"{self.owner.identity.incarnation}-seal/{self._seal_count}"
        )
        return await self._ask_seal(Seal(question, key, account, first_attempt_age))

    async def _ask_seal(self, question: Seal) -> Verdict:
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._seals[question.request_id] = future
        self.send(question)
        try:
            return await asyncio.wait_for(future, SEAL_TIMEOUT_SECONDS)
        except (TimeoutError, BuckthornstileError):
            return Verdict.MAY_HAVE_RUN
        finally:
            self._seals.pop(question.request_id, None)

    # Orders and samples

    async def send_order(self, order: Order, timeout: float) -> OrderResult:
        """Sends an order and waits for its result.

        Args:
            order: The order.
            timeout: Seconds to wait for the result.

        Raises:
            BuckthornstileError: The connection was lost.
            TimeoutError: No result came in time.
        """
        if not self.is_up:
            raise BuckthornstileError(
                ErrorCode.CONNECTION_LOST, "the agent is not connected"
            )
        future: asyncio.Future[OrderResult] = asyncio.get_running_loop().create_future()
        self._orders[order.order_id] = future
        self.send(order)
        try:
            return await asyncio.wait_for(future, timeout)
        finally:
            self._orders.pop(order.order_id, None)

    async def fetch_finished(
        self, lot: LotId, attach: int, timeout: float
    ) -> tuple[FinishedSample, ...]:
        """Fetches a lot's finished samples from the agent.

        Args:
            lot: The lot.
            attach: The trainer's attach number.
            timeout: Seconds to wait.

        Returns:
            The samples; none if the agent does not answer.
        """
        if not self.is_up:
            return ()
        future: asyncio.Future[tuple[FinishedSample, ...]] = (
            asyncio.get_running_loop().create_future()
        )
        self._finished[lot] = future
        self.send(FinishedRequest(lot, attach))
        try:
            return await asyncio.wait_for(future, timeout)
        except (TimeoutError, BuckthornstileError):
            return ()
        finally:
            self._finished.pop(lot, None)

    def acknowledge(self, lot: LotId, slots: tuple[Slot, ...]) -> None:
        """Tells the agent that the trainer has these samples."""
        self.send(AcknowledgeSamples(lot, slots))

    def confirm_usage(self, incarnation: Incarnation, through: int) -> None:
        """Tells the agent how far this entry's usage is in the log."""
        self.send(ConfirmUsage(incarnation, through))

    def on_sealed(self, message: Sealed) -> None:
        """Takes the answer to a seal."""
        _resolve(self._seals, message.request_id, message.verdict)
        self.outcomes.on_sealed(message)

    def on_order_result(self, message: OrderResult) -> None:
        """Takes the result of an order."""
        _resolve(self._orders, message.order_id, message)

    def on_finished_list(self, message: FinishedList) -> None:
        """Takes a lot's finished samples."""
        _resolve(self._finished, message.lot, message.samples)


def _resolve(futures: dict[Any, asyncio.Future[Any]], key: str, value: object) -> None:
    future = futures.get(key)
    if future is not None and not future.done():
        future.set_result(value)
