"""Compares calls through entry and agent with direct calls, side by side.

Run it with ``make bench-path``. It starts the stand-ins, one entry and agents,
sends bounded load over loopback, and prints one table and one JSON line.
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

from buckthornstile.records import Rule
from standins.deployment import Deployment
from standins.launch import BenchProcess

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_MICROSECONDS = 60_000_000
BODY = b'{"blade": 7}'
STREAMS = 64
STREAM_TOKENS = 400
OPEN_REQUESTS = 1000
SLOW_SECONDS = 6.0
TARGETS = {
    "added_p50_ms": 3.0,
    "cpu_ratio": 2.5,
    "tokens_per_second": 5000.0,
    "entry_memory_mb": 256.0,
    "agent_memory_mb": 256.0,
}


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What one closed loop of calls measured."""

    requests: int
    requests_per_second: float
    p50_ms: float
    p99_ms: float
    client_cpu_ms: float


def read_cpu_seconds(process_id: int) -> float:
    """Reads the processor time that a process has used."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory_bytes(process_id: int) -> int:
    """Reads a process's resident memory."""
    return int(Path(f"/proc/{process_id}/statm").read_text().split()[1]) * PAGE_BYTES


class KeptClient:
    """A bare HTTP/1.1 client on one kept connection, the same for both sides.

    Args:
        address: The server's IP number.
        port: Its port.
        headers: Lines to send with each request.
    """

    def __init__(self, address: str, port: int, headers: str) -> None:
        self.address = address
        self.port = port
        self.headers = headers
        self.stream: IOStream | None = None

    async def post(self, path: str, body: bytes) -> bytes:
        """Sends one request and reads its whole answer."""
        if self.stream is None:
            self.stream = await TCPClient().connect(self.address, self.port)
            self.stream.set_nodelay(True)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n{self.headers}"
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
    process: BenchProcess, path: str, headers: str, *, requests: int, clients: int
) -> LoadResult:
    """Sends requests from a fixed number of clients, one after the other each."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    left = requests

    async def loop() -> None:
        nonlocal left
        client = KeptClient(process.address, process.port, headers)
        while left > 0:
            left -= 1
            started = time.perf_counter()
            await client.post(path, BODY)
            histogram.record_value(int((time.perf_counter() - started) * 1e6))

    cpu = time.process_time()
    started = time.perf_counter()
    await asyncio.gather(*[loop() for _ in range(clients)])
    seconds = time.perf_counter() - started
    return LoadResult(
        requests,
        requests / seconds,
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
        (time.process_time() - cpu) * 1e3 / requests,
    )


async def measure_cpu(
    processes: dict[str, BenchProcess], work: Callable[[], Awaitable[LoadResult]]
) -> tuple[LoadResult, dict[str, float]]:
    """Runs a load, and gives each process's milliseconds a request."""
    before = {name: read_cpu_seconds(p.process.pid) for name, p in processes.items()}
    result = await work()
    spent = {
        name: (read_cpu_seconds(p.process.pid) - before[name]) * 1e3 / result.requests
        for name, p in processes.items()
    }
    return result, spent


async def measure_calls(
    deployment: Deployment, key: str, *, requests: int, clients: int
) -> dict[str, object]:
    """Compares direct calls with calls through entry and agent."""
    service = deployment.upstreams["s1"]
    entry = deployment.entries["e1"]
    agent = deployment.agents["s1"]
    headers = f"Authorization: Bearer {key}\r\n"
    await run_load(service, "/quotes", "", requests=500, clients=clients)
    await run_load(entry, "/quotes", headers, requests=500, clients=clients)
    direct, direct_cpu = await measure_cpu(
        {"service": service},
        lambda: run_load(service, "/quotes", "", requests=requests, clients=clients),
    )
    through, through_cpu = await measure_cpu(
        {"service": service, "entry": entry, "agent": agent},
        lambda: run_load(entry, "/quotes", headers, requests=requests, clients=clients),
    )
    bare = direct_cpu["service"] + direct.client_cpu_ms
    own = through_cpu["entry"] + through_cpu["agent"]
    return {
        "direct": asdict(direct),
        "through": asdict(through),
        "direct_cpu_ms": direct_cpu,
        "through_cpu_ms": through_cpu,
        "bare_exchange_cpu_ms": bare,
        "own_cpu_ms": own,
        "cpu_ratio": own / bare,
        "added_p50_ms": through.p50_ms - direct.p50_ms,
        "added_p99_ms": through.p99_ms - direct.p99_ms,
    }


