"""A small deployment in one event loop: store, workers, entries, clients."""

import asyncio
import errno
import functools
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from buckthornstile.entry import Entry
from buckthornstile.http_client import ConnectionPool, HTTPRequest, HTTPResponse
from buckthornstile.jobs import JobId
from buckthornstile.logs import EventLogHandler
from buckthornstile.platform._node_settings import decode_node_settings
from standins.faults import FaultInjector
from standins.store import make_application as make_store_client
from standins.worker import WorkerState
from standins.worker import make_application as make_worker

HOST = "mill.example"
API_KEY, OTHER_API_KEY = "key-of-mill", "key-of-quay"
PLAIN_SERVICE, MODEL_SERVICE = "desk", "models"
MODEL_NAME = "llm"
SETTLE_TIMEOUT = 8.0  # seconds for anything to settle on a busy machine
TEST_TIME = 40.0  # seconds for one test


def find_port() -> int:
    """Finds a free port on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class InProcessWorker:
    """A worker's stand-in and its entry in the store."""

    def __init__(
        self, deployment: "InProcessDeployment", name: str, service: str, **state: Any
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.zone = state.pop("zone", "bench-a")
        self.state = WorkerState(name, **state)
        self.application = make_worker(self.state)
        self.faults: FaultInjector = self.application.faults  # type: ignore[attr-defined]
        self.port = 0
        self.server: HTTPServer | None = None

    def start(self) -> None:
        """Begins to listen and writes the entry."""
        sockets = bind_sockets(self.port, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(self.application)
        self.server.add_sockets(sockets)
        self.write_entry()

    def write_entry(self, **changes: Any) -> None:
        """Writes what the worker says of itself."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.state.versions.items()
        ]
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.state.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
            "models": models,
        } | changes
        self.deployment.put("keyed.servers", self.name, json.dumps(entry).encode())

    def remove_entry(self) -> None:
        """Removes the entry."""
        self.deployment.put("keyed.servers", self.name, b"")

    def list_runs(self, finished: bool | None = None) -> list[dict[str, Any]]:
        """Lists the runs that the worker saw."""
        entries = self.application.journal.entries  # type: ignore[attr-defined]
        runs = [entry for entry in entries if entry["what"] == "run"]
        if finished is None:
            return runs
        return [run for run in runs if run["finished"] is finished]

    def list_orders(self) -> list[dict[str, Any]]:
        """Lists the orders that the worker carried out."""
        entries = self.application.journal.entries  # type: ignore[attr-defined]
        return [entry for entry in entries if entry["what"] == "order"]

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()
            self.server = None


class InProcessDeployment:
    """The deployment."""

    def __init__(self) -> None:
        self.application = make_store_client()
        self.log = self.application.log  # type: ignore[attr-defined]
        self.faults: FaultInjector = self.application.faults  # type: ignore[attr-defined]
        self.journal = self.application.journal  # type: ignore[attr-defined]
        self.store_port = 0
        self.store_server: HTTPServer | None = None
        self.workers: dict[str, InProcessWorker] = {}
        self.entries: dict[str, Entry] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.pool = ConnectionPool()
        self.version = 0
        self.routes = make_routes()
        self.accounts = [
            {"name": "mill", "apiKeys": [API_KEY]},
            {"name": "quay", "apiKeys": [OTHER_API_KEY]},
        ]

    async def __aenter__(self) -> "InProcessDeployment":
        self.descriptor = os.open(os.devnull, os.O_WRONLY)
        self.start_store()
        self.put_configuration()
        return self

    async def __aexit__(self, *_: object) -> None:
        for name in list(self.tasks):
            await self.kill(name)
        for worker in self.workers.values():
            await worker.stop()
        await self.stop_store()
        self.pool.close()
        os.close(self.descriptor)

    def start_store(self) -> None:
        """Starts the store where it was."""
        sockets = bind_sockets(self.store_port, "127.0.0.1")
        self.store_port = sockets[0].getsockname()[1]
        self.store_server = HTTPServer(self.application)
        self.store_server.add_sockets(sockets)

    async def stop_store(self) -> None:
        """Makes the store refuse all connections; it forgets nothing."""
        if self.store_server is not None:
            self.store_server.stop()
            await self.store_server.close_all_connections()
            self.store_server = None

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a keyed record, as operators and workers do."""
        name = key.encode()
        self.log.get(topic, 0).append([bytes([len(name)]) + name + value])

    def put_configuration(self, **changes: Any) -> None:
        """Writes the next version of the configuration."""
        self.version += 3
        configuration = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConnections": 50},
                {
                    "name": MODEL_SERVICE,
                    "healthPath": "/healthz",
                    "maxConnections": 50,
                    "engine": {"models": [{"name": MODEL_NAME}]},
                },
            ],
            "limits": {"maxBodyBytes": 1 << 20},
            "tenants": self.accounts,
        } | changes
        self.put("keyed.op", "config", json.dumps(configuration).encode())

    def name_version(self, version: int) -> None:
        """Names a version, as a trainer does."""
        value = json.dumps({"model": MODEL_NAME, "version": version}).encode()
        self.put("keyed.op", f"version/{MODEL_NAME}", value)

    def add_worker(self, name: str, service: str, **state: Any) -> InProcessWorker:
        """Starts a worker."""
        if service == MODEL_SERVICE:
            state.setdefault("versions", {MODEL_NAME: 1})
        worker = self.workers[name] = InProcessWorker(self, name, service, **state)
        worker.start()
        return worker

    async def add_entry(self, name: str, *, ready: bool = True) -> Entry:
        """Starts an entry and waits until it is ready.

        Another program may take a port after it was found free; the entry is then
        started anew on other ports.
        """
        while True:
            try:
                return await self._start_entry(name, ready=ready)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await self.entries.pop(name).kill()

    async def _start_entry(self, name: str, *, ready: bool) -> Entry:
        settings = decode_node_settings(
            {
                "node": name,
                "zone": "bench-a",
                "heartbeatMs": 500,
                "internalPorts": [find_port()],
                "listen": {
                    "front": f"127.0.0.1:{find_port()}",
                    "ready": f"127.0.0.1:{find_port()}",
                },
                "platform": {"address": f"127.0.0.1:{self.store_port}", "parts": 2},
                "cloud": {"address": f"127.0.0.1:{self.store_port}"},
                "bounds": {"usageWindowS": 1, "leaseMs": 900, "graceS": 5},
            }
        )
        peer_address = f"127.0.0.1:{find_port()}"
        settings = settings.model_copy(update={"peer_address": peer_address})
        events = EventLogHandler(settings.process, descriptor=self.descriptor)
        entry = self.entries[name] = Entry(settings, events)
        task = self.tasks[name] = asyncio.create_task(entry.run())
        await asyncio.sleep(0)
        if task.done():
            await task
        if ready:
            await self.wait_for(lambda: task.done() or entry.is_ready())
            if task.done():
                await task
            count = len(self.tasks)
            await self.wait_for(
                lambda: len(entry.presence.list_live()) >= min(count, 1)
            )
        return entry

    async def kill(self, name: str) -> None:
        """Ends an entry at once, without a word to anybody."""
        entry, task = self.entries.pop(name), self.tasks.pop(name)
        task.cancel()
        await asyncio.wait({task})
        await entry.kill()

    async def wait_for(
        self, condition: Callable[[], object], *, timeout: float = SETTLE_TIMEOUT
    ) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.01)

    async def retry(
        self, step: Callable[[], Awaitable[bool]], *, timeout: float = SETTLE_TIMEOUT
    ) -> None:
        """Repeats a step until it gives True."""
        async with asyncio.timeout(timeout):
            while not await step():
                await asyncio.sleep(0.03)

    # Clients

    async def send(
        self,
        entry: str,
        method: str,
        target: str,
        *,
        request_id: str = "",
        key: str | None = API_KEY,
        body: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HTTPResponse:
        """Sends a client's request."""
        sent = [("Host", HOST), *headers]
        if request_id:
            sent.append(("Request-Id", request_id))
        if key is not None:
            sent.append(("Credential", key))
        request = HTTPRequest(method, target, sent, body)
        address = self.entries[entry].settings.client_address
        return await self.pool.send(address, request, new_connection=True)

    async def call(self, entry: str, request_id: str, **options: Any) -> HTTPResponse:
        """Sends a plain request."""
        options.setdefault("headers", (("Deadline-Ms", "2000"),))
        target = options.pop("target", "/orders/7")
        return await self.send(
            entry, "POST", target, request_id=request_id, body=b"hello", **options
        )

    async def submit(self, entry: str, job: dict[str, Any], job_id: str) -> int:
        """Submits a batch job and gives the status."""
        body = json.dumps(job).encode()
        answer = await self.send(
            entry, "POST", "/steps/x", request_id=job_id, body=body
        )
        return answer.status

    async def find_owner(self, job_id: str) -> tuple[str, str]:
        """Finds the entry that owns a job, and names another one beside it."""
        found: list[str] = []

        def find() -> bool:
            for name, entry in self.entries.items():
                job = entry.jobs.table.find(JobId(job_id))
                if job is not None and job.claim and job.claim.owner == entry.name:
                    found[:] = [name, *(one for one in self.entries if one != name)]
            return bool(found)

        await self.wait_for(find)
        return found[0], found[1]

    async def read_results(
        self, entry: str, job_id: str, after: int = 0, wait: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Reads results from a position on."""
        answer = await self.send(
            entry,
            "GET",
            f"/-/lots/{job_id}?after={after}",
            headers=(("Wait-Ms", str(wait)),),
        )
        data = json.loads(bytes(answer.body)) if answer.status == 200 else {}
        return answer.status, data

    async def read_all(self, entry: str, job_id: str, count: int) -> list[dict]:
        """Reads until a number of results is listed."""
        results: list[dict] = []

        async def read() -> bool:
            status, data = await self.read_results(entry, job_id, wait=200)
            results[:] = data.get("results", [])
            return status == 200 and len(results) >= count

        await self.retry(read)
        return results


def make_routes() -> list[dict[str, Any]]:
    """Makes a route of each kind."""
    common = {"hostname": HOST, "timeoutMs": 2000, "targetLatencyMs": 200}
    return [
        common
        | {
            "name": "orders",
            "pathPrefix": "/orders/",
            "kind": "safe",
            "service": PLAIN_SERVICE,
            "maxAttempts": 3,
        },
        common
        | {
            "name": "once",
            "pathPrefix": "/once/",
            "kind": "unsafe",
            "service": PLAIN_SERVICE,
            "maxAttempts": 3,
        },
        common
        | {
            "name": "scores",
            "pathPrefix": "/scores/",
            "kind": "safe",
            "service": PLAIN_SERVICE,
            "maxAttempts": 3,
            "allowAnonymous": True,
        },
        common
        | {
            "name": "steps",
            "pathPrefix": "/steps/",
            "kind": "rollout",
            "service": MODEL_SERVICE,
            "maxAttempts": 3,
            "resultDeadlineMs": 5000,
            "retentionS": 20,
        },
    ]


def make_job(
    items: int = 3, *, prefix: str = "i", minimum: int = 0, scored: bool = True
) -> dict[str, Any]:
    """Makes a batch job's body."""
    return {
        "step": 1,
        "model": MODEL_NAME,
        "minVersion": minimum,
        "desiredCount": 1,
        "items": [
            {
                "id": f"{prefix}{number}",
                "path": f"/steps/1/{number}",
                "headers": {"Model": MODEL_NAME, "Token-Counts": "10,20"},
                "body": "aGVsbG8=",
                "tokens": 30,
                "group": "g1",
            }
            | (
                {
                    "scorer": {
                        "id": f"score-{prefix}{number}",
                        "hostname": HOST,
                        "path": "/scores/1",
                        "body": "c2NvcmU=",
                    }
                }
                if scored
                else {}
            )
            for number in range(items)
        ],
    }


def make_text(item: str, events: int = 4) -> str:
    """The text that a worker's stand-in makes of an item."""
    return "\n".join(f"{item}-{number}" for number in range(1, events + 1))


def pack_record(data: bytes) -> bytes:
    """Encodes a record as it goes over the wire."""
    return struct.pack(">I", len(data)) + data


def with_deployment(
    test: Callable[[InProcessDeployment], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    """Runs a test in a world of its own."""

    @functools.wraps(test)
    def run() -> None:
        async def play() -> None:
            async with InProcessDeployment() as deployment, asyncio.timeout(TEST_TIME):
                await test(deployment)

        asyncio.run(play())

    del run.__wrapped__  # type: ignore[attr-defined]
    return run
