"""A request that an agent has and the entry waits for."""

import asyncio
from collections import deque
from collections.abc import Callable

from buckthornstile.base import BuckthornstileError, ErrorCode, Incarnation, Verdict
from buckthornstile.wire import AnswerCheck, Chunk, Dispatch, End, Started

MAX_WAITING_BYTES = 8 << 20

Reply = Started | Chunk | End


class PendingRequest:
    """Collects an agent's replies to one request, in order and checked.

    Args:
        dispatch: The request as it was sent.
        agent_incarnation: The life of the agent that got it.
        on_end: Called once when nothing more will come.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        agent_incarnation: Incarnation,
        *,
        on_end: Callable[["PendingRequest"], None],
    ) -> None:
        self.dispatch = dispatch
        self.agent_incarnation = agent_incarnation
        self.on_end = on_end
        self.ended = False
        self.broken = False
        self.refused = False
        self.check = AnswerCheck()
        self._waiting: deque[Reply | BuckthornstileError] = deque()
        self._waiting_bytes = 0
        self._waiter: asyncio.Future[None] | None = None

    def push(self, reply: Reply | BuckthornstileError) -> None:
        """Takes the next reply, or the error that ends them.

        Args:
            reply: The reply; whatever comes after an end is dropped.
        """
        if self.ended:
            return
        if isinstance(reply, Chunk):
            reply = self._check_chunk(reply)
        elif isinstance(reply, End):
            self.refused = reply.verdict is not Verdict.RAN
            reply = reply if self.refused else self._check_end(reply)
        self._waiting.append(reply)
        if not isinstance(reply, Started | Chunk):
            self.ended = True
            self.on_end(self)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_chunk(self, chunk: Chunk) -> Chunk | BuckthornstileError:
        try:
            self.check.add(chunk)
        except BuckthornstileError as error:
            self.broken = True
            return error
        self._waiting_bytes += len(chunk.data)
        if self._waiting_bytes > MAX_WAITING_BYTES:
            self.broken = True
            return BuckthornstileError(
                ErrorCode.CANCELLED,
                "the caller reads too slowly",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        return chunk

    def _check_end(self, end: End) -> End | BuckthornstileError:
        try:
            self.check.finish(end)
        except BuckthornstileError as error:
            return error
        return end

    async def next(self, timeout: float | None = None) -> Reply:
        """Waits for the next reply.

        Args:
            timeout: Seconds to wait, or None for no bound.

        Returns:
            The reply.

        Raises:
            BuckthornstileError: The connection was lost, the answer is broken,
                or with ``DEADLINE_PASSED`` the timeout passed.
        """
        if not self._waiting:
            await self._wait(timeout)
        reply = self._waiting.popleft()
        if isinstance(reply, BuckthornstileError):
            raise reply
        if isinstance(reply, Chunk):
            self._waiting_bytes -= len(reply.data)
        return reply

    async def _wait(self, timeout: float | None) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout):
                await self._waiter
        except TimeoutError as error:
            raise BuckthornstileError(
                ErrorCode.DEADLINE_PASSED,
                "no answer came before the deadline",
                verdict=Verdict.MAY_HAVE_RUN,
            ) from error
        finally:
            self._waiter = None
