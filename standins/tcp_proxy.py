"""A TCP proxy that injects network faults into connections, for tests."""

import asyncio
import contextlib
import threading
from typing import Self

MAX_READ_BYTES = 65536
OPERATION_TIMEOUT = 5.0  # seconds for a call into the proxy's thread
BLOCKED_POLL_INTERVAL = 0.05  # seconds
TO_TARGET = "to_target"
FROM_TARGET = "from_target"


class FaultyProxy:
    """Forwards TCP connections to one target and injects faults on request.

    The proxy runs in its own thread, so that a blocked test does not block it.

    Args:
        target_address: IP address of the target.
        target_port: TCP port of the target.
        address: IP address to listen on.

    Attributes:
        port: TCP port that the proxy listens on.
        disconnect_count: Number of connections closed by disconnect_after().
        forwarded_bytes: Number of bytes forwarded, by direction.
        delay_seconds: Delay of each forwarded chunk of bytes.
        blocked_directions: Directions in which bytes are held back until the
            direction is unblocked.

    Example:
        >>> with FaultyProxy("127.0.0.1", 9) as proxy:
        ...     proxy.port > 0
        True
    """

    def __init__(
        self, target_address: str, target_port: int, *, address: str = "127.0.0.1"
    ) -> None:
        self.target_address = target_address
        self.target_port = target_port
        self.address = address
        self.port = 0
        self.disconnect_count = 0
        self.forwarded_bytes = {TO_TARGET: 0, FROM_TARGET: 0}
        self._is_open = True
        self.delay_seconds = 0.0
        self.blocked_directions: frozenset[str] = frozenset()
        self._bytes_until_disconnect: dict[str, int] = {}
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
        self._thread.join(OPERATION_TIMEOUT)
        self._loop.close()

    @property
    def url(self) -> str:
        """Base URL of the proxy, for a target that is an HTTP server."""
        return f"http://{self.address}:{self.port}"

    def disconnect(self) -> None:
        """Aborts all connections, and each new one until restore() is called."""
        self._run(self._abort_connections())

    def restore(self) -> None:
        """Accepts connections again, without delay or blocked directions."""
        self._is_open = True
        self.delay_seconds = 0.0
        self.blocked_directions = frozenset()

    def reset_connections(self) -> None:
        """Aborts the open connections and accepts new ones, even after disconnect()."""
        self._run(self._abort_connections())
        self._is_open = True

    def disconnect_after(self, byte_count: int, direction: str) -> None:
        """Closes the connection on which a number of further bytes in a direction ends.

        The bytes of all connections are counted together.
        """
        self._bytes_until_disconnect[direction] = byte_count

    def _run(self, coroutine):  # type: ignore[no-untyped-def]
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(OPERATION_TIMEOUT)

    async def _listen(self) -> int:
        self._server = await asyncio.start_server(self._serve, self.address, 0)
        return self._server.sockets[0].getsockname()[1]

    async def _close(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _abort_connections(self) -> None:
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
            target_reader, target_writer = await asyncio.open_connection(
                self.target_address, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, TO_TARGET),
                self._forward(target_reader, writer, FROM_TARGET),
            )
        except asyncio.CancelledError:
            # The proxy is closing.
            return
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(MAX_READ_BYTES):
                remaining = self._bytes_until_disconnect.get(direction)
                is_disconnect_due = remaining is not None and len(data) >= remaining
                if is_disconnect_due:
                    data = data[:remaining]
                    del self._bytes_until_disconnect[direction]
                elif remaining is not None:
                    self._bytes_until_disconnect[direction] = remaining - len(data)
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                while direction in self.blocked_directions:
                    await asyncio.sleep(BLOCKED_POLL_INTERVAL)
                writer.write(data)
                await writer.drain()
                self.forwarded_bytes[direction] += len(data)
                if is_disconnect_due:
                    self.disconnect_count += 1
                    break
        # Closing, unlike aborting, still delivers the bytes written so far.
        writer.close()
