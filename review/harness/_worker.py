"""A worker that follows the published protocol: plain requests, streams and orders."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

LOAD_SECONDS = 0.9


@dataclass
class Request:
    """A request that arrived at a worker."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    gone: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def id(self) -> str:
        """The request's id."""
        return self.headers.get("request-id", "")


Work = Callable[["Worker", Request], Awaitable[None]]


class Worker:
    """One worker; it registers itself in the store.

    Args:
        name: Its id.
        service: Its service.
        zone: Its zone.
        record: Called with an event and its fields.
        append: Appends records to a topic of the store.
        work: Answers a request that runs.
        models: The models that it holds.
        slots: Number of requests at once.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        *,
        record: Callable[..., None],
        append: Callable[[str, list[tuple[str, bytes]]], Awaitable[bool]],
        work: Work,
        models: tuple[str, ...] = (),
        slots: int = 12,
        heartbeat: float = 1.2,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.record, self.append, self.work = record, append, work
        self.slots, self.heartbeat = slots, heartbeat
        self.versions = dict.fromkeys(models, 1)
        self.loading = ""
        self.order_count = 0
        self.running = 0
        self.state = "ready"
        self.extra_headers: dict[str, str] = {}
        self.address = ""
        self._born = int(time.time() * 1000)
        self._beats = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens and registers."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        await self.register()
        self._spawn(self._beat())

    async def register(self) -> None:
        """Writes the worker's entry."""
        self._beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._beats,
            "born": self._born,
            "stage": "both",
            "models": self._list_models(),
        }
        await self.append("keyed.servers", [(self.name, json.dumps(entry).encode())])

    def stop(self) -> None:
        """Ends all tasks and stops listening."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat)
            await self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *lines = head.strip().split("\r\n")
                method, target, _ = line.split()
                headers = {}
                for text in lines:
                    name, _, value = text.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                request = Request(method, target, headers, body, writer)
                await self._handle(request)
        writer.close()

    async def _handle(self, request: Request) -> None:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            await self.answer(request, 421, b"", {"Instance-Id": self.name})
        elif request.target == "/-/report":
            await self._answer_json(request, 200, self._make_report())
        elif request.target == "/-/order":
            await self.answer(request, self._accept_order(request), b"")
        else:
            await self._run(request)

    async def _run(self, request: Request) -> None:
        version = request.headers.get("expect-version")
        if version is not None and int(version) != self._get_version(request):
            await self.answer(request, 421, b"", {"Instance-Id": self.name})
            return
        is_loading = self.loading and request.headers.get("model") == self.loading
        if self.running >= self.slots or is_loading:
            await self.answer(request, 503, b"", {"Not-Run": "1"})
            return
        self.running += 1
        self._idle.clear()
        self.record("run", worker=self.name, request=request.id, target=request.target)
        try:
            await self.work(self, request)
        except (OSError, ConnectionError):
            self.record("run_cut", worker=self.name, request=request.id)
        finally:
            self.running -= 1
            if not self.running:
                self._idle.set()

    def _get_version(self, request: Request) -> int:
        return self.versions.get(request.headers.get("model", ""), 0)

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    def _make_report(self) -> dict[str, Any]:
        return {
            "stage": "both",
            "models": self._list_models(),
            "busy": bool(self.loading),
            "sequence": self.order_count,
            "numWaiting": 0,
            "numRunning": self.running,
        }

    def _accept_order(self, request: Request) -> int:
        order = json.loads(request.body)
        self.record("order", worker=self.name, **order)
        model, version = order["model"], order["version"]
        if "holder" not in order or "fence" not in order:
            return 400
        if self.versions.get(model) == version and not self.loading:
            return 200
        if self.loading:
            return 409
        if order.get("precondition", self.order_count) != self.order_count:
            return 409
        self.order_count += 1
        self.loading = model
        self._spawn(self._load(model, version, order["mode"]))
        return 202

    async def _load(self, model: str, version: int, mode: str) -> None:
        if mode == "wait":
            await self._idle.wait()
        await asyncio.sleep(LOAD_SECONDS)
        self.versions[model], self.loading = version, ""
        self.record("loaded", worker=self.name, model=model, version=version)

    async def answer(
        self,
        request: Request,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Writes a complete answer."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if request.id:
            lines.append(f"Request-Id: {request.id}")
        lines += [
            f"{name}: {value}"
            for name, value in {**self.extra_headers, **(headers or {})}.items()
        ]
        request.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await request.writer.drain()

    async def _answer_json(self, request: Request, status: int, data: Any) -> None:
        body = json.dumps(data).encode()
        await self.answer(request, status, body, {"Content-Type": "application/json"})

    async def stream(
        self,
        request: Request,
        count: int,
        pause: float,
        make_data: Callable[[int], str],
    ) -> None:
        """Streams the events after ``Last-Event-Id`` up to ``count``."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        version = self._get_version(request)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Request-Id: {request.id}",
            f"Server-Stamp: {self.name}.{request.id}",
            f"Weight-Versions: {version}",
        ]
        request.writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, count + 1):
            await asyncio.sleep(pause)
            if request.writer.is_closing():
                raise ConnectionResetError
            text = f"id: {number}\ndata: {make_data(number)}\n\n"
            if self._get_version(request) != version:
                version = self._get_version(request)
                text = f"weight-versions: {version}\n{text}"
            event = text.encode()
            request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await request.writer.drain()
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()
        self.record("finished", worker=self.name, request=request.id)