async def measure_streams(deployment: Deployment, key: str) -> dict[str, object]:
    """Streams tokens with many streams open through one entry and one agent."""
    entry = deployment.entries["e1"]
    agent = deployment.agents["m1"]
    AsyncHTTPClient.configure(None, max_clients=STREAMS)
    client = AsyncHTTPClient(force_instance=True)
    tokens = 0

    async def stream(number: int) -> None:
        nonlocal tokens

        def count(data: bytes) -> None:
            nonlocal tokens
            tokens += data.count(b'"token"')

        body = {"prompt": f"p{number}", "max_tokens": STREAM_TOKENS, "stream": True}
        await client.fetch(
            entry.url + "/v1/completions",
            method="POST",
            headers={"Authorization": f"Bearer {key}"},
            body=json.dumps(body),
            streaming_callback=count,
            request_timeout=120,
        )

    processes = {"entry": entry, "agent": agent}
    before = {n: read_cpu_seconds(p.process.pid) for n, p in processes.items()}
    started = time.perf_counter()
    await asyncio.gather(*[stream(n) for n in range(STREAMS)])
    seconds = time.perf_counter() - started
    cpu = {
        f"{n}_cores": (read_cpu_seconds(p.process.pid) - before[n]) / seconds
        for n, p in processes.items()
    }
    return {"tokens": tokens, "tokens_per_second": tokens / seconds, **cpu}


async def measure_memory(deployment: Deployment, key: str) -> dict[str, object]:
    """Reads memory while many requests are open."""
    entry = deployment.entries["e1"]
    agent = deployment.agents["slow"]
    headers = f"Authorization: Bearer {key}\r\n"
    calls = asyncio.gather(
        *[
            KeptClient(entry.address, entry.port, headers).post("/slow", BODY)
            for _ in range(OPEN_REQUESTS)
        ]
    )
    await asyncio.sleep(SLOW_SECONDS / 2)
    status = deployment.read_status("e1")
    result = {
        "open_calls": status["open_calls"],
        "entry_memory_mb": read_memory_bytes(entry.process.pid) / 2**20,
        "agent_memory_mb": read_memory_bytes(agent.process.pid) / 2**20,
    }
    await calls
    return result


async def measure(
    deployment: Deployment, key: str, options: argparse.Namespace
) -> dict:
    """Runs all measurements."""
    calls = await measure_calls(
        deployment, key, requests=options.requests, clients=options.clients
    )
    single = await measure_calls(
        deployment, key, requests=options.requests // 4, clients=1
    )
    streams = await measure_streams(deployment, key)
    memory = await measure_memory(deployment, key)
    return {"calls": calls, "one_client": single, "streams": streams, "memory": memory}


def print_table(result: dict) -> None:
    """Prints the figures beside their targets."""
    figures = {
        "added_p50_ms": result["one_client"]["added_p50_ms"],
        "added_p99_ms": result["one_client"]["added_p99_ms"],
        "loaded_added_p50_ms": result["calls"]["added_p50_ms"],
        "loaded_added_p99_ms": result["calls"]["added_p99_ms"],
        "requests_per_second": result["calls"]["through"]["requests_per_second"],
        "direct_requests_per_second": result["calls"]["direct"]["requests_per_second"],
        "cpu_ratio": result["calls"]["cpu_ratio"],
        "entry_cpu_ms": result["calls"]["through_cpu_ms"]["entry"],
        "agent_cpu_ms": result["calls"]["through_cpu_ms"]["agent"],
        "bare_exchange_cpu_ms": result["calls"]["bare_exchange_cpu_ms"],
        **result["streams"],
        **result["memory"],
    }
    for name, value in figures.items():
        target = f"  target {TARGETS[name]}" if name in TARGETS else ""
        print(f"{name:28} {value:12.3f}{target}")
    print(json.dumps(figures))


def main() -> None:
    """Starts the processes, measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--clients", type=int, default=16)
    options = parser.parse_args()
    settings = {
        "agent": {
            "queue_length": 2 * OPEN_REQUESTS,
            "initial_limit": OPEN_REQUESTS,
            "maximum_limit": OPEN_REQUESTS,
        }
    }
    with Deployment(daemon_settings=settings) as deployment:
        deployment.add_service("s1", "bench-a", "quotes")
        deployment.add_service("slow", "bench-a", "slow", delay_seconds=SLOW_SECONDS)
        deployment.add_engine(
            "m1", "bench-a", "models", slots=STREAMS, token_seconds=0.01
        )
        deployment.add_entry("e1", "bench-a")
        key, items = deployment.make_account("mill", maximum_open=5000)
        deployment.change(
            *items,
            Rule(name="q", path="/quotes", service="quotes", idempotent=True),
            Rule(name="s", path="/slow", service="slow", idempotent=True),
            Rule(name="c", path="/v1/completions", service="models", idempotent=True),
        )
        deployment.wait_ready()
        result = asyncio.run(measure(deployment, key, options))
    print_table(result)


if __name__ == "__main__":
    main()
