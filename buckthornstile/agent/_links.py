"""One entry's connection to the agent, and what each message does."""

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    RequestId,
    Verdict,
    split_request_id,
)
from buckthornstile.guard import CallName, RequestState
from buckthornstile.wire import (
    AcknowledgeSamples,
    Cancel,
    ConfirmUsage,
    Connection,
    Dispatch,
    FinishedList,
    FinishedRequest,
    FinishedSample,
    Goodbye,
    Heartbeat,
    Message,
    Order,
    Relay,
    RelayRequest,
    Seal,
    Sealed,
    WeightRequest,
)

if TYPE_CHECKING:
    from buckthornstile.agent._daemon import Agent

MAX_LIST_BYTES = 16 << 20
"""Bodies in one list of finished samples; half of the longest frame."""


class EntryLink:
    """One entry's connection.

    Args:
        agent: The agent.
        connection: The proven connection.
    """

    def __init__(self, agent: "Agent", connection: Connection) -> None:
        self.agent = agent
        self.connection = connection
        self.heard_at = agent.read_clock()
        self.log_lag = float("inf")
        self.goodbye = False

    @property
    def incarnation(self) -> Incarnation:
        """The entry's incarnation."""
        assert self.connection.peer is not None
        return self.connection.peer.incarnation

    def get_log_lag(self, now: float) -> float:
        """Gives the seconds since the entry stood at the log's end, by now.

        Args:
            now: The clock reading, in seconds.
        """
        if self.connection.closed:
            return float("inf")
        return self.log_lag + now - self.heard_at

    async def serve(self) -> None:
        """Handles the entry's messages until the connection ends.

        Raises:
            BuckthornstileError: With ``FRAME_MALFORMED`` for a bad frame.
        """
        self.connection.send(self.agent.make_heartbeat())
        try:
            while True:
                handle_message(await self.connection.receive(), self)
        except BuckthornstileError as error:
            if error.code is not ErrorCode.CONNECTION_LOST:
                raise
        finally:
            self.agent.scheduler.on_connection_lost(self.connection)


@singledispatch
def handle_message(message: Message, link: EntryLink) -> None:
    """Does what an entry's message asks for.

    Args:
        message: The message.
        link: Where it came from.

    Raises:
        BuckthornstileError: With ``FRAME_MALFORMED`` for a message that no
            entry sends.
    """
    raise BuckthornstileError(
        ErrorCode.FRAME_MALFORMED, f"an entry sent a {type(message).__name__}"
    )


@handle_message.register
def _(message: Dispatch, link: EntryLink) -> None:
    if message.configuration_offset > link.agent.configuration.current.through:
        link.connection.send(RelayRequest(link.agent.configuration.current.through))
    link.agent.scheduler.accept(message, link.connection)


@handle_message.register
def _(message: Cancel, link: EntryLink) -> None:
    error = BuckthornstileError(
        ErrorCode.CANCELLED,
        message.reason or "the caller gave the request up",
        verdict=Verdict.MAY_HAVE_RUN,
    )
    link.agent.scheduler.cancel(message.request_id, error)


@handle_message.register
def _(message: Seal, link: EntryLink) -> None:
    if not message.idempotency_key:
        link.connection.send(_seal_request(message.request_id, link.agent))
        return
    verdict = link.agent.scheduler.table.seal_call(
        CallName(message.account, message.idempotency_key),
        link.agent.read_clock(),
        first_attempt_age=message.first_attempt_age,
    )
    link.connection.send(Sealed(message.request_id, verdict))


def _seal_request(request_id: RequestId, agent: "Agent") -> Sealed:
    """Seals a request, and tells what it used if it ran."""
    table = agent.scheduler.table
    verdict = table.seal(request_id, agent.read_clock())
    line = agent.scheduler.ledger.find(*split_request_id(request_id))
    return Sealed(
        request_id,
        verdict,
        is_open=table.get_state(request_id) is RequestState.STARTED,
        is_counted=line is not None,
        prompt_tokens=0 if line is None else line.prompt_tokens,
        generated_tokens=0 if line is None else line.generated_tokens,
    )


@handle_message.register
def _(message: Heartbeat, link: EntryLink) -> None:
    link.heard_at = link.agent.read_clock()
    link.log_lag = message.log_lag
    link.agent.note_term(message.term)
    known = link.agent.configuration.current.through
    if message.configuration_offset > known:
        link.connection.send(RelayRequest(known))


@handle_message.register
def _(message: Relay, link: EntryLink) -> None:
    missing = link.agent.merge_relay(message.records)
    if missing is not None:
        link.connection.send(RelayRequest(missing))


@handle_message.register
def _(message: RelayRequest, link: EntryLink) -> None:
    records = link.agent.configuration.records_after(message.first)
    if records:
        link.connection.send(Relay(records))


@handle_message.register
def _(message: FinishedRequest, link: EntryLink) -> None:
    finished = link.agent.scheduler.finished
    try:
        samples = finished.list_finished(message.lot, message.attach)
    except BuckthornstileError:
        # An older attach gets nothing; its dispatches are refused with a code.
        samples = ()
    fitting = _take_fitting(samples)
    link.connection.send(FinishedList(message.lot, message.attach, fitting))


def _take_fitting(samples: tuple[FinishedSample, ...]) -> tuple[FinishedSample, ...]:
    """Takes as many samples as fit into one frame; the others are made again."""
    taken: list[FinishedSample] = []
    room = MAX_LIST_BYTES
    for sample in samples:
        room -= len(sample.body)
        if room < 0 and taken:
            break
        taken.append(sample)
    return tuple(taken)


@handle_message.register
def _(message: AcknowledgeSamples, link: EntryLink) -> None:
    link.agent.scheduler.finished.acknowledge(message.lot, message.slots)


@handle_message.register
def _(message: ConfirmUsage, link: EntryLink) -> None:
    link.agent.scheduler.ledger.confirm(message.entry, message.through)


@handle_message.register
def _(message: Order, link: EntryLink) -> None:
    link.agent.orders.accept(message, link.connection)


@handle_message.register
def _(message: WeightRequest, link: EntryLink) -> None:
    link.connection.send(link.agent.fetcher.get_chunk(message))


@handle_message.register
def _(message: Goodbye, link: EntryLink) -> None:
    link.goodbye = True


async def send_heartbeats(agent: "Agent", interval: float) -> None:
    """Sends a heartbeat to every connected entry, again and again.

    Args:
        agent: The agent.
        interval: Seconds between two heartbeats.
    """
    while True:
        await asyncio.sleep(interval)
        heartbeat = agent.make_heartbeat()
        for link in list(agent.links):
            if not link.connection.closed:
                link.connection.send(heartbeat)
