"""The routes of a plain service's stand-in."""

import asyncio
import hashlib
import json
import os
from collections import Counter

from tornado import web

from standins.faults import FaultTable
from standins.server import Journal, drop_connection, make_control_routes

MAX_HANG = 600.0  # seconds
MAX_JOURNAL_BODY = 2048  # characters


class ServiceHandler(web.RequestHandler):
    """Answers any path, and counts each run of an order.

    Faults: ``error_before`` and ``error_after`` the effect, ``hang`` and
    ``crash`` (after the effect if ``value`` is 1), ``slow``, ``truncate``,
    ``crossed_text`` and ``crossed_id``.
    """

    def initialize(
        self,
        delay: float,
        runs: "Counter[str]",
        running: "Counter[str]",
        faults: FaultTable,
        journal: Journal,
    ) -> None:
        """Stores what the handlers share."""
        self.delay = delay
        self.runs = runs
        self.running = running
        self.faults = faults
        self.journal = journal

    async def get(self) -> None:
        """Answers a lookup."""
        await self._serve()

    async def put(self) -> None:
        """Runs an order."""
        await self._serve()

    async def post(self) -> None:
        """Runs an order."""
        await self._serve()

    async def _serve(self) -> None:
        self.running["now"] += 1
        peak = max(self.running["now"], self.journal.figures.get("peak_running", 0))
        self.journal.figures["peak_running"] = peak
        try:
            await self._serve_counted()
        finally:
            self.running["now"] -= 1

    async def _serve_counted(self) -> None:
        if self.faults.take("error_before"):
            self.journal.add("error_before", uri=self.request.uri)
            self.set_status(500)
            return
        hang = self.faults.take("hang")
        crash = self.faults.take("crash")
        if hang and hang.value != 1:
            await asyncio.sleep(hang.seconds or MAX_HANG)
        if crash and crash.value != 1:
            os._exit(1)
        slow = self.faults.take("slow")
        if delay := slow.seconds if slow else self.delay:
            await asyncio.sleep(delay)
        run = self._run()
        if crash:
            os._exit(1)
        if hang:
            await asyncio.sleep(hang.seconds or MAX_HANG)
        if self.faults.take("error_after"):
            self.set_status(500)
            return
        await self._answer(run)

    def _run(self) -> int:
        headers = self.request.headers
        name = headers.get("Idempotency-Key") or headers.get("X-Request-Id", "")
        self.runs[name] += 1
        self.journal.add(
            "run",
            method=self.request.method,
            uri=self.request.uri,
            headers=dict(headers.get_all()),
            idempotency_key=headers.get("Idempotency-Key", ""),
            request_id=headers.get("X-Request-Id", ""),
            run=self.runs[name],
            digest=hashlib.sha256(self.request.body).hexdigest(),
            body=self.request.body[:MAX_JOURNAL_BODY].decode(errors="replace"),
        )
        return self.runs[name]

    async def _answer(self, run: int) -> None:
        body = self.request.body
        request_id = self.request.headers.get("X-Request-Id", "")
        if self.faults.take("crossed_text"):
            body = b"another request's body"
        if self.faults.take("crossed_id"):
            request_id = "other/0"
        data = json.dumps(
            {
                "path": self.request.path,
                "run": run,
                "echo_digest": hashlib.sha256(body).hexdigest(),
            }
        ).encode()
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", request_id)
        if self.faults.take("truncate"):
            self.set_header("Content-Length", str(len(data)))
            self.write(data[: len(data) // 2])
            await self.flush()
            drop_connection(self)
            return
        self.write(data)


def make_application(*, delay: float = 0.0) -> web.Application:
    """Makes a plain service's stand-in.

    Example:
        >>> type(make_application()).__name__
        'Application'
    """
    faults = FaultTable()
    journal = Journal()
    shared = {
        "delay": delay,
        "runs": Counter(),
        "running": Counter(),
        "faults": faults,
        "journal": journal,
    }
    return web.Application(
        [
            *make_control_routes(faults, journal),
            (r"/.*", ServiceHandler, shared),
        ],
        log_function=lambda handler: None,
    )
