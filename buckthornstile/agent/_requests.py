"""What an agent knows of one request between its arrival and its end."""

import asyncio
from dataclasses import dataclass, field

from buckthornstile.base import BuckthornstileError
from buckthornstile.queueing import QueueItem
from buckthornstile.wire import Connection, Dispatch, Message

DEFAULT_COST_TOKENS = 32.0


@dataclass(slots=True)
class StreamProgress:
    """How far an engine's stream of tokens has come.

    Args:
        first_at: The clock reading at the first token, or None before it.
        tokens: Tokens so far.
        counted: Tokens that have been reported to the limit.
        counted_at: The clock reading up to which its time has been reported.
    """

    first_at: float | None = None
    tokens: int = 0
    counted: int = 0
    counted_at: float = 0.0

    def take(self, now: float) -> tuple[int, float]:
        """Gives the tokens and the streaming time since the last call.

        Args:
            now: The clock reading, in seconds.

        Returns:
            Tokens, and seconds; the first token's wait is not part of them.
        """
        if self.first_at is None:
            return 0, 0.0
        since = max(self.first_at, self.counted_at)
        tokens = self.tokens - self.counted
        self.counted = self.tokens
        self.counted_at = now
        return tokens, now - since


@dataclass(slots=True)
class AgentRequest:
    """One request at an agent.

    Args:
        dispatch: What the entry asked for.
        connection: The entry's connection, or None once it is lost.
        arrived_at: The clock reading at its arrival, in seconds.
        deadline: The clock reading after which nobody wants the answer.
        task: The upstream call, once it runs.
        stop_error: Why the call was cancelled, if it was.
        has_begun: Whether the upstream call's task has made its first step.
        progress: How far its stream of tokens has come.
    """

    dispatch: Dispatch
    connection: Connection | None
    arrived_at: float
    deadline: float
    task: asyncio.Task[None] | None = None
    stop_error: BuckthornstileError | None = None
    has_begun: bool = False
    progress: StreamProgress = field(default_factory=StreamProgress)

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
