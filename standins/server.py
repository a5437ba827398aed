"""What all stand-ins share: journal, fault routes and start of the server."""

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
    """All that a stand-in saw, in order, for a checker.

    Example:
        >>> journal = Journal()
        >>> journal.add("append", offset=0)["what"]
        'append'
        >>> len(journal.entries)
        1
    """

    def __init__(self) -> None:
        self.entries: deque[dict[str, Any]] = deque(maxlen=MAX_JOURNAL_ENTRIES)
        self.figures: dict[str, Any] = {}

    def add(self, what: str, **fields: Any) -> dict[str, Any]:
        """Adds an entry; the caller may fill in more of it later."""
        entry = {"what": what, "at": time.time(), **fields}
        self.entries.append(entry)
        return entry


class FaultHandler(web.RequestHandler):
    """Switches faults on and off."""

    def initialize(self, faults: FaultInjector) -> None:
        """Stores the fault table."""
        self.faults = faults

    def post(self) -> None:
        """Adds one fault or a list of faults."""
        body = json.loads(self.request.body)
        for fields in body if isinstance(body, list) else [body]:
            self.faults.add(fields)
        self.write({})

    def delete(self) -> None:
        """Clears faults, all or of ``kind``."""
        self.faults.clear(self.get_argument("kind", ""))
        self.write({})


class JournalHandler(web.RequestHandler):
    """Hands out the journal."""

    def initialize(self, journal: Journal) -> None:
        """Stores the journal."""
        self.journal = journal

    def get(self) -> None:
        """Writes all entries and figures."""
        self.write({"entries": list(self.journal.entries), **self.journal.figures})


def make_control_routes(
    faults: FaultInjector, journal: Journal
) -> list[tuple[str, type[web.RequestHandler], dict[str, Any]]]:
    """Makes the control routes that every stand-in has."""
    return [
        (r"/control/faults", FaultHandler, {"faults": faults}),
        (r"/control/journal", JournalHandler, {"journal": journal}),
    ]


def drop_connection(handler: web.RequestHandler) -> None:
    """Closes a request's connection without an answer."""
    handler.detach().close()


def send_at_once(handler: web.RequestHandler) -> None:
    """Turns off Nagle's algorithm, which holds each event back for an ACK."""
    connection = handler.request.connection
    if isinstance(connection, HTTP1Connection):
        connection.stream.set_nodelay(True)


def make_argument_parser(name: str) -> argparse.ArgumentParser:
    """Makes a parser with the flags that every stand-in has."""
    parser = argparse.ArgumentParser(prog=f"standins.{name}")
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    return parser


def listen(application: web.Application, address: str, port: int) -> int:
    """Starts to serve, and gives the bound port."""
    sockets = netutil.bind_sockets(port, address)
    server = httpserver.HTTPServer(application, max_buffer_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    return sockets[0].getsockname()[1]


def run(
    make_application: Callable[[], web.Application], address: str, port: int
) -> None:
    """Serves until SIGTERM or SIGINT; prints the bound port as a JSON line."""

    async def serve() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        bound = listen(make_application(), address, port)
        print(json.dumps({"ready": True, "port": bound}), flush=True)
        await stopped.wait()

    asyncio.run(serve())
