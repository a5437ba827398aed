"""A worker's entry in the store: heartbeats, draining and leaving."""

import asyncio
import json
import struct
import time
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from standins.worker._application import WorkerState

TOPIC = "keyed.servers"
CALL_TIMEOUT = 1.0  # seconds
RETRY_PAUSE = 0.1  # seconds


class Registration:
    """Writes what a worker says of itself, as the platform's workers do.

    Args:
        state: The worker.
        store: The store's URL.
        address: Where the worker listens, as ``IP:port``.
        service: Its service.
        zone: Its failure domain.
        heartbeat: Seconds between two writes.
    """

    def __init__(
        self,
        state: WorkerState,
        store: str,
        *,
        address: str,
        service: str,
        zone: str,
        heartbeat: float,
        cold_seconds: float = 0.0,
    ) -> None:
        self.state = state
        self.store = store
        self.address = address
        self.service = service
        self.zone = zone
        self.heartbeat = heartbeat
        self.started_at_ms = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_seconds
        self.is_draining = False
        self._beats = 0
        self._client = AsyncHTTPClient()

    async def run(self) -> None:
        """Writes the entry again and again until cancelled."""
        while True:
            await self.write()
            await asyncio.sleep(self.heartbeat)

    async def write(self) -> None:
        """Writes the entry, until the store takes it."""
        while not await self._append(self._make_entry()):
            await asyncio.sleep(RETRY_PAUSE)

    async def remove(self) -> None:
        """Removes the entry, if the store takes that."""
        await self._append(None)

    def _make_entry(self) -> dict[str, Any]:
        self._beats += 1
        cold = max(0.0, self.cold_until - time.monotonic())
        versions = self.state.versions.items()
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.state.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": int(cold * 1000),
            "sequence": self._beats,
            "born": self.started_at_ms,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in versions
            ],
        }

    async def _append(self, entry: dict[str, Any] | None) -> bool:
        name = self.state.id.encode()
        value = b"" if entry is None else json.dumps(entry).encode()
        record = bytes([len(name)]) + name + value
        try:
            await self._client.fetch(
                f"{self.store}/-/log-append?topic={TOPIC}&part=0",
                method="POST",
                body=struct.pack(">I", len(record)) + record,
                request_timeout=CALL_TIMEOUT,
                connect_timeout=CALL_TIMEOUT,
            )
        except (HTTPClientError, OSError):
            return False
        return True
