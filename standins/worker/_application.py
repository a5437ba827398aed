"""HTTP routes of a worker's stand-in: requests, token streams and load orders."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tornado import web
from tornado.iostream import StreamClosedError

from standins.faults import FaultInjector
from standins.server import (
    Journal,
    disable_nagle,
    drop_connection,
    make_control_routes,
)
from standins.worker._tokens import generate_token, parse_prompt_request

DEFAULT_LOAD_SECONDS = 0.05
ENDLESS_CHUNK_BYTES = 64 << 10
ERROR_BODY = b"id: 6\ndata: server error\n\n"
"""Body of a failed response; a client that took it for a stream would accept it."""


@dataclass
class WorkerState:
    """Configuration and state of a worker.

    Attributes:
        id: Name of the worker, sent as ``Instance-Id``.
        slots: Maximum number of concurrent requests, as reported by the worker.
        events: Number of events in a stream whose request has no prompt.
        padding: Text at the end of each event of such a stream.
        event_seconds: Seconds before each event of a stream.
        work_seconds: Seconds that a plain request takes.
        versions: Loaded version of each model.
        software_version: Version of the software, as the worker registers it.
        started_at_ms: Start of the worker, in milliseconds since the epoch.
        load_count: Number of load orders accepted.
        running: Number of running requests.
        is_loading: Whether the worker is loading a version.
        load_seconds: Seconds that loading a version takes.
        rate_limit: Requests per second that the worker states as its limit in all
            responses, or None.
        is_leaving: Whether the worker states in all responses that it leaves.
        deadly_body: Body of the requests that crash the worker, or None.
        crash: Ends the worker, if it has a deadly body.
    """

    id: str
    slots: int = 8
    events: int = 4
    event_seconds: float = 0.002
    padding: str = ""
    work_seconds: float = 0.002
    versions: dict[str, int] = field(default_factory=dict)
    software_version: str = "v1"
    started_at_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    load_count: int = 0
    running: int = 0
    is_loading: bool = False
    load_seconds: float = DEFAULT_LOAD_SECONDS
    rate_limit: float | None = None
    is_leaving: bool = False
    deadly_body: bytes | None = None
    crash: Callable[[], None] = lambda: None


class WorkerHandler(web.RequestHandler):
    """Base class of a worker's routes.

    Kinds of faults:

    - ``full``: status 503; the request is not run.
    - ``error``: status 500, with a body that looks like an event of a stream.
    - ``impossible``: status 422.
    - ``reset``: the request is recorded as run, but the connection is closed without
      a response.
    - ``silent``: the request is recorded as run, and handled after ``seconds``.
    - ``endless``: the body of a response goes on without end and without an event
      until the connection is closed; a chunk is sent every ``seconds``.
    - ``truncate``: the body of a plain response is incomplete.
    - ``crossed``: a plain response carries the id of another request.
    - ``unsigned``: a response lacks the ``Server-Stamp`` header.
    - ``cut``: the connection of a stream is closed after ``value`` events.
    - ``cut_end``: the connection of a stream is closed after its last event.
    - ``stall``: a stream pauses for ``seconds`` before each event after the first
      ``value``.
    - ``mute_report``: the connection is closed without a report of the worker's state.
    - ``mute_order``: a load order takes effect, but no response is sent.
    - ``late_order``: a load order takes effect after ``seconds``, and no response is
      sent.
    - ``leaving``: the worker states in its responses that it leaves, without a change
      of its registration.
    - ``limit``: the worker states in its responses that it takes ``value`` requests per
      second.

    The journal holds with each run what its response stated, and when it was sent.
    """

    def initialize(
        self, state: WorkerState, faults: FaultInjector, journal: Journal
    ) -> None:
        """Stores the objects that all handlers share."""
        self.state = state
        self.faults = faults
        self.journal = journal
        self.statements: dict[str, Any] = {}
        if state.is_leaving or faults.consume("leaving"):
            self.set_header("Server-Leaving", "1")
            self.statements["leaving"] = True
        fault = faults.consume("limit")
        limit = fault.value if fault else state.rate_limit
        if limit is not None:
            self.set_header("Server-Limit", str(limit))
            self.statements["limit"] = limit

    def check_expected_instance(self) -> bool:
        """Returns whether the request is for this worker; if not, sends status 421."""
        expected = self.request.headers.get("Expect-Instance", self.state.id)
        if expected == self.state.id:
            return True
        self.set_status(421)
        self.set_header("Instance-Id", self.state.id)
        self.finish()
        return False


class RequestRunHandler(WorkerHandler):
    """Route of all other paths: runs a request, as a service or as a model engine."""

    async def prepare(self) -> None:
        """Sets the request id and rejects requests that this worker must not run."""
        disable_nagle(self)
        self.set_header("Request-Id", self.request.headers.get("Request-Id", ""))
        if not self.check_expected_instance():
            raise web.Finish
        if self.faults.consume("full"):
            self.set_status(503)
            self.set_header("Not-Run", "1")
            raise web.Finish

    async def post(self) -> None:
        """Runs a request and sends the response."""
        headers = self.request.headers
        entry = self.journal.add(
            "run",
            request=headers.get("Request-Id", ""),
            path=self.request.path,
            headers=dict(headers.get_all()),
            body=self.request.body.decode("latin-1"),
            software=self.state.software_version,
            finished=False,
            **self.statements,
        )
        self.set_header("Server-Stamp", f"{self.state.id}.{len(self.journal.entries)}")
        if self.request.body == self.state.deadly_body:
            entry["crashed"] = True
            self.state.crash()
            drop_connection(self)
            return
        if fault := self.faults.consume("silent"):
            await asyncio.sleep(fault.seconds)
        if self.faults.consume("reset"):
            drop_connection(self)
            return
        if self.faults.consume("error"):
            self.set_status(500)
            self.write(ERROR_BODY)
            return
        if self.faults.consume("impossible"):
            self.set_status(422)
            return
        if fault := self.faults.consume("endless"):
            await self._send_endlessly(fault.seconds, entry)
            return
        self.state.running += 1
        peak = self.journal.counters.get("peak_running", 0)
        self.journal.counters["peak_running"] = max(peak, self.state.running)
        try:
            if "Model" in headers:
                entry["finished"] = await self._send_stream(headers["Model"], entry)
            else:
                await self._send_response()
                entry["finished"] = True
            entry["answered_at"] = time.time()
        except asyncio.CancelledError:
            # As the process ends, Tornado would end the response as if it were whole.
            drop_connection(self)
            raise
        finally:
            self.state.running -= 1

    get = post

    async def _send_endlessly(self, pause: float, entry: dict[str, Any]) -> None:
        """Sends comments with pauses, or an event without end if there are none."""
        chunk = b": comment\n\n" if pause else b"data: " + b"x" * ENDLESS_CHUNK_BYTES
        entry["sent_bytes"] = 0
        self.set_header("Weight-Versions", "1")
        with contextlib.suppress(StreamClosedError):
            while True:
                self.write(chunk)
                await self.flush()
                entry["sent_bytes"] += len(chunk)
                await asyncio.sleep(pause)

    async def _send_response(self) -> None:
        await asyncio.sleep(self.state.work_seconds)
        if self.faults.consume("unsigned"):
            self.clear_header("Server-Stamp")
        if self.faults.consume("crossed"):
            self.set_header("Request-Id", "another")
        body = b"answer to " + self.request.body
        if self.faults.consume("truncate"):
            stream = self.request.connection.stream  # type: ignore[union-attr]
            request_id = self.request.headers.get("Request-Id", "")
            headers = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            headers += f"Server-Stamp: s\r\nContent-Length: {len(body)}\r\n\r\n"
            await stream.write(headers.encode() + body[:4])
            stream.close()
            return
        self.write(body)

    async def _send_stream(self, model: str, entry: dict[str, Any]) -> bool:
        """Sends the events and returns whether all were sent."""
        state = self.state
        version = state.versions.get(model, 1)
        expected = self.request.headers.get("Expect-Version")
        if expected is not None and int(expected) != version:
            self.set_status(421)
            self.set_header("Instance-Id", state.id)
            return False
        self.set_header("Content-Type", "text/event-stream")
        if self.faults.consume("unsigned"):
            self.clear_header("Server-Stamp")
        prompt = parse_prompt_request(self.request.body)
        count = state.events if prompt is None else prompt.get("max_tokens", 1)
        start = int(self.request.headers.get("Last-Event-Id", "0")) + 1
        if start <= count:
            self.set_header("Weight-Versions", str(version))
        entry["versions"] = sent_versions = []
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
            sent_versions.append(version)
            self.write("\n".join(lines) + "\n\n")
            await self.flush()
        if self.faults.consume("cut_end"):
            await asyncio.sleep(state.event_seconds)
            drop_connection(self)
        return True

    def _make_data(self, prompt: dict[str, Any] | None, number: int) -> str:
        if prompt is None:
            request_id = self.request.headers.get("Request-Id")
            return f"{request_id}-{number}{self.state.padding}"
        return generate_token(prompt["prompt"], prompt.get("seed", 0), number - 1)


class ReportHandler(WorkerHandler):
    """``GET /-/report``: reports the state of the worker."""

    def get(self) -> None:
        """Writes the loaded versions, the number of load orders and the start."""
        if self.faults.consume("mute_report"):
            drop_connection(self)
            return
        if not self.check_expected_instance():
            return
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.state.versions.items()
        ]
        self.write(
            {
                "stage": "both",
                "models": models,
                "busy": self.state.is_loading,
                "sequence": self.state.load_count,
                "born": self.state.started_at_ms,
            }
        )


class LoadOrderHandler(WorkerHandler):
    """``POST /-/order``: starts to load a version of a model."""

    async def post(self) -> None:
        """Handles a load order."""
        if not self.check_expected_instance():
            return
        order = json.loads(self.request.body)
        if fault := self.faults.consume("late_order"):
            loop = asyncio.get_running_loop()
            loop.call_later(fault.seconds, self._accept_order, order)
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            return
        status = self._accept_order(order)
        if self.faults.consume("mute_order"):
            drop_connection(self)
            return
        self.set_status(status)

    def _accept_order(self, order: dict[str, Any]) -> int:
        state = self.state
        if "holder" not in order or "fence" not in order:
            return 400
        if (
            state.is_loading
            or order.get("precondition", state.load_count) != state.load_count
        ):
            return 409
        model, version = order["model"], order["version"]
        if state.versions.get(model) == version:
            return 200
        state.load_count += 1
        state.is_loading = True
        self.journal.add("order", **order)

        def finish_load() -> None:
            state.versions[model] = version
            state.is_loading = False

        asyncio.get_running_loop().call_later(state.load_seconds, finish_load)
        return 202


def make_application(state: WorkerState) -> web.Application:
    """Creates a worker's stand-in.

    Args:
        state: State of the worker, which the application changes.

    Returns:
        The application. Tests may use its attributes ``faults`` and ``journal``.
    """
    faults, journal = FaultInjector(), Journal()
    shared = {"state": state, "faults": faults, "journal": journal}
    application = web.Application(
        [
            (r"/-/report", ReportHandler, shared),
            (r"/-/order", LoadOrderHandler, shared),
            *make_control_routes(faults, journal),
            (r"/.*", RequestRunHandler, shared),
        ],
        log_function=lambda _: None,
    )
    application.faults, application.journal = faults, journal  # type: ignore[attr-defined]
    return application
