"""A time limit that does not count a stall of this process against its peer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

MIN_STALL = 0.05
"""Seconds by which a timer must be late for this process to count as stalled."""
ARRIVAL_TIME = 0.1
"""Seconds after a stall in which bytes that have arrived meanwhile are read."""
TIMER_MARGIN = 0.001
"""Seconds before the limit at which the stall is checked for, so that this happens
before the limit takes effect, also if both timers are late."""


@contextlib.asynccontextmanager
async def limit_time(timeout: float) -> AsyncIterator[None]:
    """Limits the time of a block, but lets it read what arrived during a stall.

    The event loop runs timers before the tasks that have received something. After a
    stall of this process, whether it was suspended or had no processor, a plain timeout
    would report that a peer which has responded in time did not.

    Args:
        timeout: Seconds.

    Raises:
        TimeoutError: The time is up.
    """
    loop = asyncio.get_running_loop()
    expires_at = loop.time() + timeout
    async with asyncio.timeout_at(expires_at) as limit:

        def extend_after_stall() -> None:
            now = loop.time()
            if now - expires_at > MIN_STALL:
                limit.reschedule(now + ARRIVAL_TIME)

        timer = loop.call_at(expires_at - TIMER_MARGIN, extend_after_stall)
        try:
            yield
        finally:
            timer.cancel()
