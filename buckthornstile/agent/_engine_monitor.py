"""Follows what the model engine reports of itself."""

import asyncio
from collections.abc import Callable

from buckthornstile.base import (
    UNKNOWN_VERSION,
    BuckthornstileError,
    Incarnation,
    WeightVersion,
)
from buckthornstile.ports import EnginePort, EngineState

UNKNOWN_STATE = EngineState(Incarnation(""), UNKNOWN_VERSION)


class EngineMonitor:
    """Reads the engine's state, sharing one read between those who ask.

    Args:
        engine: The engine.
        on_change: Called with the old and the new state when the engine's
            incarnation or version changes.
    """

    def __init__(
        self,
        engine: EnginePort,
        *,
        on_change: Callable[[EngineState, EngineState], None],
    ) -> None:
        self.engine = engine
        self.on_change = on_change
        self.state = UNKNOWN_STATE
        self.failures = 0
        self._next_read: asyncio.Task[EngineState] | None = None
        self._current_read: asyncio.Task[EngineState] | None = None

    async def read(self) -> EngineState:
        """Reads a state that the engine reports after this call.

        A read that has been sent already may be older than the caller's last
        event, so the caller waits for the next one; all who wait share it.

        Returns:
            The state.

        Raises:
            BuckthornstileError: The engine did not report.
        """
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read_after(self._current_read))
        return await asyncio.shield(self._next_read)

    async def _read_after(
        self, earlier: asyncio.Task[EngineState] | None
    ) -> EngineState:
        if earlier is not None:
            await asyncio.wait([earlier])
        self._current_read = self._next_read
        self._next_read = None
        try:
            state = await self.engine.read_state()
        except BuckthornstileError:
            self.failures += 1
            raise
        self._note(state)
        return state

    def _note(self, state: EngineState) -> None:
        earlier = self.state
        self.state = state
        changed = (earlier.incarnation, earlier.version) != (
            state.incarnation,
            state.version,
        )
        if changed:
            self.on_change(earlier, state)

    async def follow(self, interval: float) -> None:
        """Reads the state again and again.

        Args:
            interval: Seconds between two reads.
        """
        while True:
            try:
                await self.read()
            except BuckthornstileError:
                self._note(UNKNOWN_STATE)
            await asyncio.sleep(interval)

    @property
    def version(self) -> WeightVersion:
        """The version that the engine reported last."""
        return self.state.version
