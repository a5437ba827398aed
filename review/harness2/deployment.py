"""A small deployment of real processes on loopback addresses, for review cases.

The entries are started with the command of the deploy file and a settings file in the
platform's format. The store is the project's stand-in; each entry and each worker
reaches it through a proxy of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any
from urllib.parse import quote

from review.harness2.http import fetch, find_free_port
from review.harness2.proxy import StoreLink

ROOT = Path(__file__).resolve().parents[2]
HOST = "route.example"
KEY = "k1key0000000000"
TENANT = "tenant-1"
READY_TIMEOUT = 25.0  # seconds
MEMORY_MB = 330
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


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """The lines of ``record.txt``: seconds since the start, and an event."""

    def __init__(self) -> None:
        self.started_at = time.time()
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.time() - self.started_at

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line, by default for the present moment."""
        at = time.time() if at is None else at
        self.lines.append(f"{at - self.started_at:9.3f}  {text}")

    def write(self, path: Path) -> None:
        """Writes all lines in the order of their times."""
        path.write_text("\n".join(sorted(self.lines)) + "\n")


class Process:
    """A child process."""

    def __init__(self, name: str, popen: "subprocess.Popen[bytes]", log: Path) -> None:
        self.name, self.popen, self.log = name, popen, log
        self.port = 0
        self.address = ""
        self.link: StoreLink | None = None

    def send(self, number: int) -> None:
        """Sends a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Ends the process, also while it is stopped."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def read_events(self, name: str) -> list[dict[str, Any]]:
        """Returns the lines of an entry's event log with one event."""
        lines = self.log.read_text(errors="replace").splitlines()
        records = [json.loads(line) for line in lines if line.startswith("{")]
        return [record for record in records if record.get("event") == name]


class Deployment:
    """Starts and ends the processes of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.processes: list[Process] = []
        self.entries: dict[str, Process] = {}
        self.workers: dict[str, Process] = {}
        self.links: list[StoreLink] = []
        self.environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.network = 1 + os.getpid() % 250
        self._next_host = 1
        self._version = 0

    async def __aenter__(self) -> "Deployment":
        self.store = await self._start_stand_in("store", "review.harness2.store", [])
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in reversed(self.processes):
            process.kill()
        for link in self.links:
            await link.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    def allocate_address(self) -> str:
        """Returns a loopback address that no other process of the case uses."""
        self._next_host += 1
        return f"127.{self.network}.0.{self._next_host}"

    def start(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> Process:
        """Starts a process in the repository."""
        log = self.directory / f"{len(self.processes)}-{name}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**self.environment, **(environment or {})},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    async def _start_stand_in(
        self,
        name: str,
        module: str,
        flags: list[str],
        address: str = "",
        environment: dict[str, str] | None = None,
    ) -> Process:
        address = address or self.allocate_address()
        command = [sys.executable, "-m", module, "--address", address, *flags]
        process = self.start(name, command, environment)
        process.address = address
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            for line in process.log.read_text(errors="replace").splitlines():
                if line.startswith('{"ready"'):
                    process.port = json.loads(line)["port"]
                    return process
            if process.popen.poll() is not None:
                break
            await asyncio.sleep(0.01)
        raise CaseError(f"{name} did not start: {process.log.read_text()[-800:]}")

    # Workers and entries

    async def add_link(self) -> StoreLink:
        """Returns a new proxy to the store."""
        link = StoreLink(self.store.address, self.store.port)
        self.links.append(link)
        await link.listen(self.allocate_address())
        return link

    async def start_worker(
        self,
        name: str,
        service: str,
        zone: str = "zone-a",
        *,
        environment: dict[str, str] | None = None,
        **flags: object,
    ) -> Process:
        """Starts a worker; a known one starts again at its address, under its id."""
        known = self.workers.get(name)
        link = known.link if known and known.link else await self.add_link()
        arguments = ["--name", name, "--service", service, "--zone", zone]
        arguments += ["--store", f"http://{link.address}"]
        for key, value in flags.items():
            arguments += [f"--{key.replace('_', '-')}", str(value)]
        if known:
            arguments += ["--port", str(known.port)]
        process = await self._start_stand_in(
            name,
            "review.harness2.worker",
            arguments,
            known.address if known else "",
            environment,
        )
        process.link = link
        self.workers[name] = process
        return process

    async def start_entry(self, name: str, zone: str = "zone-a") -> Process:
        """Starts an entry as the deploy file starts it."""
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        (role,) = (role for role in roles.values() if "front" in role["serves"])
        known = self.entries.get(name)
        address = known.address if known else self.allocate_address()
        link = known.link if known and known.link else await self.add_link()
        ports = [find_free_port(address) for _ in range(3)]
        internal = known_port_range(address)
        settings = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": address,
            "zone": zone,
            "region": "pnw",
            "zones": {zone: "pnw"},
            "listen": {
                "front": f"{address}:{ports[0]}",
                "ready": f"{address}:{ports[1]}",
            },
            "internalPorts": internal,
            "seeds": [],
            "bootstrap": known is None,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.717,
                "cores": 3,
                "memoryMb": MEMORY_MB,
                "maxFds": 8200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": link.address,
                "form": "log",
                "writesPerS": 800,
                "readsPerS": 2000,
                "parts": 12,
                "appendMs": 2.0,
                "partMbPerS": 20.0,
                "readMbPerS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "retentionS": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
            "cloud": {
                "address": f"{self.store.address}:{self.store.port}",
                "ratePerS": 50.0,
                "duties": ["usage_report"],
                "dutyPerS": 50.0,
            },
        }
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self.start(
            name, role["run"].split(), {"BUCKTHORNSTILE_CONFIG": str(path)}
        )
        process.address, process.port, process.link = address, ports[0], link
        process.ready_port = ports[1]  # type: ignore[attr-defined]
        self.entries[name] = process
        return process

    async def wait_until_ready(self, *names: str) -> None:
        """Waits until entries answer the platform's readiness question with 200."""
        deadline = time.monotonic() + READY_TIMEOUT
        for name in names or tuple(self.entries):
            entry = self.entries[name]
            while True:
                with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError):
                    port = entry.ready_port  # type: ignore[attr-defined]
                    answer = await fetch(entry.address, port, "GET", "/-/ready")
                    if answer.status == 200:
                        break
                if time.monotonic() > deadline or entry.popen.poll() is not None:
                    raise CaseError(f"{name} is not ready")
                await asyncio.sleep(0.05)

    # The operator, and what the stand-ins recorded

    async def write_configuration(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        keys: dict[str, str] | None = None,
    ) -> None:
        """Writes the next version of the configuration.

        ``keys`` holds the key of each tenant, by default of a single one.
        """
        self._version += 3
        await self.write_operator_record(
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 33554432,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [
                    {"name": name, "apiKeys": [key]}
                    for name, key in (keys or {TENANT: KEY}).items()
                ],
            },
        )

    async def write_operator_record(self, key: str, value: object) -> None:
        """Writes a record of the operator or of a trainer to the store."""
        name = key.encode()
        record = bytes([len(name)]) + name + json.dumps(value).encode()
        answer = await fetch(
            self.store.address,
            self.store.port,
            "POST",
            f"/-/log-append?topic={quote('keyed.op')}&part=0",
            body=struct.pack(">I", len(record)) + record,
        )
        if answer.status != 200:
            raise CaseError(f"the store refused {key}: {answer.status}")
        self.record.add(f"operator: wrote {key}")

    async def read_journal(self, process: Process, what: str) -> list[dict[str, Any]]:
        """Returns the entries of a stand-in's journal of one kind."""
        answer = await fetch(
            process.address, process.port, "GET", "/control/journal", timeout=10.0
        )
        entries = json.loads(answer.body)["entries"]
        return [entry for entry in entries if entry["what"] == what]

    async def add_fault(self, process: Process, **fields: object) -> None:
        """Enables a fault of a stand-in."""
        await fetch(
            process.address,
            process.port,
            "POST",
            "/control/faults",
            body=json.dumps(fields).encode(),
        )


