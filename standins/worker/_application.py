"""A worker's stand-in: plain requests, items of batch jobs, loads of weights."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from tornado import web

from standins.faults import FaultInjector
from standins.server import (
    Journal,
    drop_connection,
    make_control_routes,
    send_at_once,
)
from standins.worker._tokens import make_token, read_prompt

LOAD_SECONDS = 0.05


@dataclass
class WorkerState:
    """What a worker is and holds."""

    id: str
    slots: int = 8
    events: int = 4
    event_seconds: float = 0.002
    work_seconds: float = 0.002
    versions: dict[str, int] = field(default_factory=dict)
    orders: int = 0
    running: int = 0
    busy: bool = False
    load_seconds: float = LOAD_SECONDS


class WorkerHandler(web.RequestHandler):
    """What all routes of a worker do first.

    Kinds of faults: ``full`` (503, not run), ``error`` (500), ``impossible`` (422),
    ``reset`` (dropped unanswered, after the run), ``silent`` (no answer for
    ``seconds``), ``truncate`` (half an answer), ``crossed`` (another request's
    answer), ``unsigned`` (success without a signature), ``cut`` (a stream that ends
    after ``value`` events), ``cut_end`` (after its last one), ``stall`` (a stream
    that pauses ``seconds`` there), ``mute_order`` (an order without an answer) and
    ``late_order`` (one carried out ``seconds`` later).
    """

    def initialize(
        self, state: WorkerState, faults: FaultInjector, journal: Journal
    ) -> None:
        """Stores what the handlers share."""
        self.state = state
        self.faults = faults
        self.journal = journal

    def check_instance(self) -> bool:
        """Answers 421 to a request that expects another worker."""
        expected = self.request.headers.get("Expect-Instance", self.state.id)
        if expected == self.state.id:
            return True
        self.set_status(421)
        self.set_header("Instance-Id", self.state.id)
        self.finish()
        return False


class RunHandler(WorkerHandler):
    """Runs any request."""

    async def prepare(self) -> None:
        """Signs the answer and refuses what is not meant for this worker."""
        send_at_once(self)
        self.set_header("Request-Id", self.request.headers.get("Request-Id", ""))
        if not self.check_instance():
            raise web.Finish
        if self.faults.consume("full"):
            self.set_status(503)
            self.set_header("Not-Run", "1")
            raise web.Finish

    async def post(self) -> None:
        """Runs a request and answers it."""
        headers = self.request.headers
        entry = self.journal.add(
            "run",
            request=headers.get("Request-Id", ""),
            path=self.request.path,
            headers=dict(headers.get_all()),
            body=self.request.body.decode("latin-1"),
            finished=False,
        )
        self.set_header("Server-Stamp", f"{self.state.id}.{len(self.journal.entries)}")
        if fault := self.faults.consume("silent"):
            await asyncio.sleep(fault.seconds)
        if self.faults.consume("reset"):
            drop_connection(self)
            return
        if self.faults.consume("error"):
            self.set_status(500)
            return
        if self.faults.consume("impossible"):
            self.set_status(422)
            return
        self.state.running += 1
        peak = self.journal.figures.get("peak_running", 0)
        self.journal.figures["peak_running"] = max(peak, self.state.running)
        try:
            if "Model" in headers:
                entry["finished"] = await self._stream(headers["Model"], entry)
            else:
                await self._answer()
                entry["finished"] = True
        finally:
            self.state.running -= 1

    get = post

    async def _answer(self) -> None:
        await asyncio.sleep(self.state.work_seconds)
        if self.faults.consume("unsigned"):
            self.clear_header("Server-Stamp")
        if self.faults.consume("crossed"):
            self.set_header("Request-Id", "another")
        body = b"answer to " + self.request.body
        if self.faults.consume("truncate"):
            stream = self.request.connection.stream  # type: ignore[union-attr]
            request_id = self.request.headers.get("Request-Id", "")
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            head += f"Server-Stamp: s\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.write(head.encode() + body[:4])
            stream.close()
            return
        self.write(body)

    async def _stream(self, model: str, entry: dict[str, Any]) -> bool:
        """Sends the events, and gives whether all were sent."""
        state = self.state
        version = state.versions.get(model, 1)
        expected = self.request.headers.get("Expect-Version")
        if expected is not None and int(expected) != version:
            self.set_status(421)
            self.set_header("Instance-Id", state.id)
            return False
        self.set_header("Content-Type", "text/event-stream")
        prompt = read_prompt(self.request.body)
        count = state.events if prompt is None else prompt.get("max_tokens", 1)
        start = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        if start <= count:
            self.set_header("Weight-Versions", str(version))
        entry["versions"] = runs = []
        cut, stall = self.faults.consume("cut"), self.faults.consume("stall")
        for number in range(start, count + 1):
            await asyncio.sleep(state.event_seconds)
            if cut and number > cut.value:
                drop_connection(self)
                return False
            if stall and number > stall.value:
                await asyncio.sleep(stall.seconds)
            lines = []
            if state.versions.get(model, 1) != version:
                version = state.versions[model]
                lines.append(f"weight-versions: {version}")
            lines += [f"id: {number}", f"data: {self._make_data(prompt, number)}"]
            runs.append(version)
            self.write("\n".join(lines) + "\n\n")
            await self.flush()
        if self.faults.consume("cut_end"):
            await asyncio.sleep(state.event_seconds)
            drop_connection(self)
        return True

    def _make_data(self, prompt: dict[str, Any] | None, number: int) -> str:
        if prompt is None:
            return f"{self.request.headers.get('Request-Id')}-{number}"
        return make_token(prompt["prompt"], prompt.get("seed", 0), number - 1)


class ReportHandler(WorkerHandler):
    """``GET /-/report``."""

    def get(self) -> None:
        """Reports versions and the count of orders."""
        if not self.check_instance():
            return
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.state.versions.items()
        ]
        self.write(
            {
                "stage": "both",
                "models": models,
                "busy": self.state.busy,
                "sequence": self.state.orders,
            }
        )


class OrderHandler(WorkerHandler):
    """``POST /-/order``."""

    async def post(self) -> None:
        """Takes an order to load a version."""
        if not self.check_instance():
            return
        order = json.loads(self.request.body)
        if fault := self.faults.consume("late_order"):
            loop = asyncio.get_running_loop()
            loop.call_later(fault.seconds, self._take_order, order)
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            return
        status = self._take_order(order)
        if self.faults.consume("mute_order"):
            drop_connection(self)
            return
        self.set_status(status)

    def _take_order(self, order: dict[str, Any]) -> int:
        state = self.state
        if "holder" not in order or "fence" not in order:
            return 400
        if state.busy or order.get("precondition", state.orders) != state.orders:
            return 409
        model, version = order["model"], order["version"]
        if state.versions.get(model) == version:
            return 200
        state.orders += 1
        state.busy = True
        self.journal.add("order", **order)

        def finish() -> None:
            state.versions[model] = version
            state.busy = False

        asyncio.get_running_loop().call_later(state.load_seconds, finish)
        return 202


def make_application(state: WorkerState) -> web.Application:
    """Makes a worker's stand-in."""
    faults, journal = FaultInjector(), Journal()
    shared = {"state": state, "faults": faults, "journal": journal}
    application = web.Application(
        [
            (r"/-/report", ReportHandler, shared),
            (r"/-/order", OrderHandler, shared),
            *make_control_routes(faults, journal),
            (r"/.*", RunHandler, shared),
        ],
        log_function=lambda _: None,
    )
    application.faults, application.journal = faults, journal  # type: ignore[attr-defined]
    return application
