"""Compares calls through an entry with direct calls, side by side.

Run it with ``make bench-path``. It starts the stand-ins and one entry, sends bounded
load over loopback through both doors, and prints one table and one JSON line. The
processor time is set against that of one bare tornado exchange: a server that echoes,
asked by a client in the same process.
"""

import argparse
import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient
from tornado.web import Application, RequestHandler

from buckthornstile.configuration import Rule
from standins.deployment import Deployment, pack_keyed
from standins.process import ManagedProcess
from standins.server import listen

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_MICROSECONDS = 60_000_000
BODY = b'{"blade": 7}'
HOST = "mill.example"
KEY = "key-of-the-bench"
STREAMS = 32
STREAM_EVENTS = 200
OPEN_REQUESTS = 1000
SLOW_SECONDS = 4.0
TARGETS = {
    "added_p50_ms": 3.0,
    "cpu_ratio": 2.0,
    "events_per_second": 5000.0,
    "entry_memory_mb": 256.0,
}


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What one closed loop of calls measured."""

    requests: int
    requests_per_second: float
    p50_ms: float
    p99_ms: float


def read_cpu_seconds(process_id: int) -> float:
    """Reads the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory_bytes(process_id: int) -> int:
    """Reads a process's resident memory."""
    return int(Path(f"/proc/{process_id}/statm").read_text().split()[1]) * PAGE_BYTES