def known_port_range(address: str) -> list[int]:
    """Returns two adjacent free ports: the internal range of a machine."""
    while True:
        first = find_free_port(address)
        if first < 65000:
            return [first, first + 1]


def make_route(name: str, service: str, **fields: object) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": "safe",
        "timeoutMs": 10000,
        "targetLatencyMs": 400,
        "maxAttempts": 3,
        "priority": 1,
        **fields,
    }


def make_service(name: str, **fields: object) -> dict[str, Any]:
    """Returns a service of the configuration."""
    return {"name": name, "healthPath": "/healthz", "maxConnections": 160, **fields}


def encode_body(data: bytes) -> str:
    """Returns bytes as base64 text."""
    return base64.b64encode(data).decode()


def freeze(process: Process, record: Record) -> None:
    """Freezes a machine's process."""
    process.send(signal.SIGSTOP)
    record.add(f"{process.name}: frozen")


def thaw(process: Process, record: Record) -> None:
    """Wakes a frozen process."""
    process.send(signal.SIGCONT)
    record.add(f"{process.name}: thawed")


def run_case(case, path: str, *, trouble: bool) -> None:  # noqa: ANN001
    """Runs ``case(deployment, record, trouble)`` and exits with its verdict.

    Without ``trouble``, the case does the same without its disruption. It returns None
    if the rule held, or a sentence that tells how it was broken.
    """
    record = Record()
    verdict = 2

    async def run() -> str | None:
        task = asyncio.current_task()
        assert task is not None
        # Ends all processes of the case.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115), Deployment(record) as deployment:
            return await case(deployment, record, trouble)

    try:
        broken = asyncio.run(run())
        verdict = 1 if broken else 0
        record.add(f"verdict: {'broken: ' + broken if broken else 'held'}")
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"verdict: could not run: {type(error).__name__}: {error}")
    record.write(Path(path).with_name("record.txt"))
    print(sorted(record.lines)[-1])
    sys.exit(verdict)
