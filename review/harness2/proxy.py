"""A TCP proxy between one process and the store."""

import asyncio
import contextlib
from collections.abc import Callable

MAX_READ_BYTES = 65536


class StoreLink:
    """Forwards the connections of one process to the store.

    Attributes:
        address: Address that the process uses as the store's, as ``IP:port``.
        loses_answer: Called with the bytes of each request; if it returns True, the
            store executes the call, and its connection returns nothing further.
        is_cut: Whether the process is partitioned from the store: no byte passes in
            either direction, and new connections get no answer.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.address = ""
        self.loses_answer: Callable[[bytes], bool] = lambda data: False
        self.is_cut = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, address: str) -> None:
        """Starts to accept connections."""
        self._server = await asyncio.start_server(self._serve, address, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{address}:{port}"

    async def close(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        target_writer = None
        is_lost = asyncio.Event()
        try:
            await self._wait_while_cut()
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
            forward = asyncio.create_task(
                self._forward(reader, target_writer, is_lost, is_request=True)
            )
            back = asyncio.create_task(
                self._forward(target_reader, writer, is_lost, is_request=False)
            )
            self._tasks |= {forward, back}
            try:
                await asyncio.wait({forward, back}, return_when="FIRST_COMPLETED")
            finally:
                forward.cancel()
                back.cancel()
                self._tasks -= {forward, back}
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            for one in (writer, target_writer):
                if one is not None:
                    one.transport.abort()

    async def _wait_while_cut(self) -> None:
        while self.is_cut:
            await asyncio.sleep(0.01)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_lost: asyncio.Event,
        *,
        is_request: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(MAX_READ_BYTES):
                await self._wait_while_cut()
                if is_request and self.loses_answer(data):
                    is_lost.set()
                if not is_request and is_lost.is_set():
                    continue
                writer.write(data)
                await writer.drain()
