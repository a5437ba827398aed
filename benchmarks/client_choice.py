"""Compares ways to call an upstream over HTTP on loopback.

Run with ``python -m benchmarks.client_choice``. It starts a bare tornado
server as a process of its own, and a server that reads the second request of a
connection and closes it without an answer, to count silent repeats.
"""

import argparse
import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable

import pycurl
from tornado import web
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from buckthornstile.base import BuckthornstileError, RequestId
from buckthornstile.ports import AnswerPart, UpstreamCall
from buckthornstile.upstreams import HttpService
from standins.launch import Bench
from standins.server import run, send_at_once

BODY = b"x" * 1024
STREAM_EVENTS = 20
CONCURRENCY = 16
WARM_UP_CALLS = 100
FETCH_ERRORS = (OSError, BuckthornstileError)

Call = Callable[[str], Awaitable[float]]
"""Calls a URL's path and gives the time of the first part, or of the whole."""


class EchoHandler(web.RequestHandler):
    """Answers with the body."""

    def post(self) -> None:
        """Writes the body back."""
        self.write(self.request.body)


class StreamHandler(web.RequestHandler):
    """Answers with events, each flushed on its own."""

    async def post(self) -> None:
        """Writes the events."""
        send_at_once(self)
        for index in range(STREAM_EVENTS):
            self.write(f"data: {index}\n\n")
            await self.flush()


def make_application() -> web.Application:
    """Makes the bare server."""
    routes = [("/echo", EchoHandler), ("/stream", StreamHandler)]
    return web.Application(routes, log_function=lambda handler: None)


def make_library_call(
    client: SimpleAsyncHTTPClient | CurlAsyncHTTPClient,
    base_url: str,
    *,
    fresh: bool = False,
) -> Call:
    """Makes calls through one of tornado's own clients."""

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)

    async def call(path: str) -> float:
        first: list[float] = []

        def receive(chunk: bytes) -> None:
            first.append(time.perf_counter())

        request = HTTPRequest(
            base_url + path,
            method="POST",
            body=BODY,
            streaming_callback=receive,
            prepare_curl_callback=prepare if fresh else None,
        )
        await client.fetch(request)
        return first[0]

    return call


def make_exchange_call(service: HttpService) -> Call:
    """Makes calls through the product's own adapter."""

    async def call(path: str) -> float:
        first = 0.0
        request = UpstreamCall(RequestId("e/1"), "POST", path, "text/plain", BODY)
        async for event in service.call(request):
            if isinstance(event, AnswerPart):
                first = first or time.perf_counter()
        return first

    return call


def make_calls(base_url: str) -> dict[str, Call]:
    """Makes all ways to call."""
    simple = SimpleAsyncHTTPClient(force_instance=True, max_clients=CONCURRENCY)
    curl = CurlAsyncHTTPClient(force_instance=True, max_clients=CONCURRENCY)
    return {
        "simple": make_library_call(simple, base_url),
        "curl kept": make_library_call(curl, base_url),
        "curl fresh": make_library_call(curl, base_url, fresh=True),
        "exchange": make_exchange_call(HttpService(base_url)),
    }


async def measure(call: Call, path: str, count: int) -> dict[str, float]:
    """Measures one way on one route."""
    whole: list[float] = []
    first: list[float] = []

    async def work(share: int) -> None:
        for _ in range(share):
            started = time.perf_counter()
            first_part = await call(path)
            first.append(first_part - started)
            whole.append(time.perf_counter() - started)

    await work(WARM_UP_CALLS)
    whole.clear()
    first.clear()
    started, cpu = time.perf_counter(), time.process_time()
    await asyncio.gather(*(work(count // CONCURRENCY) for _ in range(CONCURRENCY)))
    elapsed = time.perf_counter() - started
    used = time.process_time() - cpu
    return {
        "rate": len(whole) / elapsed,
        "p50_ms": sorted(whole)[len(whole) // 2] * 1e3,
        "first_p50_ms": sorted(first)[len(first) // 2] * 1e3,
        "cpu_us": used / len(whole) * 1e6,
    }


async def count_repeats(make: Callable[[str], Call]) -> int:
    """Counts how often an order arrives that a caller sent once.

    The server answers the first request of its first connection, then reads
    the second one and closes: the order may have run.
    """
    seen = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal seen
        answered = False
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(BODY))
            except asyncio.IncompleteReadError:
                break
            seen += 1
            if answered or seen > 1:
                break
            answered = True
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    call = make(f"http://127.0.0.1:{port}")
    await call("/first")
    before = seen
    try:
        await call("/order")
    except FETCH_ERRORS:
        pass
    except Exception as error:  # Each client has its own error for a lost answer.
        print(f"  (raised {type(error).__name__})", file=sys.stderr)
    server.close()
    return seen - before


async def compare(base_url: str, count: int, rounds: int) -> None:
    """Prints a line for each way and route."""
    calls = make_calls(base_url)
    print(
        f"{'way':15} {'route':8} {'req/s':>7} {'p50 ms':>7} {'first':>7} {'CPU us':>7}"
    )
    for path in ("/echo", "/stream"):
        best: dict[str, dict[str, float]] = {}
        for _ in range(rounds):
            for name, call in calls.items():
                result = await measure(call, path, count)
                if name not in best or result["cpu_us"] < best[name]["cpu_us"]:
                    best[name] = result
        for name, result in best.items():
            print(
                f"{name:15} {path:8} {result['rate']:7.0f} {result['p50_ms']:7.2f} "
                f"{result['first_p50_ms']:7.2f} {result['cpu_us']:7.0f}"
            )
    for name in calls:

        def make(url: str, name: str = name) -> Call:
            return make_calls(url)[name]

        arrivals = await count_repeats(make)
        print(f"{name:15} order sent once arrived {arrivals} times")


def main() -> None:
    """Serves, or starts a server and compares."""
    parser = argparse.ArgumentParser()
    parser.add_argument("mode", nargs="?", default="compare")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=3)
    flags = parser.parse_args()
    if flags.mode == "serve":
        run(make_application, flags.address, 0)
        return
    with Bench() as bench:
        server = bench.start("benchmarks.client_choice", "serve")
        asyncio.run(compare(server.url, flags.count, flags.rounds))
    print(json.dumps({"count": flags.count, "rounds": flags.rounds}))


if __name__ == "__main__":
    main()
