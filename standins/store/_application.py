"""The HTTP routes of the store's stand-in."""

import asyncio
import base64
import json
import struct
from typing import Any

from tornado import web

from standins.faults import Fault, FaultInjector
from standins.server import Journal, drop_connection, make_control_routes
from standins.store._topics import AppendRejectedError, TopicStore, decode_records

READ_HEADER = struct.Struct(">QQ")
POLL_INTERVAL = 0.01  # seconds between two checks of a long poll
MAX_POLL_WAIT = 30.0  # seconds
DEFAULT_MAX_READ_KB = "1024"
PAGE_SIZE = 500  # keys
JOURNALED_TOPICS = frozenset({"keyed.configuration", "keyed.versions", "duties"})


class StoreHandler(web.RequestHandler):
    """Base class of the routes, which injects faults into each request.

    Kinds of faults:

    - ``busy``: status 503.
    - ``many``: status 429.
    - ``reset``: the connection is closed without effect.
    - ``silent``: the connection is closed after ``seconds``, without effect.
    - ``slow``: the request is handled after ``seconds``.
    - ``lose_answer``: the request takes effect, but no response is sent.
    - ``late``: the request takes effect after ``seconds``, and no response is sent.

    The target of a fault is ``append``, ``read``, ``newest`` or ``duty``. With a slash
    and the name of a topic after it, only calls for this topic are affected.
    """

    target = ""

    def initialize(
        self, topics: TopicStore, faults: FaultInjector, journal: Journal
    ) -> None:
        """Stores the objects that all handlers share."""
        self.topics = topics
        self.faults = faults
        self.journal = journal

    async def prepare(self) -> None:
        """Counts the request and injects the faults that precede its effect."""
        counter = f"calls_{self.target or 'other'}"
        self.journal.counters[counter] = self.journal.counters.get(counter, 0) + 1
        if fault := self.consume_fault("slow"):
            await asyncio.sleep(fault.seconds)
        if self.consume_fault("busy"):
            raise web.HTTPError(503)
        if self.consume_fault("many"):
            raise web.HTTPError(429)
        if fault := self.consume_fault("silent"):
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            raise web.Finish
        if self.consume_fault("reset"):
            drop_connection(self)
            raise web.Finish

    def consume_fault(self, kind: str) -> Fault | None:
        """Returns an enabled fault of this call or of its topic, or None."""
        topic = self.get_query_argument("topic", "")
        return self.faults.consume(kind, self.target) or self.faults.consume(
            kind, f"{self.target}/{topic}"
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes an error response."""
        self.finish(json.dumps({"status": status_code}))


class AppendHandler(StoreHandler):
    """``POST /-/log-append``: appends records to a partition."""

    target = "append"

    async def post(self) -> None:
        """Appends the records of the body."""
        if fault := self.consume_fault("late"):
            asyncio.get_running_loop().call_later(fault.seconds, self._append)
            await asyncio.sleep(fault.seconds)
            drop_connection(self)
            return
        status, fields = self._append()
        if self.consume_fault("lose_answer"):
            drop_connection(self)
            return
        self.set_status(status)
        self.write(fields)

    def _append(self) -> tuple[int, dict[str, object]]:
        topic = self.get_argument("topic")
        partition = self.topics.get(topic, int(self.get_argument("part")))
        expected_offset = self.get_argument("at", None)
        records = decode_records(self.request.body)
        if max(map(len, records), default=0) > self.topics.max_record_bytes:
            return 413, {"why": "record"}
        if len(self.request.body) > self.topics.max_append_bytes:
            return 413, {"why": "call"}
        try:
            offset = partition.append(
                records,
                at=(int(expected_offset) if expected_offset is not None else None),
                producer=self.get_argument("producer", None),
                epoch=int(self.get_argument("epoch", "0")),
                sequence=int(self.get_argument("sequence", "0")),
            )
        except AppendRejectedError as error:
            return error.status, error.fields
        # Only topics that tests check: progress and presence records would fill the
        # journal.
        if topic in JOURNALED_TOPICS:
            data = self.request.body.decode(errors="replace")
            self.journal.add("append", topic=topic, offset=offset, data=data)
        return 200, {"offset": offset, "end": partition.end}


class ReadHandler(StoreHandler):
    """``GET /-/log-read``: reads records of a partition."""

    target = "read"

    async def get(self) -> None:
        """Writes the records from an offset on; ``waitMs`` requests a long poll."""
        partition = self.topics.get(
            self.get_argument("topic"), int(self.get_argument("part"))
        )
        start = int(self.get_argument("from"))
        wait = min(MAX_POLL_WAIT, int(self.get_argument("waitMs", "0")) / 1000)
        deadline = asyncio.get_running_loop().time() + wait
        while start >= partition.end and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(POLL_INTERVAL)
        if start < partition.first:
            self.set_status(410)
            self.write({"first": partition.first})
            return
        max_bytes = int(self.get_argument("maxKb", DEFAULT_MAX_READ_KB)) << 10
        records = partition.read(start, max_bytes)
        self.write(READ_HEADER.pack(partition.end, partition.first) + records)


class LatestHandler(StoreHandler):
    """``GET /-/log-newest``: reads the latest record of each key."""

    target = "newest"

    def get(self) -> None:
        """Writes one page of records, in the order of their keys."""
        partition = self.topics.get(
            self.get_argument("topic"), int(self.get_argument("part"))
        )
        after = self.get_argument("after", "").encode()
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:PAGE_SIZE]:
            offset, value = partition.newest[key]
            encoded_value = base64.b64encode(value).decode()
            items.append(
                {"key": key.decode(), "value": encoded_value, "offset": offset}
            )
        has_more = len(keys) > PAGE_SIZE
        self.write({"items": items, "hasMore": has_more, "end": partition.end})


class CompactHandler(StoreHandler):
    """``POST /control/compact``: truncates all partitions."""

    def post(self) -> None:
        """Removes all records; the latest record of each key stays readable."""
        for partition in self.topics.partitions.values():
            partition.drop_history()
        self.write({})


class ExpireWorkerHandler(StoreHandler):
    """``POST /control/drop``: removes a worker's record as if it had expired."""

    def post(self) -> None:
        """Appends a record without a value for the worker's key."""
        key = json.loads(self.request.body)["key"].encode()
        partition = self.topics.get("keyed.servers", 0)
        partition.append([bytes([len(key)]) + key])
        self.write({})


class DutyHandler(StoreHandler):
    """``POST /usage`` and ``POST /scale``: the duty calls of a lease holder."""

    target = "duty"

    def post(self) -> None:
        """Records the request in the journal with its lease holder and term."""
        self.journal.add(
            self.request.path.strip("/"),
            holder=self.request.headers.get("Duty-Holder", ""),
            term=int(self.request.headers.get("Fencing-Token", "-1")),
            body=json.loads(self.request.body),
        )
        if self.consume_fault("lose_answer"):
            drop_connection(self)
            return
        self.write({})


def make_application(*, retention: float = 20.0) -> web.Application:
    """Creates the store's stand-in.

    Args:
        retention: Seconds after which records are removed.

    Returns:
        The application. Tests may use its attributes ``log`` (the TopicStore),
        ``faults`` and ``journal``.
    """
    topics, faults, journal = (
        TopicStore(retention=retention),
        FaultInjector(),
        Journal(),
    )
    shared = {"topics": topics, "faults": faults, "journal": journal}
    application = web.Application(
        [
            (r"/-/log-append", AppendHandler, shared),
            (r"/-/log-read", ReadHandler, shared),
            (r"/-/log-newest", LatestHandler, shared),
            (r"/control/compact", CompactHandler, shared),
            (r"/control/drop", ExpireWorkerHandler, shared),
            (r"/usage", DutyHandler, shared),
            (r"/scale", DutyHandler, shared),
            *make_control_routes(faults, journal),
        ],
        log_function=lambda _: None,
    )
    application.log, application.faults = topics, faults  # type: ignore[attr-defined]
    application.journal = journal  # type: ignore[attr-defined]
    return application
