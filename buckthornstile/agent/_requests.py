"""What an agent knows of one request between its arrival and its end."""

import asyncio
from dataclasses import dataclass, field

from buckthornstile.base import BuckthornstileError
from buckthornstile.queueing import QueueItem
from buckthornstile.wire import Connection, Dispatch, Message

DEFAULT_COST_TOKENS = 32.0


@dataclass(slots=True)
class AgentRequest:
    """One request at an agent.

    Args:
        dispatch: What the entry asked for.
        connection: The entry's connection, or None once it is lost.
        arrived_at: The clock reading at its arrival, in seconds.
        deadline: The clock reading after which nobody wants the answer.
        task: The upstream call, once it runs.
        begun: Whether the task has taken its first step.
        stop_error: Why the call was cancelled, if it was.
        cancelled_by_caller: Whether the entry itself gave it up.
    """

    dispatch: Dispatch
    connection: Connection | None
    arrived_at: float
    deadline: float
    task: asyncio.Task[None] | None = None
    begun: bool = False
    stop_error: BuckthornstileError | None = None
    cancelled_by_caller: bool = False
    tokens_sent: int = field(default=0)

    @property
    def is_sample(self) -> bool:
        """Whether it makes a sample of a lot."""
        return bool(self.dispatch.lot)

    @property
    def outlives_connection(self) -> bool:
        """Whether its result is worth having though the entry is gone.

        A sample is kept for the next entry; a call that may not be repeated is
        finished, so that a retry gets its answer.
        """
        return self.is_sample or not self.dispatch.idempotent

    def reply(self, message: Message) -> None:
        """Sends a message to the entry, if it is still connected."""
        if self.connection is None or self.connection.closed:
            return
        self.connection.send(message)

    def make_queue_item(self) -> QueueItem:
        """Makes the item that waits in the fair queue."""
        dispatch = self.dispatch
        return QueueItem(
            dispatch.request_id,
            dispatch.account,
            dispatch.request_class,
            weight=dispatch.weight,
            cost=float(dispatch.expected_tokens) or DEFAULT_COST_TOKENS,
            slack=dispatch.slack,
            deadline=self.deadline,
        )
