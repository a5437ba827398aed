"""An upstream whose test writes the bytes of its responses."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Iterable

from buckthornstile.entry.tests.in_process import (
    MODEL_NAME,
    MODEL_SERVICE,
    InProcessDeployment,
)

Respond = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


class RawUpstream:
    """An upstream that writes the bytes of its responses itself."""

    def __init__(self, deployment: InProcessDeployment, respond: Respond) -> None:
        self.deployment = deployment
        self.respond = respond
        self.request_ids: list[str] = []
        self.sent_bytes = 0
        self.server: asyncio.Server | None = None

    async def start(self, name: str, service: str) -> None:
        """Starts to listen and registers the upstream."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        models = [{"name": MODEL_NAME, "version": 1, "adapters": []}]
        registration = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "bench-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
            "models": models if service == MODEL_SERVICE else [],
        }
        record = json.dumps(registration).encode()
        self.deployment.put_record("keyed.servers", name, record)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            headers = dict(
                line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
            )
            request_id = headers.get("request-id", "")
            self.request_ids.append(request_id)
            await reader.readexactly(int(headers.get("content-length", 0)))
            await self.respond(writer, request_id)
        writer.close()

    async def flood(
        self, writer: asyncio.StreamWriter, chunks: Iterable[bytes]
    ) -> None:
        """Sends chunks until the connection is closed."""
        for chunk in chunks:
            writer.write(chunk)
            self.sent_bytes += len(chunk)
            await writer.drain()
