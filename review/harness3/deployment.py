"""A small deployment on loopback addresses: store, workers, entries, operator.

The entries are started with the command of the deploy file and a settings file like
that of the platform. The store and the workers are the project's stand-ins.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NETWORK = 10 + os.getpid() % 200
HEARTBEAT = 1.2  # seconds between two records of a worker
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4.3, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000,
    "failClosed": True, "revokeMs": 5000, "requireFencing": False, "leaseMs": 3000,
    "thawSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
    "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
    "passMs": 120, "retryAfterS": 0, "finishS": 10, "statusS": 120, "cancelMs": 3000,
    "settleMs": 1000, "quotaOverage": 0.1,
}  # fmt: skip


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def add(self, *words):
        """Writes one line with the seconds since the start."""
        seconds = time.monotonic() - self.started
        self.file.write(f"{seconds:9.3f} " + " ".join(map(str, words)) + "\n")

    def say(self, *words):
        """Writes one line to the record and to the output."""
        self.add(*words)
        print(*words, flush=True)


class Site:
    """Starts processes, and ends all of them with ``close``."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.hosts = 1

    def take_address(self):
        """Returns an unused loopback address and a free port there."""
        self.hosts += 1
        host = f"127.{NETWORK}.{self.hosts // 250}.{self.hosts % 250 + 1}"
        return host, find_port(host)

    def start(self, name, *words, variables=None):
        """Starts a process at the repository's root; its output goes to a file."""
        path = os.pathsep.join([str(ROOT / "target/deps"), str(ROOT)])
        environment = {
            "PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1", **(variables or {}),
        }  # fmt: skip
        log = (self.folder / f"{name}.log").open("a")
        process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
        )  # fmt: skip
        self.processes.append(process)
        self.record.add("start", name, process.pid)
        return process

    async def start_store(self):
        """Starts the store's stand-in."""
        self.store = self.take_address()
        host, port = self.store
        self.start(
            "store", sys.executable, str(ROOT / "review/harness3/store.py"),
            "--address", host, "--port", str(port), "--retention", "300",
        )  # fmt: skip
        await wait_for_port(self.store)

    async def start_worker(
        self, name, address, service, zone, *flags, store=None, program=None
    ):
        """Starts a worker's stand-in and waits until it listens.

        Args:
            name: Id of the worker.
            address: Host and port to listen on.
            service: Service of the worker.
            zone: Zone of the worker.
            flags: Further flags of the stand-in.
            store: Host and port of the store as the worker sees it.
            program: Program to start instead of the project's stand-in.
        """
        words = [program] if program else ["-m", "standins.worker"]
        process = self.start(
            name, sys.executable, *words, "--address", address[0], "--port",
            str(address[1]), "--name", name, "--service", service, "--zone", zone,
            "--store", f"http://{format_address(store or self.store)}",
            "--heartbeat", str(HEARTBEAT), *flags,
        )  # fmt: skip
        await wait_for_port(address)
        return process

    async def append(self, topic, key, value):
        """Appends a keyed record as the operator; returns once it is acknowledged."""
        data = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + data
        body = struct.pack(">I", len(record)) + record
        status, _, _ = await request(
            self.store, "POST", f"/-/log-append?topic={topic}&part=0", {}, body
        )
        assert status == 200, status
        self.record.add("operator", topic, key, "acknowledged")

    def write_settings(self, name, zone, memory_mb=310):
        """Writes the settings file of an entry, and returns its addresses."""
        host, port = self.take_address()
        ready, metrics = find_port(host, port), find_port(host, port)
        settings = {
            "node": name, "role": "entry", "machineClass": "front",
            "serves": ["front"], "ip": host, "zone": zone, "region": "r",
            "zones": {"a": "r", "b": "r"},
            "listen": {"front": f"{host}:{port}", "ready": f"{host}:{ready}"},
            "internalPorts": [metrics, metrics + 15], "seeds": [], "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.717, "cores": 3, "memoryMb": memory_mb,
                "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "vip",
            "heartbeatMs": int(HEARTBEAT * 1000), "bounds": BOUNDS,
            "platform": {
                "address": format_address(self.store), "form": "log", "writesPerS": 800,
                "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partMbPerS": 20.0,
                "readMbPerS": 80.0, "recordBytes": 262144, "callBytes": 2097152,
                "retentionS": 300, "partMb": 200, "ttlMinMs": 1000,
            },
            "cloud": {
                "address": format_address(self.store), "ratePerS": 50.0,
                "duties": ["usage_report"], "dutyPerS": 50.0,
            },
        }  # fmt: skip
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path, (host, port), (host, ready)

    async def start_entry(self, name, zone, memory_mb=310):
        """Starts an entry with the command of the deploy file."""
        path, front, ready = self.write_settings(name, zone, memory_mb)
        entry = Entry(self, name, path, front, ready)
        entry.run()
        await entry.wait_until_ready()
        return entry

    def close(self):
        """Ends all processes that were started, and removes their files."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Entry:
    """An entry process and its addresses."""

    def __init__(self, site, name, path, front, ready):
        self.site, self.name, self.path = site, name, path
        self.front, self.ready = front, ready

    def run(self):
        """Starts the process, also again."""
        self.process = self.site.start(
            self.name, "python3", "-m", "buckthornstile.entry",
            variables={"BUCKTHORNSTILE_CONFIG": str(self.path)},
        )  # fmt: skip

    async def is_ready(self, timeout=1.0):
        """Whether the entry answers the platform's probe with 200."""
        try:
            status, _, _ = await request(
                self.ready, "GET", "/-/ready", {}, timeout=timeout
            )
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    async def wait_until_ready(self, seconds=25.0):
        """Waits until the entry is ready."""
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)

    def read_memory_mb(self):
        """Returns the peak of the resident memory of the process, or 0 if it ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0


class CannotRun(Exception):
    """The case could not be played."""


def format_address(address):
    """Returns host and port as one text."""
    return f"{address[0]}:{address[1]}"


def find_port(host, *taken):
    """Returns a free port of an address."""
    while True:
        with socket.socket() as listener:
            listener.bind((host, 0))
            port = listener.getsockname()[1]
        if port not in taken and port < 60000:
            return port


async def wait_for_port(address, seconds=10.0):
    """Waits until something listens at an address."""
    until = time.monotonic() + seconds
    while True:
        try:
            _, writer = await asyncio.open_connection(*address)
        except OSError:
            if time.monotonic() > until:
                raise CannotRun(f"nothing listens at {address}") from None
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return


async def request(address, method, target, headers, body=b"", timeout=10.0):
    """Sends one request on a new connection; returns status, headers and body."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(*address, limit=1 << 26)
        try:
            return await exchange(reader, writer, method, target, headers, body)
        finally:
            writer.close()


async def exchange(reader, writer, method, target, headers, body=b""):
    """Sends a request on an open connection; returns status, headers and body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in {"Host": "x", **headers}.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    status = int(first.split()[1])
    if fields.get("transfer-encoding") == "chunked":
        parts = []
        while size := int(await reader.readline(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return status, fields, b"".join(parts)
    data = await reader.readexactly(int(fields.get("content-length", "0")))
    return status, fields, data


def run_case(play, folder, *, trouble):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(folder)
    site = Site(record)
    # Otherwise the processes would outlive a case that is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = asyncio.run(_limit(play(site, record, trouble)))
    except (CannotRun, OSError, TimeoutError, EOFError, AssertionError) as error:
        record.say("the case could not run:", repr(error))
    finally:
        site.close()
        record.add("all processes ended")
        record.file.close()
    sys.exit(code)


async def _limit(coroutine):
    async with asyncio.timeout(115):
        return await coroutine
