"""Parts that all stand-ins share: journal, control routes and server startup."""

import argparse
import asyncio
import json
import signal
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from tornado import httpserver, netutil, web
from tornado.http1connection import HTTP1Connection

from standins.faults import FaultInjector

MAX_JOURNAL_ENTRIES = 200_000
MAX_BODY_BYTES = 64 << 20


class Journal:
    """Chronological record of what a stand-in received, for checks by tests.

    Attributes:
        entries: The latest entries, oldest first.
        counters: Counts and peak values by name.

    Example:
        >>> journal = Journal()
        >>> journal.add("append", offset=0)["what"]
        'append'
        >>> len(journal.entries)
        1
    """

    def __init__(self) -> None:
        self.entries: deque[dict[str, Any]] = deque(maxlen=MAX_JOURNAL_ENTRIES)
        self.counters: dict[str, Any] = {}

    def add(self, entry_type: str, **fields: Any) -> dict[str, Any]:
        """Appends an entry and returns it, so that the caller can add fields later."""
        entry = {"what": entry_type, "at": time.time(), **fields}
        self.entries.append(entry)
        return entry


class FaultHandler(web.RequestHandler):
    """``/control/faults``: enables and disables faults."""

    def initialize(self, faults: FaultInjector) -> None:
        """Stores the fault injector."""
        self.faults = faults

    def post(self) -> None:
        """Enables one fault or a list of faults."""
        body = json.loads(self.request.body)
        for fields in body if isinstance(body, list) else [body]:
            self.faults.add(fields)
        self.write({})

    def delete(self) -> None:
        """Disables all faults, or those of the query parameter ``kind``."""
        self.faults.clear(self.get_argument("kind", ""))
        self.write({})


class JournalHandler(web.RequestHandler):
    """``/control/journal``: returns the journal."""

    def initialize(self, journal: Journal) -> None:
        """Stores the journal."""
        self.journal = journal

    def get(self) -> None:
        """Writes all entries and counters."""
        self.write({"entries": list(self.journal.entries), **self.journal.counters})


def make_control_routes(
    faults: FaultInjector, journal: Journal
) -> list[tuple[str, type[web.RequestHandler], dict[str, Any]]]:
    """Returns the control routes that every stand-in has."""
    return [
        (r"/control/faults", FaultHandler, {"faults": faults}),
        (r"/control/journal", JournalHandler, {"journal": journal}),
    ]


def drop_connection(handler: web.RequestHandler) -> None:
    """Closes a request's connection without a response."""
    handler.detach().close()


def disable_nagle(handler: web.RequestHandler) -> None:
    """Disables Nagle's algorithm, which delays each event until an ACK arrives."""
    connection = handler.request.connection
    if isinstance(connection, HTTP1Connection):
        connection.stream.set_nodelay(True)


def make_argument_parser(name: str) -> argparse.ArgumentParser:
    """Creates an argument parser with the flags that every stand-in has."""
    parser = argparse.ArgumentParser(prog=f"standins.{name}")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    return parser


def listen(application: web.Application, address: str, port: int) -> int:
    """Starts an HTTP server and returns the port that it listens on."""
    sockets = netutil.bind_sockets(port, address)
    server = httpserver.HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def run_server(
    make_application: Callable[[], web.Application], address: str, port: int
) -> None:
    """Runs an HTTP server until SIGTERM or SIGINT.

    Prints the port as a line of JSON once the server is ready.
    """

    async def serve() -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        bound_port = listen(make_application(), address, port)
        print(json.dumps({"ready": True, "port": bound_port}), flush=True)
        await stop_requested.wait()

    asyncio.run(serve())
