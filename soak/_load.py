"""Sends calls of all kinds and lots while faults are played."""

import asyncio
import contextlib
import json
import time
from typing import Any

from buckthornstile.base import BuckthornstileError
from soak._deployment import SoakDeployment
from tests.harness import make_lot
from tests.invariants import CallRecord

CLIENT_PAUSE = 0.03  # seconds
LOT_PAUSE = 0.2  # seconds


class Load:
    """Clients of all kinds.

    Args:
        deployment: What they call.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.harness = deployment.harness

    async def run(self, stopping: asyncio.Event) -> None:
        """Sends calls of all kinds and lots until told to stop."""
        harness = self.harness
        caller = harness.make_caller()
        other = harness.make_caller(key=self.deployment.other_key, attempts=1)
        kinds = [
            lambda: harness.order(caller, timeout=8.0),
            lambda: harness.look_up(caller, timeout=8.0),
            lambda: harness.complete(caller, timeout=8.0),
            lambda: harness.complete(caller, stream=True, tokens=150, timeout=8.0),
            lambda: harness.order(other, account="quay", timeout=8.0),
        ]

        async def loop(call: Any) -> None:
            while not stopping.is_set():
                await call()
                await asyncio.sleep(CLIENT_PAUSE)

        async with asyncio.TaskGroup() as group:
            for call in kinds:
                group.create_task(loop(call))
            group.create_task(self._keep_connection(stopping))
            group.create_task(self._run_lots(stopping))

    async def _run_lots(self, stopping: asyncio.Event) -> None:
        number = 0
        while not stopping.is_set():
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
            await asyncio.sleep(LOT_PAUSE)

    async def _keep_connection(self, stopping: asyncio.Event) -> None:
        """Sends lookups on one connection until its entry is gone, then on another."""
        number = 0
        while not stopping.is_set():
            urls = self.harness.entry_urls
            if urls:
                host, _, port = urls[number % len(urls)][7:].rpartition(":")
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    await self._use_connection(host, int(port), stopping)
            number += 1
            await asyncio.sleep(CLIENT_PAUSE)

    async def _use_connection(
        self, host: str, port: int, stopping: asyncio.Event
    ) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while not stopping.is_set():
                name = f"kept-{next(self.harness.names)}"
                body = json.dumps({"name": name}).encode()
                seen = CallRecord("mill", "lookup", name, body, began=time.time())
                self.harness.observations.calls.append(seen)
                head = (
                    f"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Timeout: 5\r\n"
                    f"Authorization: Bearer {self.harness.key}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                async with asyncio.timeout(8.0):
                    is_last = await _read_answer(reader, seen)
                if is_last:
                    return
                await asyncio.sleep(CLIENT_PAUSE)
        except TimeoutError:
            return
        finally:
            writer.transport.abort()


async def _read_answer(reader: asyncio.StreamReader, seen: CallRecord) -> bool:
    """Reads one answer; gives whether the entry closes the connection after it."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(fields["content-length"]))
    seen.ended = time.time()
    status = int(lines[0].split()[1])
    if status == 200:
        seen.status, seen.answer = 200, body
    else:
        error = json.loads(body)["error"]
        seen.code, seen.verdict = error["code"], error["verdict"]
    return fields.get("connection") == "close"
