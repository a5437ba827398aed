"""Requests that an entry has given up and whose usage an agent may still tell."""

from collections.abc import Callable
from dataclasses import dataclass

from buckthornstile.base import Incarnation, RequestId, Verdict
from buckthornstile.entry._pending import PendingRequest
from buckthornstile.wire import End, Seal, Sealed

OUTCOME_MARGIN_SECONDS = 15.0
"""Seconds beyond a request's own timeout for which its outcome is awaited."""

MAX_QUESTIONS = 64
"""Outcomes asked for in one heartbeat."""

Settle = Callable[[End | None], None]


@dataclass(frozen=True, slots=True)
class _Awaited:
    agent_incarnation: Incarnation
    until: float
    settle: Settle


class OpenOutcomes:
    """Keeps a request's usage open while its agent may still tell of it.

    A request whose connection was lost, or whose caller has gone, may run to
    its end. Its agent sends the end over the same connection, or tells it when
    asked over the next one.

    Example:
        >>> outcomes = OpenOutcomes()
        >>> len(outcomes)
        0
    """

    def __init__(self) -> None:
        self._awaited: dict[RequestId, _Awaited] = {}

    def __len__(self) -> int:
        return len(self._awaited)

    def add(self, pending: PendingRequest, settle: Settle, now: float) -> None:
        """Awaits the outcome of a request.

        Args:
            pending: The request.
            settle: Called once, with its end, or None if nobody will tell.
            now: The clock reading, in seconds.
        """
        until = now + pending.dispatch.timeout + OUTCOME_MARGIN_SECONDS
        self._awaited[pending.dispatch.request_id] = _Awaited(
            pending.agent_incarnation, until, settle
        )

    def on_end(self, end: End) -> None:
        """Takes in an end that came after its request was given up."""
        self._finish(end.request_id, end)

    def on_sealed(self, message: Sealed) -> None:
        """Takes in what an agent answered about a request."""
        if message.request_id not in self._awaited or message.is_open:
            return
        end = None
        if message.is_counted:
            end = End(
                message.request_id,
                Verdict.RAN,
                prompt_tokens=message.prompt_tokens,
                generated_tokens=message.generated_tokens,
            )
        self._finish(message.request_id, end)

    def make_questions(self, incarnation: Incarnation, now: float) -> list[Seal]:
        """Makes the questions to send now, and settles what nobody can tell.

        Args:
            incarnation: The connected agent's, or empty if none is.
            now: The clock reading, in seconds.
        """
        for request_id, awaited in list(self._awaited.items()):
            is_gone = incarnation and incarnation != awaited.agent_incarnation
            if is_gone or now > awaited.until:
                self._finish(request_id, None)
        if not incarnation:
            return []
        return [Seal(request_id) for request_id in list(self._awaited)[:MAX_QUESTIONS]]

    def close(self) -> None:
        """Settles all as unknown: the link has ended."""
        for request_id in list(self._awaited):
            self._finish(request_id, None)

    def _finish(self, request_id: RequestId, end: End | None) -> None:
        awaited = self._awaited.pop(request_id, None)
        if awaited is not None:
            awaited.settle(end)
