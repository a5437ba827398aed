"""Sends calls of all kinds and runs lots during a soak run."""

import asyncio
import contextlib
import json
import time
from typing import Any

from buckthornstile.base import BuckthornstileError
from soak._deployment import SoakDeployment
from tests.harness import make_lot
from tests.invariants import CallRecord

CALL_INTERVAL = 0.03  # seconds
LOT_INTERVAL = 0.2  # seconds


class LoadGenerator:
    """Clients that send all kinds of calls and run lots.

    Args:
        deployment: The deployment that they call.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.harness = deployment.harness

    async def run(self, stop_event: asyncio.Event) -> None:
        """Sends calls and runs lots until the event is set."""
        harness = self.harness
        caller = harness.make_caller()
        other_caller = harness.make_caller(key=self.deployment.other_key, attempts=1)
        calls = [
            lambda: harness.place_order(caller, timeout=8.0),
            lambda: harness.send_lookup(caller, timeout=8.0),
            lambda: harness.send_completion(caller, timeout=8.0),
            lambda: harness.send_completion(
                caller, stream=True, tokens=150, timeout=8.0
            ),
            lambda: harness.place_order(other_caller, account="quay", timeout=8.0),
        ]

        async def loop(call: Any) -> None:
            while not stop_event.is_set():
                await call()
                await asyncio.sleep(CALL_INTERVAL)

        async with asyncio.TaskGroup() as group:
            for call in calls:
                group.create_task(loop(call))
            group.create_task(self._send_on_persistent_connections(stop_event))
            group.create_task(self._run_lots(stop_event))

    async def _run_lots(self, stop_event: asyncio.Event) -> None:
        number = 0
        while not stop_event.is_set():
            if not self.harness.entry_urls:
                # All entries are down at the moment, and a client needs one.
                await asyncio.sleep(LOT_INTERVAL)
                continue
            lot = make_lot(f"lot-{number}", groups=2, samples=4, maximum_age=2)
            lot = lot.model_copy(
                update={"version": self.deployment.version, "timeout": 12.0}
            )
            trainer = self.harness.make_trainer()
            with contextlib.suppress(BuckthornstileError):
                await self.harness.run_lot(
                    trainer, lot, get_version=lambda: self.deployment.version
                )
            number += 1
            await asyncio.sleep(LOT_INTERVAL)

    async def _send_on_persistent_connections(self, stop_event: asyncio.Event) -> None:
        """Sends lookups on one connection; if it closes, connects to the next entry."""
        number = 0
        while not stop_event.is_set():
            urls = self.harness.entry_urls
            if urls:
                host, _, port = urls[number % len(urls)][7:].rpartition(":")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._use_connection(host, int(port), stop_event)
            number += 1
            await asyncio.sleep(CALL_INTERVAL)

    async def _use_connection(
        self, host: str, port: int, stop_event: asyncio.Event
    ) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while not stop_event.is_set():
                name = f"kept-{next(self.harness.name_counter)}"
                body = json.dumps({"name": name}).encode()
                record = CallRecord(
                    "mill", "lookup", name, body, started_at=time.time()
                )
                self.harness.observations.calls.append(record)
                head = (
                    f"POST /lookup HTTP/1.1\r\nHost: {host}:{port}\r\n"
                    "X-Timeout: 5\r\n"
                    f"Authorization: Bearer {self.harness.api_key}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                async with asyncio.timeout(8.0):
                    is_last = await _read_response(reader, record)
                if is_last:
                    return
                await asyncio.sleep(CALL_INTERVAL)
        except TimeoutError:
            return
        finally:
            writer.transport.abort()


async def _read_response(reader: asyncio.StreamReader, record: CallRecord) -> bool:
    """Reads one response into a record.

    Returns:
        Whether the entry closes the connection after the response.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(fields["content-length"]))
    record.finished_at = time.time()
    status = int(lines[0].split()[1])
    if status == 200:
        record.status, record.response = 200, body
    else:
        error = json.loads(body)["error"]
        record.error_code, record.verdict = error["code"], error["verdict"]
    return fields.get("connection") == "close"
