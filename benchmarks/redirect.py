"""Measures the extra hop through an entry against a direct path to the agent.

A client that speaks the wire's messages stands for a redirected client. Run it with
``python -m benchmarks.redirect``.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram
from tornado.httpclient import AsyncHTTPClient

from benchmarks.path import BODY, MAX_MICROSECONDS, KeptClient
from benchmarks.peers import read_cpu_seconds, read_memory_bytes
from buckthornstile.base import Incarnation, RequestClass, RequestId, Role
from buckthornstile.records import Rule
from buckthornstile.wire import (
    Answer,
    Chunk,
    ConfirmUsage,
    Connection,
    Dispatch,
    End,
    Heartbeat,
    Identity,
    dial_peer,
)
from standins.deployment import Deployment
from standins.launch import BenchProcess

REQUESTS = 600
LOADED_CLIENTS = 16
STREAMS = 32
STREAM_TOKENS = 200
OPEN_REQUESTS = 1000
REPEATS = 2
SETTLE_SECONDS = 1.5

Samples = dict[str, list[float]]


class WireClient:
    """A redirected client: it sends requests straight to one agent.

    Args:
        connection: The proven connection.
        service: The agent's service.
        path: The path of its calls.
        stream: Whether answers are streamed.
    """

    def __init__(
        self, connection: Connection, service: str, path: str, *, stream: bool = False
    ) -> None:
        self.connection = connection
        self.service = service
        self.path = path
        self.stream = stream
        self.answered_bytes = 0
        self._count = 0
        self._waiting: dict[str, asyncio.Future[None]] = {}
        self._task = asyncio.create_task(self._read())

    @property
    def incarnation(self) -> Incarnation:
        """The life that its request ids begin with, new for each client."""
        return Incarnation(f"bench-{id(self):012x}")

    async def call(self, body: bytes) -> None:
        """Sends one request and waits for its end."""
        request_id = RequestId(f"{self.incarnation}/{self._count}")
        self._count += 1
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = done
        self.connection.send(
            Dispatch(
                request_id,
                "mill",  # type: ignore[arg-type]
                "mill-key",  # type: ignore[arg-type]
                0,  # type: ignore[arg-type]
                RequestClass.WAITED,
                self.service,  # type: ignore[arg-type]
                "POST",
                self.path,
                idempotent=True,
                body=body,
                stream=self.stream,
            )
        )
        await done

    async def _read(self) -> None:
        while True:
            message = await self.connection.receive()
            if isinstance(message, Chunk):
                self.answered_bytes += len(message.data)
            if isinstance(message, End):
                self._check(message)
            if isinstance(message, Answer | End):
                self._waiting.pop(message.request_id).set_result(None)

    def _check(self, end: End) -> None:
        if end.code is not None:
            error = RuntimeError(f"the agent answered {end}")
            for future in self._waiting.values():
                future.set_exception(error)
            raise error

    def close(self) -> None:
        """Lets the agent forget this client's usage, and ends the connection."""
        self.connection.send(ConfirmUsage(self.incarnation, self._count - 1))
        self._task.cancel()


async def connect(agent: BenchProcess, secret: str) -> Connection:
    """Connects as an entry does, and says that the log is not behind."""
    identity = Identity(
        "bench",  # type: ignore[arg-type]
        Role.ENTRY,
        Incarnation("bench-0123456789ab"),
        "bench-a",  # type: ignore[arg-type]
    )
    connection = await dial_peer(agent.address, agent.port, identity, secret)
    connection.send(Heartbeat(1, 0.0, 0))  # type: ignore[arg-type]
    return connection


@dataclass(frozen=True, slots=True)
class Load:
    """What a closed loop of calls measured, each processor time for one call."""

    p50_ms: float
    p99_ms: float
    client_us: float
    processes_us: dict[str, float]


async def run_load(
    calls: list[Callable[[], Awaitable[object]]],
    processes: dict[str, BenchProcess],
    requests: int,
) -> Load:
    """Sends requests from some clients, one after the other each."""
    histogram = HdrHistogram(1, MAX_MICROSECONDS, 3)
    left = requests
    before = {n: read_cpu_seconds(p.process.pid) for n, p in processes.items()}
    own = time.process_time()

    async def loop(call: Callable[[], Awaitable[object]]) -> None:
        nonlocal left
        while left > 0:
            left -= 1
            started = time.perf_counter()
            await call()
            histogram.record_value(int((time.perf_counter() - started) * 1e6))

    await asyncio.gather(*[loop(call) for call in calls])
    per_call = 1e6 / requests
    spent = {
        n: (read_cpu_seconds(p.process.pid) - before[n]) * per_call
        for n, p in processes.items()
    }
    return Load(
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
        (time.process_time() - own) * per_call,
        spent,
    )


