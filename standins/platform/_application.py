"""The routes of the platform's stand-in."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any

from tornado import web

from standins.faults import Fault, FaultTable
from standins.platform._state import PlatformOptions, PlatformState, make_chunk
from standins.server import Journal, drop_connection, make_control_routes

MAX_WAIT = 60.0  # seconds
MAX_HANG = 600.0  # seconds


class PlatformHandler(web.RequestHandler):
    """Applies the scripted faults of one interface around each call.

    Kinds: ``down`` (no effect, connection dropped), ``slow`` (waits
    ``seconds``), ``lose_answer`` (takes effect, hangs ``seconds``, drops the
    connection) and ``late_answer`` (takes effect, answers after ``seconds``). The
    kind ``lag`` makes the VM list ``seconds`` old from then on, and ``empty``
    empties it. A target may name
    one method of an interface, such as ``log.post``.
    """

    interface = ""

    def initialize(
        self, state: PlatformState, faults: FaultTable, journal: Journal
    ) -> None:
        """Stores what the handlers share."""
        self.state = state
        self.faults = faults
        self.journal = journal

    async def prepare(self) -> None:
        """Applies the faults that come before the effect."""
        if fault := self._take("slow"):
            await asyncio.sleep(min(fault.seconds, MAX_HANG))
        if self._take("down"):
            self.journal.add("dropped", interface=self.interface)
            drop_connection(self)
            raise web.Finish

    async def answer(self, value: dict[str, Any], *, status: int = 200) -> None:
        """Answers, unless a fault loses or delays the answer."""
        if fault := self._take("lose_answer"):
            await asyncio.sleep(min(fault.seconds, MAX_HANG))
            drop_connection(self)
            return
        if fault := self._take("late_answer"):
            await asyncio.sleep(min(fault.seconds, MAX_HANG))
        self.set_status(status)
        self.write(value)

    def _take(self, kind: str) -> Fault | None:
        method = (self.request.method or "").lower()
        return self.faults.take(kind, self.interface) or self.faults.take(
            kind, f"{self.interface}.{method}"
        )

    @property
    def caller(self) -> str:
        """The process that says it calls."""
        return self.request.headers.get("X-Caller", "")


class LogHandler(PlatformHandler):
    """The log."""

    interface = "log"

    async def post(self) -> None:
        """Appends the body."""
        data = self.request.body
        offset = self.state.log.append(data, now=time.monotonic())
        self.journal.add(
            "append", offset=offset, data=data.decode(errors="replace"), by=self.caller
        )
        await self.answer({"offset": offset})

    async def get(self) -> None:
        """Reads, waiting for a record if there is none."""
        log = self.state.log
        first = int(self.get_argument("first"))
        limit = int(self.get_argument("limit", "500"))
        wait = min(float(self.get_argument("wait", "0")), MAX_WAIT)
        if first >= log.next_offset and wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(log.grown.wait(), wait)
        log.expire(now=time.monotonic())
        entries = [
            {"offset": offset, "data": base64.b64encode(data).decode()}
            for offset, data in log.read(first, limit)
        ]
        await self.answer(
            {
                "entries": entries,
                "first_retained": log.first_retained,
                "next_offset": log.next_offset,
            }
        )


class VmListHandler(PlatformHandler):
    """The VM list."""

    interface = "vms"

    async def get(self) -> None:
        """Lists VMs."""
        is_empty = self._take("empty") is not None
        vms = [] if is_empty else self.state.vms.list(now=time.monotonic())
        await self.answer({"vms": vms})


class OrderHandler(PlatformHandler):
    """Orders of upstreams."""

    interface = "orders"

    async def post(self) -> None:
        """Carries out an order once, if its term is not refused."""
        order = json.loads(self.request.body)
        state = self.state
        known = order["order_id"] in state.orders
        old = order["term"] < state.highest_term
        refused = old and state.options.refuse_old_terms
        state.highest_term = max(state.highest_term, order["term"])
        self.journal.add(
            "order", **order, by=self.caller, refused=refused, repeated=known
        )
        if refused:
            await self.answer({"error": "term_old"}, status=409)
            return
        if not known:
            state.orders[order["order_id"]] = order
            state.carry_out(order)
        await self.answer({"repeated": known})

    async def get(self) -> None:
        """Lists the orders that were carried out."""
        await self.answer({"orders": list(self.state.orders.values())})


class UsageHandler(PlatformHandler):
    """Usage reports."""

    interface = "usage"

    async def post(self) -> None:
        """Takes a report; the first one of a window counts."""
        report = json.loads(self.request.body)
        window = report["window"]
        known = window in self.state.reports
        self.journal.add("usage_report", **report, by=self.caller, repeated=known)
        self.state.reports.setdefault(window, report)
        await self.answer({"repeated": known})

    async def get(self) -> None:
        """Lists the reports that count."""
        await self.answer({"reports": list(self.state.reports.values())})


class WeightManifestHandler(PlatformHandler):
    """Manifests of weights."""

    interface = "weights"

    async def post(self) -> None:
        """Publishes a version."""
        fields = json.loads(self.request.body)
        self.state.publish(
            fields["version"],
            fields.get("chunk_count", 4),
            fields.get("chunk_bytes", 65536),
        )
        self.journal.add("publish", version=fields["version"])
        await self.answer(self.state.manifests[fields["version"]])

    async def get(self) -> None:
        """Reads the newest manifest."""
        manifests = self.state.manifests
        latest = manifests[max(manifests)] if manifests else None
        await self.answer({"manifest": latest})


class WeightChunkHandler(PlatformHandler):
    """Chunks of weights, behind a rate limit."""

    interface = "weights"

    async def get(self, version: str, index: str) -> None:
        """Reads a chunk."""
        manifest = self.state.manifests.get(int(version))
        if manifest is None or int(index) >= manifest["chunk_count"]:
            await self.answer({"error": "unknown"}, status=404)
            return
        if not self.state.chunk_bucket.take(now=time.monotonic()):
            self.journal.add("chunk_refused", version=int(version), by=self.caller)
            self.set_header("Retry-After", "1")
            await self.answer({"error": "rate"}, status=429)
            return
        self.journal.add(
            "chunk", version=int(version), index=int(index), by=self.caller
        )
        self.set_header("Content-Type", "application/octet-stream")
        self.write(make_chunk(int(version), int(index), manifest["chunk_bytes"]))


class TrainerHandler(PlatformHandler):
    """Trainers and their versions."""

    interface = "trainers"

    async def get(self) -> None:
        """Lists trainers."""
        trainers = [
            {"trainer": name, "version": version}
            for name, version in self.state.trainers.items()
        ]
        await self.answer({"trainers": trainers})


class ControlHandler(PlatformHandler):
    """Changes what the platform tells, by a test's hand."""

    async def put(self, kind: str, name: str) -> None:
        """Puts a VM, a spare VM or a trainer."""
        fields = json.loads(self.request.body)
        if kind == "vms":
            self.state.vms.put({**fields, "process": name}, now=time.monotonic())
        elif kind == "spares":
            self.state.spares[name] = {**fields, "process": name}
        else:
            self.state.trainers[name] = fields["version"]
        self.journal.add("put", of=kind, name=name, fields=fields)
        self.write({})

    async def delete(self, kind: str, name: str) -> None:
        """Removes a VM, a spare VM or a trainer."""
        if kind == "vms":
            self.state.vms.remove(name, now=time.monotonic())
        elif kind == "spares":
            self.state.spares.pop(name, None)
        else:
            self.state.trainers.pop(name, None)
        self.journal.add("delete", of=kind, name=name)
        self.write({})


def make_application(options: PlatformOptions | None = None) -> web.Application:
    """Makes the platform's stand-in.

    Example:
        >>> type(make_application()).__name__
        'Application'
    """
    state = PlatformState(options or PlatformOptions())

    def set_lag(fault: Fault) -> None:
        state.vms.lag = fault.seconds

    faults = FaultTable({"lag": set_lag})
    journal = Journal()
    shared = {"state": state, "faults": faults, "journal": journal}
    return web.Application(
        [
            *make_control_routes(faults, journal),
            (r"/control/(vms|spares|trainers)/([^/]+)", ControlHandler, shared),
            (r"/log", LogHandler, shared),
            (r"/vms", VmListHandler, shared),
            (r"/orders", OrderHandler, shared),
            (r"/usage", UsageHandler, shared),
            (r"/weights", WeightManifestHandler, shared),
            (r"/weights/(\d+)/chunks/(\d+)", WeightChunkHandler, shared),
            (r"/trainers", TrainerHandler, shared),
        ],
        log_function=lambda handler: None,
    )
