"""Starts the store, entries and workers of a case and records what happens."""

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.harness._client import call
from review.harness._worker import Work, Worker

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("bench-a", "bench-b", "grind-room", "ledger-room")
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
HOST = "ficu95.example"
START_SECONDS = 20.0
CASE_SECONDS = 110.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.7,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "failClosed": True,
    "revokeMs": 5000,
    "requireFencing": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "usageWindowS": 5,
    "usageTolerance": 0.05,
    "usageLateS": 10,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "finishS": 10,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOverage": 0.1,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 33554432,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


class Case:
    """One run of a case.

    Attributes:
        has_trouble: Whether the disruption is played (``TROUBLE`` is not 0).
        entries: The running entries by name.
        addresses: Client address of each entry.
        workers: The workers by name.
    """

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = temporary
        self.entries: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, str] = {}
        self.workers: dict[str, Worker] = {}
        self.store_address = ""
        self._started_at = time.monotonic()
        self._record_file = (folder / "record.txt").open("w")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._store: subprocess.Popen[bytes] | None = None
        self._hosts = 0
        self._configuration: dict[str, Any] = {}

    # Records

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def record(self, event: str, **fields: Any) -> None:
        """Writes a line to ``record.txt``."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._record_file.write(f"{self.now():8.3f} {event} {text}\n")
        self._record_file.flush()

    # Processes

    def allocate_host(self) -> str:
        """Returns a loopback address that nothing else uses in this case."""
        self._hosts += 1
        return f"127.{60 + os.getpid() % 150}.{os.getpid() // 150 % 250}.{self._hosts}"

    async def start_store(self) -> None:
        """Starts the project's stand-in of the platform."""
        process = subprocess.Popen(
            [sys.executable, "-m", "standins.store", "--retention=20"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        self._store = process
        assert process.stdout is not None
        line = await asyncio.to_thread(process.stdout.readline)
        self.store_address = f"127.0.0.1:{json.loads(line)['port']}"

    def pause_store(self) -> None:
        """Stops the store's process: it accepts connections and answers nothing."""
        assert self._store is not None
        self._store.send_signal(signal.SIGSTOP)

    def resume_store(self) -> None:
        """Continues the store's process."""
        assert self._store is not None
        self._store.send_signal(signal.SIGCONT)

    async def start_entry(
        self, name: str, zone: str, *, store_address: str = "", **bounds: Any
    ) -> None:
        """Starts an entry with the deploy file's command; waits until it is ready."""
        host = self.allocate_host()
        front, ready, first = find_free_ports(host)
        store = store_address or self.store_address
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": host,
            "zone": zone,
            "region": "pnw",
            "zones": dict.fromkeys(ZONES, "pnw"),
            "listen": {"front": f"{host}:{front}", "ready": f"{host}:{ready}"},
            "internalPorts": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.717, "cores": 3, "memoryMb": 330, "maxFds": 8200},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": {**BOUNDS, **bounds},
            "platform": {
                "address": store,
                "form": "log",
                "writesPerS": 800,
                "readsPerS": 2000,
                "parts": 12,
                "appendMs": 2.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "retentionS": 20,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
            "cloud": {
                "address": self.store_address,
                "duties": ["usage_report"],
                "dutyPerS": 50.0,
            },
        }
        path = self.temporary / f"{name}.json"
        path.write_text(json.dumps(settings))
        output = (self.temporary / f"{name}.log").open("ab")
        process = subprocess.Popen(
            ["python3", "-m", "buckthornstile.entry"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": str(self.temporary),
                "LANG": "C.UTF-8",
                "PYTHONPATH": os.environ["PYTHONPATH"],
                "PYTHONDONTWRITEBYTECODE": "1",
                "BUCKTHORNSTILE_CONFIG": str(path),
            },
            stdout=output,
            stderr=output,
        )
        self._processes.append(process)
        self.entries[name] = process
        self.addresses[name] = f"{host}:{front}"
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            answer = await call(f"{host}:{ready}", "GET", "/-/ready", {"Host": host})
            if answer.status == 200:
                self.record("entry_ready", entry=name, address=self.addresses[name])
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} did not become ready")

    async def start_worker(
        self, name: str, service: str, zone: str, work: Work, **options: Any
    ) -> Worker:
        """Starts a worker in this process."""
        worker = Worker(
            name,
            service,
            zone,
            record=self.record,
            append=self.append,
            work=work,
            **options,
        )
        await worker.start(self.allocate_host())
        self.workers[name] = worker
        return worker

    # The operator and the trainers

    async def append(self, topic: str, records: list[tuple[str, bytes]]) -> bool:
        """Appends keyed records to the store; returns whether it acknowledged them."""
        body = b""
        for key, value in records:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        target = f"/-/log-append?topic={topic}&part=0"
        headers = {"Host": self.store_address}
        answer = await call(
            self.store_address, "POST", target, headers, body, timeout=3.0
        )
        return answer.status == 200

    async def put_configuration(
        self,
        routes: list[dict[str, Any]],
        models: dict[str, tuple[str, ...]] | None = None,
    ) -> None:
        """Writes a configuration with these routes.

        Args:
            routes: The routes.
            models: The models of each service of engines.
        """
        version = self._configuration.get("version", 0) + 7
        services = sorted({route["service"] for route in routes})
        self._configuration = {
            "version": version,
            "routes": [{"hostname": HOST, **route} for route in routes],
            "services": [
                _make_service(name, (models or {}).get(name, ())) for name in services
            ],
            "limits": LIMITS,
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
        }
        value = json.dumps(self._configuration).encode()
        if not await self.append("keyed.op", [("config", value)]):
            raise CannotRunError("the store did not take the configuration")
        self.record("configuration", version=version)

    async def name_version(self, model: str, version: int) -> None:
        """Names a version of a model."""
        value = json.dumps({"model": model, "version": version}).encode()
        if not await self.append("keyed.op", [(f"version/{model}", value)]):
            raise CannotRunError("the store did not take the version")
        self.record("version_named", model=model, version=version)

    def require(self, condition: bool, what: str) -> None:
        """Ends the case as one that could not run, unless a condition holds."""
        if not condition:
            raise CannotRunError(f"not reached: {what}")

    async def wait_until(
        self, condition: Callable[[], bool], what: str, seconds: float = 15.0
    ) -> None:
        """Waits for a condition of the set-up."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f"not reached: {what}")
            await asyncio.sleep(0.05)

    def close(self) -> None:
        """Ends all processes that this case started."""
        for worker in self.workers.values():
            worker.stop()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def _make_service(name: str, models: tuple[str, ...]) -> dict[str, Any]:
    service: dict[str, Any] = {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 160,
    }
    if models:
        engine = {"models": [{"name": model} for model in models], "kvTokens": 60483}
        service["engine"] = engine
    return service


def find_free_ports(host: str) -> tuple[int, int, int]:
    """Returns a client port, a ready port and the first of two adjacent free ports."""
    sockets = []
    try:
        for _ in range(40):
            sockets.append(_bind(host, 0))
            port = sockets[-1].getsockname()[1]
            if port >= 65_000:
                continue
            try:
                sockets.append(_bind(host, port + 1))
            except OSError:
                continue
            others = [_bind(host, 0), _bind(host, 0)]
            sockets += others
            front, ready = (other.getsockname()[1] for other in others)
            return front, ready, port
    finally:
        for opened in sockets:
            opened.close()
    raise CannotRunError("no free ports")


def _bind(host: str, port: int) -> socket.socket:
    opened = socket.socket()
    opened.bind((host, port))
    return opened


def run_case(file: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Runs a case and exits with 1 if it returns violations, 0 if none, else 2."""
    # A case that is stopped from outside still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = Path(file).resolve().parent
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        case = Case(folder, Path(temporary))

        async def run() -> list[str]:
            async with asyncio.timeout(CASE_SECONDS):
                return await play(case)

        try:
            violations = asyncio.run(run())
        except Exception as error:
            case.record("cannot_run", reason=repr(error))
            print(f"cannot run: {error!r}")
            sys.exit(2)
        finally:
            case.close()
            for path in Path(temporary).glob("*.log"):
                lines = path.read_text(errors="replace").splitlines()
                for line in lines[-200:] if os.environ.get("SHOW_LOGS") else ():
                    print(path.stem, line[:400])
        for violation in violations:
            case.record("violation", text=violation)
            print("violation:", violation)
        print("rule broken" if violations else "rule held")
        sys.exit(1 if violations else 0)