class KeptClient:
    """A bare HTTP/1.1 client on one kept connection, the same for all sides.

    Args:
        address: The server, as ``IP:port``.
        headers: Lines to send with each request.
    """

    def __init__(self, address: str, headers: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.headers = headers
        self.stream: IOStream | None = None
        self.count = 0

    async def post(self, path: str, body: bytes) -> bytes:
        """Sends one request and reads its whole answer."""
        if self.stream is None:
            self.stream = await TCPClient().connect(self.host, self.port)
            self.stream.set_nodelay(True)
        self.count += 1
        head = (
            f"POST {path} HTTP/1.1\r\n{self.headers}"
            f"Request-Id: {id(self):x}-{self.count}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await self.stream.write(head.encode() + body)
        answer = await self.stream.read_until(b"\r\n\r\n")
        status = answer.split(b" ", 2)[1]
        assert status == b"200", answer
        for line in answer.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return await self.stream.read_bytes(int(value))
        raise AssertionError("the answer has no length")


async def run_load(
    address: str, path: str, headers: str, *, requests: int, clients: int
) -> LoadResult:
    """Sends requests from a fixed number of clients, one after the other each."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    left = requests

    async def loop() -> None:
        nonlocal left
        client = KeptClient(address, headers)
        while left > 0:
            left -= 1
            started = time.perf_counter()
            await client.post(path, BODY)
            histogram.record_value(int((time.perf_counter() - started) * 1e6))

    started = time.perf_counter()
    await asyncio.gather(*[loop() for _ in range(clients)])
    seconds = time.perf_counter() - started
    return LoadResult(
        requests,
        requests / seconds,
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
    )


async def measure_cpu(
    process: ManagedProcess, work: Callable[[], Awaitable[LoadResult]]
) -> tuple[LoadResult, float]:
    """Runs a load, and gives the process's milliseconds a request."""
    before = read_cpu_seconds(process.process.pid)
    result = await work()
    spent = read_cpu_seconds(process.process.pid) - before
    return result, spent * 1e3 / result.requests


class EchoHandler(RequestHandler):
    """Answers with the body."""

    def post(self) -> None:
        """Echoes."""
        self.write(self.request.body)


async def measure_bare_exchange(requests: int) -> float:
    """Measures the processor time of one exchange of tornado with itself, in ms."""
    application = Application([(r"/.*", EchoHandler)], log_function=lambda _: None)
    port = listen(application, "127.0.0.1", 0)
    client = AsyncHTTPClient()
    url = f"http://127.0.0.1:{port}/echo"
    for _ in range(100):
        await client.fetch(url, method="POST", body=BODY)
    before = time.process_time()
    for _ in range(requests):
        await client.fetch(url, method="POST", body=BODY)
    return (time.process_time() - before) * 1e3 / requests


async def measure_streams(url: str, key: str) -> float:
    """Measures the events a second that an entry relays on many streams."""
    received = 0

    def take(chunk: bytes) -> None:
        nonlocal received
        received += chunk.count(b"data:")

    async def stream(number: int) -> None:
        body = {
            "prompt": f"stream {number}",
            "max_tokens": STREAM_EVENTS,
            "stream": True,
        }
        await AsyncHTTPClient().fetch(
            f"{url}/v1/completions",
            method="POST",
            body=json.dumps(body),
            headers={"Authorization": f"Bearer {key}"},
            request_timeout=60,
            streaming_callback=take,
        )

    AsyncHTTPClient.configure(None, max_clients=STREAMS)
    started = time.perf_counter()
    await asyncio.gather(*[stream(number) for number in range(STREAMS)])
    return received / (time.perf_counter() - started)


async def measure_memory(entry: ManagedProcess, key: str) -> float:
    """Measures an entry's memory with many requests open, in MB."""
    head = (
        f"POST /slow HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: 2\r\n\r\n{{}}"
    )
    streams = [
        await TCPClient().connect(entry.address, entry.port)
        for _ in range(OPEN_REQUESTS)
    ]
    for stream in streams:
        await stream.write(head.encode())
    await asyncio.sleep(SLOW_SECONDS / 2)
    memory = read_memory_bytes(entry.process.pid) / (1 << 20)
    for stream in streams:
        stream.close()
    return memory


def put_platform_route(deployment: Deployment) -> None:
    """Configures a route of the users' platform, as its operators do."""
    configuration = {
        "version": 3,
        "routes": [
            {
                "name": "lookup",
                "hostname": HOST,
                "pathPrefix": "/lookup/",
                "kind": "safe",
                "service": "desk",
                "maxAttempts": 2,
                "timeoutMs": 5000,
                "targetLatencyMs": 1000,
            }
        ],
        "services": [{"name": "desk"}],
        "tenants": [{"name": "mill", "apiKeys": [KEY]}],
    }
    record = pack_keyed("config", json.dumps(configuration).encode())
    deployment.append("keyed.op", [record])


async def measure(
    deployment: Deployment, key: str, client_address: str, requests: int, clients: int
) -> dict[str, float]:
    """Measures all; times in ms, memory in MB."""
    entry = deployment.entries["e1"]
    desk = deployment.workers["desk"]
    direct_address = f"{desk.address}:{desk.port}"
    api_address = f"{entry.address}:{entry.port}"
    own_headers = f"Host: x\r\nAuthorization: Bearer {key}\r\n"
    client_headers = f"Host: {HOST}\r\nCredential: {KEY}\r\nDeadline-Ms: 5000\r\n"
    sides = {
        "direct": (direct_address, "/lookup/1", "Host: x\r\n"),
        "platform door": (client_address, "/lookup/1", client_headers),
        "own door": (api_address, "/lookup/1", own_headers),
    }
    bare = await measure_bare_exchange(requests)
    rows: dict[str, tuple[LoadResult, float]] = {}
    for name, (address, path, headers) in sides.items():

        async def work(
            address: str = address, path: str = path, headers: str = headers
        ) -> LoadResult:
            return await run_load(
                address, path, headers, requests=requests, clients=clients
            )

        await work()
        rows[name] = await measure_cpu(entry, work)
    for name, (result, cpu) in rows.items():
        figures = "  ".join(f"{k} {v:.3f}" for k, v in asdict(result).items())
        print(f"{name:14} entry cpu {cpu:.3f} ms  {figures}")
    direct, platform = rows["direct"][0], rows["platform door"]
    own = rows["own door"]
    return {
        "bare_exchange_ms": bare,
        "added_p50_ms": platform[0].p50_ms - direct.p50_ms,
        "added_p50_own_ms": own[0].p50_ms - direct.p50_ms,
        "cpu_ratio": platform[1] / bare,
        "cpu_ratio_own": own[1] / bare,
        "events_per_second": await measure_streams(entry.url, key),
        "entry_memory_mb": await measure_memory(entry, key),
    }


def main() -> None:
    """Starts the deployment, measures and prints the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--clients", type=int, default=1)
    arguments = parser.parse_args()
    with Deployment() as deployment:
        client_address = f"{deployment.allocate_address()}:7410"
        deployment.add_worker("desk", "bench-a", "desk", work_seconds=0.0005)
        deployment.add_worker("slow", "bench-a", "slow", work_seconds=SLOW_SECONDS)
        deployment.add_engine(
            "model", "bench-a", "models", slots=STREAMS, event_seconds=0.001
        )
        put_platform_route(deployment)
        deployment.add_entry("e1", "bench-a", client_address=client_address)
        key, items = deployment.create_account("mill", maximum_open=2 * OPEN_REQUESTS)
        deployment.change(
            *items,
            Rule(name="lookup", path="/lookup", service="desk", idempotent=True),
            Rule(name="slow", path="/slow", service="slow", idempotent=True),
            Rule(name="c", path="/v1/completions", service="models", idempotent=True),
        )
        deployment.wait_until_ready()
        figures = asyncio.run(
            measure(
                deployment, key, client_address, arguments.requests, arguments.clients
            )
        )
    missed = [
        name
        for name, target in TARGETS.items()
        if (figures[name] < target) is (name == "events_per_second")
    ]
    rounded = {name: round(value, 3) for name, value in figures.items()}
    print(json.dumps({"clients": arguments.clients, **rounded, "missed": missed}))


if __name__ == "__main__":
    main()
