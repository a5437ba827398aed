"""Cancellation of running work when its API key is withdrawn."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from buckthornstile.base import BuckthornstileError, ErrorCode, KeyId, Verdict

_Result = TypeVar("_Result")
FindError = Callable[[KeyId], BuckthornstileError | None]


class RevocationMonitor:
    """Tracks the running work of each API key and cancels it when the key is revoked.

    Args:
        find_error: A function that returns the error to stop work under a key with, or
            None if the work may continue.
    """

    def __init__(self, find_error: FindError) -> None:
        self.find_error = find_error
        self._running: dict[asyncio.Future[BuckthornstileError], KeyId] = {}

    def cancel_revoked(self) -> None:
        """Cancels all work under keys that are no longer valid."""
        for revoked, key in list(self._running.items()):
            error = self.find_error(key)
            if error is not None and not revoked.done():
                revoked.set_result(error)

    async def run(self, key: KeyId, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Runs work and cancels it as soon as its key is no longer valid.

        Args:
            key: The id of the key; empty for work that needs no key.
            work: The work; cancelling it closes the connection to its upstream.

        Raises:
            BuckthornstileError: The error of the work, or the reason why the key is no
                longer valid.
        """
        revoked: asyncio.Future[BuckthornstileError]
        revoked = asyncio.get_running_loop().create_future()
        if key:
            self._running[revoked] = key
        task = asyncio.ensure_future(work)
        futures: set[asyncio.Future[Any]] = {task, revoked}
        try:
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise revoked.result()
        finally:
            self._running.pop(revoked, None)
            if not task.done():
                task.cancel()
                await asyncio.wait({task})


def make_revocation_error(code: ErrorCode, message: str) -> BuckthornstileError:
    """Returns the error of work that is cancelled because its key is not valid."""
    return BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)
