"""A TCP path that can be cut: bytes are no longer carried, and nothing is reset."""

import asyncio
import contextlib


class Path:
    """Forwards connections from a loopback address to a target.

    Args:
        target: Host and port of the target.
        address: Host and port to listen on.

    Attributes:
        is_cut: Whether bytes are swallowed and new connections get no answer.
    """

    def __init__(self, target, address):
        self.target, self.address = target, address
        self.is_cut = False
        self.tasks = set()

    async def start(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, *self.address)

    async def _serve(self, reader, writer):
        # The streams' callback would report the cancellation at the end as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)

    async def _forward(self, reader, writer):
        while self.is_cut:
            await asyncio.sleep(0.1)
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        try:
            await asyncio.gather(
                self._carry(reader, other_writer), self._carry(other_reader, writer)
            )
        finally:
            writer.transport.abort()
            other_writer.transport.abort()

    async def _carry(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
            writer.close()
