"""A TCP relay that cuts, delays and silences connections, for tests of the network."""

import asyncio
import contextlib
import threading
from typing import Self

READ_BYTES = 65536
CALL_TIMEOUT = 5.0  # seconds
SILENCE_POLL = 0.05  # seconds
TO_TARGET = "to_target"
FROM_TARGET = "from_target"


class FaultyProxy:
    """Passes bytes between its callers and one target, until it is told to cut.

    It runs in a thread of its own, so that a blocked test does not hold it up.

    Args:
        target: The target's IP number.
        target_port: The target's TCP port.
        address: The IP number to listen on.

    Attributes:
        port: The TCP port that it listens on.
        disconnect_count: How often a connection was cut at a byte.
        passed: Bytes passed on, by direction.
        delay_seconds: Seconds for which each part is held back.
        blocked_directions: Directions in which nothing arrives; what is sent waits.

    Example:
        >>> with FaultyProxy("127.0.0.1", 9) as relay:
        ...     relay.port > 0
        True
    """

    def __init__(
        self, target: str, target_port: int, *, address: str = "127.0.0.1"
    ) -> None:
        self.target = target
        self.target_port = target_port
        self.address = address
        self.port = 0
        self.disconnect_count = 0
        self.passed = {TO_TARGET: 0, FROM_TARGET: 0}
        self._is_open = True
        self.delay_seconds = 0.0
        self.blocked_directions: frozenset[str] = frozenset()
        self._left: dict[str, int] = {}
        self._writers: set[asyncio.StreamWriter] = set()

    def __enter__(self) -> Self:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.port = self._run(self._listen())
        return self

    def __exit__(self, *exception: object) -> None:
        self.disconnect()
        self._run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT)
        self._loop.close()

    @property
    def url(self) -> str:
        """Where it listens, for a target that speaks HTTP."""
        return f"http://{self.address}:{self.port}"

    def disconnect(self) -> None:
        """Cuts all connections, and each new one at once."""
        self._run(self._cut())

    def restore(self) -> None:
        """Lets connections through again, at once and both ways."""
        self._is_open = True
        self.delay_seconds = 0.0
        self.blocked_directions = frozenset()

    def reset(self) -> None:
        """Resets the connections that are open; new ones go through."""
        self._run(self._cut())
        self._is_open = True

    def disconnect_after(self, count: int, direction: str) -> None:
        """Cuts one connection after so many more bytes in a direction."""
        self._left[direction] = count

    def _run(self, coroutine):  # type: ignore[no-untyped-def]
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT)

    async def _listen(self) -> int:
        self._server = await asyncio.start_server(self._serve, self.address, 0)
        return self._server.sockets[0].getsockname()[1]

    async def _close(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cut(self) -> None:
        self._is_open = False
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._is_open:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._pass_on(reader, far_writer, TO_TARGET),
                self._pass_on(far_reader, writer, FROM_TARGET),
            )
        except asyncio.CancelledError:
            # The relay itself ends.
            return
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                left = self._left.get(direction)
                cut_here = left is not None and len(data) >= left
                if cut_here:
                    data = data[:left]
                    del self._left[direction]
                elif left is not None:
                    self._left[direction] = left - len(data)
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                while direction in self.blocked_directions:
                    await asyncio.sleep(SILENCE_POLL)
                writer.write(data)
                await writer.drain()
                self.passed[direction] += len(data)
                if cut_here:
                    self.disconnect_count += 1
                    break
        # The bytes before the cut still arrive; those after it do not.
        writer.close()