async def measure_calls(deployment: Deployment, key: str) -> dict[str, float]:
    """Measures the same small call through the entry and straight to the agent."""
    entry, agent = deployment.entries["e1"], deployment.agents["s1"]
    headers = f"Authorization: Bearer {key}\r\n"
    connection = await connect(agent, deployment.secret)
    wire = WireClient(connection, "quotes", "/quotes")
    both = {"entry": entry, "agent": agent}
    figures: dict[str, float] = {}
    for clients, name in ((1, "one"), (LOADED_CLIENTS, "loaded")):
        kept = [KeptClient(entry.address, entry.port, headers) for _ in range(clients)]
        through_calls = [lambda c=c: c.post("/quotes", BODY) for c in kept]
        direct_calls = [lambda: wire.call(BODY)] * clients
        await run_load(through_calls, both, REQUESTS // 10)
        await run_load(direct_calls, both, REQUESTS // 10)
        through = await run_load(through_calls, both, REQUESTS)
        direct = await run_load(direct_calls, both, REQUESTS)
        figures |= {
            f"{name}_through_p50_ms": through.p50_ms,
            f"{name}_through_p99_ms": through.p99_ms,
            f"{name}_direct_p50_ms": direct.p50_ms,
            f"{name}_direct_p99_ms": direct.p99_ms,
            f"{name}_through_entry_us_per_request": through.processes_us["entry"],
            f"{name}_through_agent_us_per_request": through.processes_us["agent"],
            f"{name}_direct_agent_us_per_request": direct.processes_us["agent"],
            f"{name}_http_client_us_per_request": through.client_us,
            f"{name}_wire_client_us_per_request": direct.client_us,
        }
    sent = connection.bytes_sent + connection.bytes_received
    figures["wire_bytes_per_request"] = sent / wire._count
    wire.close()
    return figures


def make_prompt(number: int) -> dict[str, object]:
    """Makes the body of a streamed completion."""
    return {"prompt": f"p{number}", "max_tokens": STREAM_TOKENS, "stream": True}


async def measure_streams(deployment: Deployment, key: str) -> dict[str, float]:
    """Measures streams of tokens through the entry and straight to the agent."""
    entry, agent = deployment.entries["e1"], deployment.agents["m1"]
    AsyncHTTPClient.configure(None, max_clients=STREAMS)
    http = AsyncHTTPClient(force_instance=True)
    received = 0

    def count(data: bytes) -> None:
        nonlocal received
        received += len(data)

    def make_call(number: int) -> Callable[[], Awaitable[object]]:
        return lambda: http.fetch(
            entry.url + "/v1/completions",
            method="POST",
            headers={"Authorization": f"Bearer {key}"},
            body=json.dumps(make_prompt(number)),
            streaming_callback=count,
            request_timeout=120,
        )

    both = {"entry": entry, "agent": agent}
    connection = await connect(agent, deployment.secret)
    wire = WireClient(connection, "models", "/v1/completions", stream=True)
    numbers = range(STREAMS)
    through = await run_load([make_call(n) for n in numbers], both, STREAMS)
    direct = await run_load(
        [lambda n=n: wire.call(json.dumps(make_prompt(n)).encode()) for n in numbers],
        both,
        STREAMS,
    )
    wire.close()
    tokens = STREAM_TOKENS
    return {
        "through_entry_us_per_token": through.processes_us["entry"] / tokens,
        "through_agent_us_per_token": through.processes_us["agent"] / tokens,
        "direct_agent_us_per_token": direct.processes_us["agent"] / tokens,
        "http_client_us_per_token": through.client_us / tokens,
        "wire_client_us_per_token": direct.client_us / tokens,
        "stream_answer_bytes_per_token": received / STREAMS / tokens,
        "stream_wire_bytes_per_token": connection.bytes_received / STREAMS / tokens,
        "stream_through_p50_s": through.p50_ms / 1e3,
        "stream_direct_p50_s": direct.p50_ms / 1e3,
    }


async def measure_open(deployment: Deployment, key: str) -> dict[str, float]:
    """Measures what each open request adds to an entry's and an agent's memory."""
    entry, agent = deployment.entries["e1"], deployment.agents["slow"]
    headers = f"Authorization: Bearer {key}\r\n"
    processes = {"entry": entry, "agent": agent}
    before = {n: read_memory_bytes(p.process.pid) for n, p in processes.items()}
    calls = asyncio.gather(
        *[
            KeptClient(entry.address, entry.port, headers).post("/slow", BODY)
            for _ in range(OPEN_REQUESTS)
        ]
    )
    await asyncio.sleep(SETTLE_SECONDS)
    status = deployment.read_status("e1")
    assert status["open_calls"] > OPEN_REQUESTS // 2, status["open_calls"]
    figures = {
        f"{n}_kb_per_open_request": (read_memory_bytes(p.process.pid) - before[n])
        / 1024
        / status["open_calls"]
        for n, p in processes.items()
    }
    await calls
    return figures


async def measure(deployment: Deployment, key: str, repeats: int) -> Samples:
    """Measures everything; memory once, since freed memory is used again."""
    samples: Samples = {}
    open_figures = await measure_open(deployment, key)
    for _ in range(repeats):
        figures = {
            **await measure_calls(deployment, key),
            **await measure_streams(deployment, key),
        }
        for name, value in figures.items():
            samples.setdefault(name, []).append(value)
    return samples | {name: [value] for name, value in open_figures.items()}


def measure_redirect(repeats: int = REPEATS) -> Samples:
    """Starts a small deployment and measures both paths in it.

    Args:
        repeats: How many times.
    """
    settings = {"agent": {"queue_length": 2 * OPEN_REQUESTS, "initial_limit": STREAMS}}
    with Deployment(daemon_settings=settings) as deployment:
        deployment.add_service("s1", "bench-a", "quotes")
        deployment.add_service("slow", "bench-a", "slow", delay_seconds=0.1)
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
        return asyncio.run(measure(deployment, key, repeats))


def main() -> None:
    """Prints the figures of one run as JSON."""
    print(json.dumps(measure_redirect(), indent=1))


if __name__ == "__main__":
    main()
