"""Registration of a worker in the store, renewed by heartbeats."""

import asyncio
import json
import struct
import time
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from standins.worker._application import WorkerState

REGISTRATION_TOPIC = "keyed.servers"
REQUEST_TIMEOUT = 1.0  # seconds
RETRY_INTERVAL = 0.1  # seconds


class Registration:
    """Writes a worker's registration record, as the platform's workers do.

    Args:
        state: State of the worker.
        store_url: Base URL of the store.
        address: Address to register, as ``IP:port``.
        service: Service that the worker belongs to.
        failure_domain: Failure domain of the worker.
        heartbeat: Seconds between two heartbeats.
        cold_seconds: Seconds from the start for which the worker reports that it is
            cold.
    """

    def __init__(
        self,
        state: WorkerState,
        store_url: str,
        *,
        address: str,
        service: str,
        failure_domain: str,
        heartbeat: float,
        cold_seconds: float = 0.0,
    ) -> None:
        self.state = state
        self.store_url = store_url
        self.address = address
        self.service = service
        self.failure_domain = failure_domain
        self.heartbeat = heartbeat
        self.warm_at = time.monotonic() + cold_seconds
        self.is_draining = False
        self._heartbeat_count = 0
        self._client = AsyncHTTPClient()

    async def run(self) -> None:
        """Registers the worker at every heartbeat, until cancelled."""
        while True:
            await self.register()
            await asyncio.sleep(self.heartbeat)

    async def register(self) -> None:
        """Writes the registration record; retries until the store accepts it."""
        while not await self._append(self._make_record()):
            await asyncio.sleep(RETRY_INTERVAL)

    async def deregister(self) -> None:
        """Removes the registration record; does not retry if that fails."""
        await self._append(None)

    def _make_record(self) -> dict[str, Any]:
        self._heartbeat_count += 1
        cold_seconds = max(0.0, self.warm_at - time.monotonic())
        versions = self.state.versions.items()
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": self.state.software_version,
            "slots": self.state.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": int(cold_seconds * 1000),
            "sequence": self._heartbeat_count,
            "born": self.state.started_at_ms,
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in versions
            ],
        }

    async def _append(self, fields: dict[str, Any] | None) -> bool:
        name = self.state.id.encode()
        value = b"" if fields is None else json.dumps(fields).encode()
        record = bytes([len(name)]) + name + value
        try:
            await self._client.fetch(
                f"{self.store_url}/-/log-append?topic={REGISTRATION_TOPIC}&part=0",
                method="POST",
                body=struct.pack(">I", len(record)) + record,
                request_timeout=REQUEST_TIMEOUT,
                connect_timeout=REQUEST_TIMEOUT,
            )
        except (HTTPClientError, OSError):
            return False
        return True
