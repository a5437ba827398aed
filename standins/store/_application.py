"""The HTTP routes of the store's stand-in."""

import asyncio
import base64
import json
import struct
from typing import Any

from tornado import web

from standins.faults import FaultInjector
from standins.server import Journal, drop_connection, make_control_routes
from standins.store._topics import AppendRejectedError, TopicStore, split_records

READ_HEAD = struct.Struct(">QQ")
POLL = 0.01  # seconds between two looks of a read that waits
MAX_WAIT = 30.0  # seconds
PAGE = 500
SHOWN_TOPICS = frozenset({"keyed.configuration", "keyed.versions", "duties"})


class StoreHandler(web.RequestHandler):
    """Applies the scripted faults around each call.

    Kinds: ``busy`` (503), ``many`` (429), ``reset`` (connection dropped, nothing
    done), ``silent`` (no answer for ``seconds``, nothing done), ``slow`` (waits
    ``seconds``), ``lose_answer`` (done, no answer) and ``late`` (no answer; done
    ``seconds`` later). The target is ``append``, ``read`` or ``newest``.
    """

    target = ""

    def initialize(
        self, log: TopicStore, faults: FaultInjector, journal: Journal
    ) -> None:
        """Stores what the handlers share."""
        self.log = log
        self.faults = faults
        self.journal = journal

    async def prepare(self) -> None:
        """Counts the call and applies the faults that come before the effect."""
        name = f"calls_{self.target or 'other'}"
        self.journal.figures[name] = self.journal.figures.get(name, 0) + 1
        if fault := self.faults.consume("slow", self.target):
            await asyncio.sleep(fault.seconds)
        if self.faults.consume("busy", self.target):
            raise web.HTTPError(503)
        if self.faults.consume("many", self.target):
            raise web.HTTPError(429)
        if fault := self.faults.consume("silent", self.target):
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            raise web.Finish
        if self.faults.consume("reset", self.target):
            drop_connection(self)
            raise web.Finish

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes a refusal."""
        self.finish(json.dumps({"status": status_code}))


class AppendHandler(StoreHandler):
    """``POST /-/log-append``."""

    target = "append"

    async def post(self) -> None:
        """Appends the body's records."""
        if fault := self.faults.consume("late", self.target):
            asyncio.get_running_loop().call_later(fault.seconds, self._append)
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            return
        status, fields = self._append()
        if self.faults.consume("lose_answer", self.target):
            drop_connection(self)
            return
        self.set_status(status)
        self.write(fields)

    def _append(self) -> tuple[int, dict[str, object]]:
        topic = self.get_argument("topic")
        partition = self.log.get(topic, int(self.get_argument("part")))
        at = self.get_argument("at", None)
        try:
            offset = partition.append(
                split_records(self.request.body),
                at=int(at) if at is not None else None,
                producer=self.get_argument("producer", None),
                epoch=int(self.get_argument("epoch", "0")),
                sequence=int(self.get_argument("sequence", "0")),
            )
        except AppendRejectedError as refused:
            return refused.status, refused.fields
        # Only what checkers look for: progress and presence would fill the journal.
        if topic in SHOWN_TOPICS:
            data = self.request.body.decode(errors="replace")
            self.journal.add("append", topic=topic, offset=offset, data=data)
        return 200, {"offset": offset, "end": partition.end}


class ReadHandler(StoreHandler):
    """``GET /-/log-read``."""

    target = "read"

    async def get(self) -> None:
        """Reads records, waiting for one if asked to."""
        partition = self.log.get(
            self.get_argument("topic"), int(self.get_argument("part"))
        )
        start = int(self.get_argument("from"))
        wait = min(MAX_WAIT, int(self.get_argument("waitMs", "0")) / 1000)
        until = asyncio.get_running_loop().time() + wait
        while start >= partition.end and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(POLL)
        if start < partition.first:
            self.set_status(410)
            self.write({"first": partition.first})
            return
        _, records = partition.read(start)
        self.write(READ_HEAD.pack(partition.end, partition.first) + records)


class NewestHandler(StoreHandler):
    """``GET /-/log-newest``."""

    target = "newest"

    def get(self) -> None:
        """Reads a page of the newest record of each key."""
        partition = self.log.get(
            self.get_argument("topic"), int(self.get_argument("part"))
        )
        after = self.get_argument("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:PAGE]:
            offset, value = partition.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(keys) > PAGE
        self.write({"items": items, "hasMore": more, "end": partition.end})


class CompactHandler(StoreHandler):
    """``POST /control/compact``: drops the history of all partitions."""

    def post(self) -> None:
        """Drops history."""
        for partition in self.log.partitions.values():
            partition.drop_history()
        self.write({})


class DropHandler(StoreHandler):
    """``POST /control/drop``: removes a worker's entry, as one that ran out."""

    def post(self) -> None:
        """Drops a key of the workers' topic."""
        name = json.loads(self.request.body)["key"].encode()
        partition = self.log.get("keyed.servers", 0)
        partition.append([bytes([len(name)]) + name])
        self.write({})


class DutyHandler(StoreHandler):
    """``POST /usage`` and ``POST /scale``: the calls that one holder makes."""

    target = "duty"

    def post(self) -> None:
        """Notes a call with its holder and term, and may lose its answer."""
        self.journal.add(
            self.request.path.strip("/"),
            holder=self.request.headers.get("Duty-Holder", ""),
            term=int(self.request.headers.get("Fencing-Token", "-1")),
            body=json.loads(self.request.body),
        )
        if self.faults.consume("lose_answer", self.target):
            drop_connection(self)
            return
        self.write({})


def make_application(*, retention: float = 20.0) -> web.Application:
    """Makes the store's stand-in.

    Args:
        retention: Seconds for which records are kept.

    Returns:
        The application; its ``log`` attribute is what tests may look into.
    """
    log, faults, journal = TopicStore(retention=retention), FaultInjector(), Journal()
    shared = {"log": log, "faults": faults, "journal": journal}
    application = web.Application(
        [
            (r"/-/log-append", AppendHandler, shared),
            (r"/-/log-read", ReadHandler, shared),
            (r"/-/log-newest", NewestHandler, shared),
            (r"/control/compact", CompactHandler, shared),
            (r"/control/drop", DropHandler, shared),
            (r"/usage", DutyHandler, shared),
            (r"/scale", DutyHandler, shared),
            *make_control_routes(faults, journal),
        ],
        log_function=lambda _: None,
    )
    application.log, application.faults = log, faults  # type: ignore[attr-defined]
    application.journal = journal  # type: ignore[attr-defined]
    return application
