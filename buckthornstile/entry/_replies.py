"""What each message of an agent does at the entry."""

from functools import singledispatch

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
)
from buckthornstile.entry._links import AgentLink
from buckthornstile.wire import (
    Answer,
    Chunk,
    End,
    FinishedList,
    Goodbye,
    Heartbeat,
    Message,
    OrderResult,
    Relay,
    RelayRequest,
    Sealed,
    Started,
)


@singledispatch
def handle_reply(message: Message, link: AgentLink) -> None:
    """Does what an agent's message asks for.

    Args:
        message: The message.
        link: Where it came from.

    Raises:
        BuckthornstileError: With ``FRAME_MALFORMED`` for a message that no
            agent sends.
    """
    raise BuckthornstileError(
        ErrorCode.FRAME_MALFORMED, f"an agent sent a {type(message).__name__}"
    )


@handle_reply.register(Started)
@handle_reply.register(Chunk)
@handle_reply.register(End)
def _(message: Started | Chunk | End, link: AgentLink) -> None:
    link.deliver(message)


@handle_reply.register
def _(message: Answer, link: AgentLink) -> None:
    for reply in message.split():
        link.deliver(reply)


@handle_reply.register
def _(message: Heartbeat, link: AgentLink) -> None:
    link.heard_at = link.owner.read_clock()
    link.view.on_heartbeat(message, link.heard_at)
    link.agent_offset = message.configuration_offset
    link.owner.note_term(message.term)
    known = link.owner.get_configuration_offset()
    if message.configuration_offset > known:
        link.send(RelayRequest(known))
    elif message.configuration_offset < known:
        link.send(Relay(tuple(link.owner.get_relay(message.configuration_offset))))


@handle_reply.register
def _(message: Relay, link: AgentLink) -> None:
    missing = link.owner.merge_relay(message.records)
    if missing is not None:
        link.send(RelayRequest(missing))


@handle_reply.register
def _(message: RelayRequest, link: AgentLink) -> None:
    records = tuple(link.owner.get_relay(message.first))
    if records:
        link.send(Relay(records))


@handle_reply.register
def _(message: Goodbye, link: AgentLink) -> None:
    link.said_goodbye = True
    link.update_leaving()


@handle_reply.register
def _(message: Sealed, link: AgentLink) -> None:
    link.on_sealed(message)


@handle_reply.register
def _(message: OrderResult, link: AgentLink) -> None:
    link.on_order_result(message)


@handle_reply.register
def _(message: FinishedList, link: AgentLink) -> None:
    link.on_finished_list(message)
