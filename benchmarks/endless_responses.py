"""Measures an HTTP client's memory and latency beside responses without end.

One upstream sends bodies without end on many connections, while another one responds
normally. Prints one line of JSON.
"""

import asyncio
import json
import multiprocessing
import resource
import sys
import time
from multiprocessing.connection import Connection

from buckthornstile.base import BuckthornstileError
from buckthornstile.http_client import ConnectionPool, HTTPRequest, ResponseLimit

CONNECTIONS = 600
DURATION = 5.0  # seconds
CHUNK = b"x" * (64 << 10)
HEAD = b"HTTP/1.1 200 OK\r\n"
MAX_RESPONSE_BYTES = 8 << 20
MAX_TOTAL_BYTES = 25 << 20  # an eighth of the memory of a VM with 200 MB
REQUEST = HTTPRequest("POST", "/", [("Host", "h")], b"hi")


async def _serve_endlessly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"\r\n")
        while True:
            writer.write(CHUNK)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


async def _serve_normally(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(2)
            writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")
    except (ConnectionError, asyncio.IncompleteReadError):
        writer.close()


def _run_upstreams(ports: Connection) -> None:
    async def run() -> None:
        servers = [
            await asyncio.start_server(serve, "127.0.0.1", 0, backlog=CONNECTIONS)
            for serve in (_serve_endlessly, _serve_normally)
        ]
        ports.send([server.sockets[0].getsockname()[1] for server in servers])
        await asyncio.sleep(4 * DURATION)

    asyncio.run(run())


async def _measure(ports: list[int]) -> dict[str, float]:
    endless, normal = (f"127.0.0.1:{port}" for port in ports)
    limit = ResponseLimit(
        max_response_bytes=MAX_RESPONSE_BYTES, max_total_bytes=MAX_TOTAL_BYTES
    )
    pool = ConnectionPool(limit=limit)
    ends_at = time.monotonic() + DURATION
    failure_count = 0

    async def repeat_endless() -> None:
        nonlocal failure_count
        while time.monotonic() < ends_at:
            try:
                await pool.send(endless, REQUEST, connect_timeout=DURATION)
            except BuckthornstileError:
                failure_count += 1

    memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    tasks = [asyncio.create_task(repeat_endless()) for _ in range(CONNECTIONS)]
    latencies = []
    while time.monotonic() < ends_at:
        started_at = time.monotonic()
        await pool.send(normal, REQUEST, connect_timeout=DURATION)
        latencies.append(time.monotonic() - started_at)
        await asyncio.sleep(0.01)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    latencies.sort()
    return {
        "connections": CONNECTIONS,
        "aborted_responses": failure_count,
        "memory_before_mb": memory_before / 1024,
        "peak_memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "normal_responses": len(latencies),
        "normal_p50_ms": 1000 * latencies[len(latencies) // 2],
        "normal_max_ms": 1000 * latencies[-1],
    }


def main() -> None:
    """Runs the benchmark and prints its result."""
    receiver, sender = multiprocessing.Pipe(duplex=False)
    upstreams = multiprocessing.get_context("spawn").Process(
        target=_run_upstreams, args=(sender,)
    )
    upstreams.start()
    try:
        json.dump(asyncio.run(_measure(receiver.recv())), sys.stdout)
        print()
    finally:
        upstreams.terminate()
        upstreams.join()


if __name__ == "__main__":
    main()
