"""Ends work under a key that has stopped working."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from buckthornstile.base import BuckthornstileError, ErrorCode, KeyId, Verdict

_Result = TypeVar("_Result")
FindError = Callable[[KeyId], BuckthornstileError | None]


class RevocationMonitor:
    """Keeps what runs under each key, and ends it with the key.

    Args:
        find_error: Gives why work under a key must end, or None if it may go on.
    """

    def __init__(self, find_error: FindError) -> None:
        self.find_error = find_error
        self._running: dict[asyncio.Future[BuckthornstileError], KeyId] = {}

    def cancel_revoked(self) -> None:
        """Ends all work under keys that do not work any more."""
        for ended, key in list(self._running.items()):
            error = self.find_error(key)
            if error is not None and not ended.done():
                ended.set_result(error)

    async def run(self, key: KeyId, work: Coroutine[Any, Any, _Result]) -> _Result:
        """Runs work and breaks it off once its key stops working.

        Args:
            key: The key, or an empty one for work that needs none.
            work: The work; its upstream's connection closes when it is cancelled.

        Raises:
            BuckthornstileError: What the work raised, or why the key stopped.
        """
        ended: asyncio.Future[BuckthornstileError]
        ended = asyncio.get_running_loop().create_future()
        if key:
            self._running[ended] = key
        task = asyncio.ensure_future(work)
        either: set[asyncio.Future[Any]] = {task, ended}
        try:
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                return task.result()
            raise ended.result()
        finally:
            self._running.pop(ended, None)
            if not task.done():
                task.cancel()
                await asyncio.wait({task})


def make_withdrawn(code: ErrorCode, message: str) -> BuckthornstileError:
    """Makes the error of work that its key's end broke off."""
    return BuckthornstileError(code, message, verdict=Verdict.MAY_HAVE_RUN)
