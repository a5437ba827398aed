"""Clients of streams that may be resumed, for tests with an in-process deployment."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from buckthornstile.base import BuckthornstileError
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    HOST,
    MODEL_NAME,
    MODEL_SERVICE,
    InProcessDeployment,
    InProcessWorker,
)
from buckthornstile.http_client import HTTPRequest

EVENT_COUNT = 12
ROUTE_NAME = "notes"


def add_stream_route(
    deployment: InProcessDeployment, *, resumable: bool = True, timeout_ms: int = 8000
) -> None:
    """Adds a route of streams and puts it in effect."""
    deployment.routes.append(
        {
            "name": ROUTE_NAME,
            "hostname": HOST,
            "pathPrefix": "/notes/",
            "kind": "unsafe",
            "service": MODEL_SERVICE,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 500,
            "maxAttempts": 3,
            "streaming": True,
            "resumable": resumable,
        }
    )
    deployment.put_configuration()


def add_engine(
    deployment: InProcessDeployment, name: str, version: str, **state: Any
) -> InProcessWorker:
    """Adds an upstream that runs a version of the software."""
    state.setdefault("events", EVENT_COUNT)
    state.setdefault("event_seconds", 0.02)
    # Each event names the version, so that clients show which versions they hold.
    state.setdefault("padding", f" {version}")
    return deployment.add_worker(name, MODEL_SERVICE, software_version=version, **state)


@dataclass
class StreamClient:
    """A client of one stream over its attempts.

    ``names_first_attempt`` is whether it says in later attempts which one brought its
    first event.
    """

    deployment: InProcessDeployment
    name: str
    deadline_ms: int = 6000
    chunks: list[bytes] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    first_attempt: str = ""
    names_first_attempt: bool = True

    def list_events(self) -> list[str]:
        """Returns the ids of the events that the client holds."""
        text = b"".join(self.chunks).decode()
        return [
            line.removeprefix("id: ")
            for block in text.split("\n\n")[:-1]
            for line in block.split("\n")
            if line.startswith("id: ")
        ]

    async def attempt(self, entry: str) -> bool:
        """Sends the next attempt, and returns whether the stream is complete."""
        request_id = f"{self.name}-{len(self.statuses)}"
        events = self.list_events()
        headers = [
            ("Host", HOST),
            ("Credential", API_KEY),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(self.deadline_ms)),
            ("Model", MODEL_NAME),
            ("Token-Counts", "10,20"),
        ]
        if events:
            headers.append(("Last-Event-Id", events[-1]))
            if self.names_first_attempt:
                headers.append(("Resumes", self.first_attempt))
        self.statuses.append(0)
        received: list[bytes] = []

        def receive(chunk: bytes) -> None:
            received.append(chunk)
            if not events:
                self.first_attempt = request_id
            if self.statuses[-1] == 200:
                self.chunks.append(chunk)

        def record_status(response) -> None:
            self.statuses[-1] = response.status

        try:
            response = await self.deployment.connection_pool.send(
                self.deployment.entries[entry].settings.client_address,
                HTTPRequest("POST", "/notes/a/1", headers, b"hello"),
                on_headers=record_status,
                on_data=receive,
                new_connection=True,
            )
        except BuckthornstileError:
            # A client drops the part of an event with which the stream broke off.
            text = b"".join(self.chunks)
            self.chunks[:] = [text[: text.rfind(b"\n\n") + 2 if b"\n\n" in text else 0]]
            return False
        self.statuses[-1] = response.status
        return response.status == 200

    def list_software(self) -> set[str]:
        """Returns the software versions of the upstreams whose events it holds."""
        text = b"".join(self.chunks).decode()
        lines = (line for line in text.split("\n") if line.startswith("data: "))
        return {line.rpartition(" ")[2] for line in lines}

    def is_whole(self) -> bool:
        """Whether the client holds every event once, in order."""
        return self.list_events() == [str(n + 1) for n in range(EVENT_COUNT)]


async def wait_for_events(client: StreamClient, count: int) -> None:
    """Waits until a client holds a number of events."""
    await client.deployment.wait_for(lambda: len(client.list_events()) >= count)


def start_attempt(client: StreamClient, entry: str) -> "asyncio.Task[bool]":
    """Starts an attempt in the background."""
    return asyncio.create_task(client.attempt(entry))
