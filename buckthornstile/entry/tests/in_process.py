"""A deployment in one event loop: a stand-in store, stand-in workers, real entries."""

import asyncio
import errno
import functools
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any
from unittest.mock import Mock

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from buckthornstile.entry import Entry
from buckthornstile.http_client import ConnectionPool, HTTPRequest, HTTPResponse
from buckthornstile.jobs import JobId
from buckthornstile.logs import EventLogHandler
from buckthornstile.platform._node_settings import decode_node_settings
from standins.faults import FaultInjector
from standins.store import make_application as make_store_application
from standins.worker import WorkerState
from standins.worker import make_application as make_worker_application

HOST = "mill.example"
API_KEY, OTHER_API_KEY = "key-of-mill", "key-of-quay"
PLAIN_SERVICE, MODEL_SERVICE = "desk", "models"
MODEL_NAME = "llm"
WAIT_TIMEOUT = 8.0  # seconds; enough for any wait on a busy machine
TEST_TIMEOUT = 40.0  # seconds


def find_free_port() -> int:
    """Returns a port that is free on the loopback interface."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


START_INTERVAL_MS = 10_000
"""Milliseconds between two starts of a worker, as it states them."""
RESTART_SECONDS = 0.4
"""Seconds after a crash at which a worker starts again."""


class InProcessWorker:
    """A stand-in worker, with its registration in the store."""

    def __init__(
        self, deployment: "InProcessDeployment", name: str, service: str, **state: Any
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.failure_domain = state.pop("failure_domain", "bench-a")
        self.state = WorkerState(name, **state)
        self.application = make_worker_application(self.state)
        self.faults: FaultInjector = self.application.faults  # type: ignore[attr-defined]
        self.port = 0
        self.server: HTTPServer | None = None
        self.start_count = 0
        self.state.crash = self._crash

    def _crash(self) -> None:
        """Ends the worker and starts it again after ``RESTART_SECONDS``."""
        if self.server is not None:
            server, self.server = self.server, None
            server.stop()
            loop = asyncio.get_running_loop()
            loop.create_task(server.close_all_connections())
            loop.call_later(RESTART_SECONDS, self.start)

    def start(self) -> None:
        """Starts to listen and writes the registration."""
        sockets = bind_sockets(self.port, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = HTTPServer(self.application)
        self.server.add_sockets(sockets)
        self.start_count += 1
        self.write_registration(born=START_INTERVAL_MS * self.start_count)

    def write_registration(self, **changes: Any) -> None:
        """Writes the registration record of the worker, with some fields changed."""
        models = [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.state.versions.items()
        ]
        self.state.started_at_ms = changes.get("born", self.state.started_at_ms)
        registration = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.failure_domain,
            "version": self.state.software_version,
            "slots": self.state.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.state.started_at_ms,
            "models": models,
        } | changes
        self.deployment.put_record(
            "keyed.servers", self.name, json.dumps(registration).encode()
        )

    async def restart_with(self, software_version: str, *, registers: bool) -> None:
        """Ends the worker and starts it again with another version of its software.

        Args:
            software_version: The version.
            registers: Whether it writes its registration, or cannot reach the store.
        """
        await self.stop()
        self.state.software_version = software_version
        self.state.padding = f" {software_version}"
        if registers:
            self.start()
            return
        registration, self.write_registration = self.write_registration, Mock()
        self.start()
        self.write_registration = registration
        self.state.started_at_ms = START_INTERVAL_MS * self.start_count

    def remove_registration(self) -> None:
        """Removes the registration."""
        self.deployment.put_record("keyed.servers", self.name, b"")

    def list_runs(self, finished: bool | None = None) -> list[dict[str, Any]]:
        """Returns the runs in the worker's journal.

        Args:
            finished: Whether to return the finished or the unfinished runs, or None
                for all runs.
        """
        entries = self.application.journal.entries  # type: ignore[attr-defined]
        runs = [entry for entry in entries if entry["what"] == "run"]
        if finished is None:
            return runs
        return [run for run in runs if run["finished"] is finished]

    def list_load_orders(self) -> list[dict[str, Any]]:
        """Returns the model load orders that the worker executed."""
        entries = self.application.journal.entries  # type: ignore[attr-defined]
        return [entry for entry in entries if entry["what"] == "order"]

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()
            self.server = None


class InProcessDeployment:
    """A store, workers and entries, each on a loopback port of its own."""

    def __init__(self) -> None:
        self.store_application = make_store_application()
        self.topic_store = self.store_application.log  # type: ignore[attr-defined]
        self.store_faults: FaultInjector = self.store_application.faults  # type: ignore[attr-defined]
        self.store_journal = self.store_application.journal  # type: ignore[attr-defined]
        self.store_port = 0
        self.store_server: HTTPServer | None = None
        self.workers: dict[str, InProcessWorker] = {}
        self.entries: dict[str, Entry] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.connection_pool = ConnectionPool()
        self.configuration_version = 0
        self.bounds = {"usageWindowS": 1, "leaseMs": 900, "graceS": 5}
        self.routes = make_routes()
        self.accounts = [
            {"name": "mill", "apiKeys": [API_KEY]},
            {"name": "quay", "apiKeys": [OTHER_API_KEY]},
        ]

    async def __aenter__(self) -> "InProcessDeployment":
        self.null_descriptor = os.open(os.devnull, os.O_WRONLY)
        self.start_store()
        self.put_configuration()
        return self

    async def __aexit__(self, *_: object) -> None:
        for name in list(self.tasks):
            await self.kill_entry(name)
        for worker in self.workers.values():
            await worker.stop()
        await self.stop_store()
        self.connection_pool.close()
        os.close(self.null_descriptor)

    def start_store(self) -> None:
        """Starts the store, on the port of its last start if there was one."""
        sockets = bind_sockets(self.store_port, "127.0.0.1")
        self.store_port = sockets[0].getsockname()[1]
        self.store_server = HTTPServer(self.store_application)
        self.store_server.add_sockets(sockets)

    async def stop_store(self) -> None:
        """Stops the store's server; its records and its port are kept."""
        if self.store_server is not None:
            self.store_server.stop()
            await self.store_server.close_all_connections()
            self.store_server = None

    def put_record(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record to a topic, as operators and workers do."""
        encoded_key = key.encode()
        self.topic_store.get(topic, 0).append(
            [bytes([len(encoded_key)]) + encoded_key + value]
        )

    def put_configuration(self, **changes: Any) -> None:
        """Writes the next version of the configuration, with some fields changed."""
        self.configuration_version += 3
        configuration = {
            "version": self.configuration_version,
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
        self.put_record("keyed.op", "config", json.dumps(configuration).encode())

    def set_version(self, version: int) -> None:
        """Writes the model version to load, as a trainer does."""
        value = json.dumps({"model": MODEL_NAME, "version": version}).encode()
        self.put_record("keyed.op", f"version/{MODEL_NAME}", value)

    def add_worker(self, name: str, service: str, **state: Any) -> InProcessWorker:
        """Starts a worker and registers it."""
        if service == MODEL_SERVICE:
            state.setdefault("versions", {MODEL_NAME: 1})
        worker = self.workers[name] = InProcessWorker(self, name, service, **state)
        worker.start()
        return worker

    async def add_entry(self, name: str, *, ready: bool = True) -> Entry:
        """Starts an entry and waits until it is ready.

        If another program has taken one of the free ports in the meantime, the entry
        is started again on other ports.
        """
        while True:
            try:
                return await self._start_entry(name, ready=ready)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await self.entries.pop(name).close()

    async def _start_entry(self, name: str, *, ready: bool) -> Entry:
        settings = decode_node_settings(
            {
                "node": name,
                "zone": "bench-a",
                "heartbeatMs": 500,
                "internalPorts": [find_free_port()],
                "listen": {
                    "front": f"127.0.0.1:{find_free_port()}",
                    "ready": f"127.0.0.1:{find_free_port()}",
                },
                "platform": {"address": f"127.0.0.1:{self.store_port}", "parts": 2},
                "cloud": {"address": f"127.0.0.1:{self.store_port}"},
                "bounds": self.bounds,
            }
        )
        peer_address = f"127.0.0.1:{find_free_port()}"
        settings = settings.model_copy(update={"peer_address": peer_address})
        event_handler = EventLogHandler(
            settings.process, descriptor=self.null_descriptor
        )
        entry = self.entries[name] = Entry(settings, event_handler)
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

    async def kill_entry(self, name: str) -> None:
        """Stops an entry abruptly, without a drain or a last presence record."""
        entry, task = self.entries.pop(name), self.tasks.pop(name)
        task.cancel()
        await asyncio.wait({task})
        await entry.close()

    async def wait_for(
        self, condition: Callable[[], object], *, timeout: float = WAIT_TIMEOUT
    ) -> None:
        """Waits until a condition holds, for at most ``timeout`` seconds."""
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.01)

    async def retry_until_true(
        self, step: Callable[[], Awaitable[bool]], *, timeout: float = WAIT_TIMEOUT
    ) -> None:
        """Repeats a step until it returns True, for at most ``timeout`` seconds."""
        async with asyncio.timeout(timeout):
            while not await step():
                await asyncio.sleep(0.03)

    # Clients

    async def send_request(
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
        """Sends a client's request to an entry, on a new connection."""
        request_headers = [("Host", HOST), *headers]
        if request_id:
            request_headers.append(("Request-Id", request_id))
        if key is not None:
            request_headers.append(("Credential", key))
        request = HTTPRequest(method, target, request_headers, body)
        address = self.entries[entry].settings.client_address
        return await self.connection_pool.send(address, request, new_connection=True)

    async def send_simple_request(
        self, entry: str, request_id: str, **options: Any
    ) -> HTTPResponse:
        """Sends a POST request with a short body to a plain route."""
        options.setdefault("headers", (("Deadline-Ms", "2000"),))
        target = options.pop("target", "/orders/7")
        return await self.send_request(
            entry, "POST", target, request_id=request_id, body=b"hello", **options
        )

    async def submit_job(self, entry: str, job: dict[str, Any], job_id: str) -> int:
        """Submits a batch job and returns the status."""
        body = json.dumps(job).encode()
        response = await self.send_request(
            entry, "POST", "/steps/x", request_id=job_id, body=body
        )
        return response.status

    async def find_job_owner(self, job_id: str) -> tuple[str, str]:
        """Returns the names of the entry that owns a job and of another entry."""
        names: list[str] = []

        def find() -> bool:
            for name, entry in self.entries.items():
                job = entry.job_store.table.find(JobId(job_id))
                if job is not None and job.claim and job.claim.owner == entry.name:
                    names[:] = [
                        name,
                        *(other for other in self.entries if other != name),
                    ]
            return bool(names)

        await self.wait_for(find)
        return names[0], names[1]

    async def read_results(
        self, entry: str, job_id: str, after: int = 0, wait: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Returns the status and the results of a job after a position.

        The entry may hold the request for ``wait`` milliseconds.
        """
        response = await self.send_request(
            entry,
            "GET",
            f"/-/lots/{job_id}?after={after}",
            headers=(("Wait-Ms", str(wait)),),
        )
        data = json.loads(bytes(response.body)) if response.status == 200 else {}
        return response.status, data

    async def wait_for_results(self, entry: str, job_id: str, count: int) -> list[dict]:
        """Reads the results of a job until at least ``count`` are listed."""
        results: list[dict] = []

        async def read() -> bool:
            status, data = await self.read_results(entry, job_id, wait=200)
            results[:] = data.get("results", [])
            return status == 200 and len(results) >= count

        await self.retry_until_true(read)
        return results


def make_routes() -> list[dict[str, Any]]:
    """Returns one route of each kind."""
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
    items: int = 3, *, prefix: str = "i", minimum_version: int = 0, scored: bool = True
) -> dict[str, Any]:
    """Returns the body of a batch job, before it is encoded as JSON."""
    return {
        "step": 1,
        "model": MODEL_NAME,
        "minVersion": minimum_version,
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


def make_expected_text(item: str, events: int = 4, padding: str = "") -> str:
    """Returns the text that a stand-in worker generates for an item."""
    return "\n".join(f"{item}-{number}{padding}" for number in range(1, events + 1))


def encode_length_prefixed(data: bytes) -> bytes:
    """Returns a record in the wire format, which starts with its length."""
    return struct.pack(">I", len(data)) + data


def with_deployment(
    test: Callable[[InProcessDeployment], Coroutine[Any, Any, None]],
) -> Callable[[], None]:
    """Runs a test with a deployment of its own, within ``TEST_TIMEOUT``."""

    @functools.wraps(test)
    def run() -> None:
        async def run_test() -> None:
            async with (
                InProcessDeployment() as deployment,
                asyncio.timeout(TEST_TIMEOUT),
            ):
                await test(deployment)

        asyncio.run(run_test())

    del run.__wrapped__  # type: ignore[attr-defined]
    return run
