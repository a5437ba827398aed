"""The routes of a model engine's stand-in."""

import json
import time

from tornado import web

from standins.engine._completions import CompletionHandler, EngineHandler
from standins.engine._scheduler import EngineOptions, Scheduler
from standins.faults import Fault, FaultTable
from standins.server import Journal, make_control_routes


class StateHandler(EngineHandler):
    """Reports version, incarnation and load."""

    def get(self) -> None:
        """Writes the state, with its lag."""
        self.write(self.scheduler.read_state())


class CancelHandler(EngineHandler):
    """Cancels a request."""

    def post(self) -> None:
        """Drops the request that the body names."""
        request_id = json.loads(self.request.body)["request_id"]
        found = self.scheduler.cancel(request_id)
        self.add_journal("cancel", request_id=request_id, found=found)
        self.write({"found": found})


class LoadVersionHandler(EngineHandler):
    """Takes an order to load another version; fault ``swap_fails``."""

    async def post(self) -> None:
        """Loads the version, unless the term is old and refused."""
        order = json.loads(self.request.body)
        version, term = int(order["version"]), int(order["term"])
        old = term < self.scheduler.highest_term
        refused = old and self.scheduler.options.refuse_old_terms
        self.scheduler.highest_term = max(self.scheduler.highest_term, term)
        entry = self.add_journal(
            "load_version", version=version, term=term, refused=refused, old=old
        )
        if refused:
            self.set_status(409)
            self.write({"error": "term_old"})
            return
        fails = self.faults.take("swap_fails") is not None
        done = await self.scheduler.swap(version, fails=fails)
        entry.update(done=done, ended=time.time())
        self.set_status(200 if done else 500)
        self.write({"version": self.scheduler.version})


class CacheEventHandler(EngineHandler):
    """Publishes cache events, late and with gaps."""

    def get(self) -> None:
        """Lists events after a sequence number."""
        options = self.scheduler.options
        events = self.scheduler.cache.list_events(
            int(self.get_argument("after", "0")),
            now=time.monotonic(),
            lag=options.event_lag_seconds,
            gap_every=options.event_gap_every,
        )
        self.write({"incarnation": self.scheduler.incarnation, "events": events})


class KvExportHandler(EngineHandler):
    """Exports a running request's KV cache as an opaque blob."""

    def post(self) -> None:
        """Writes the blob."""
        request_id = json.loads(self.request.body)["request_id"]
        sequence = self.scheduler.find(request_id)
        self.add_journal("kv_export", request_id=request_id)
        if sequence is None:
            self.set_status(404)
            return
        self.set_header("Content-Type", "application/octet-stream")
        blob = {"prompt": sequence.prompt, "version": self.scheduler.version}
        self.write(json.dumps(blob).encode().hex().encode())


class KvImportHandler(EngineHandler):
    """Imports a blob, if it was made by the same weights."""

    def post(self) -> None:
        """Stores the blob's prompt in the cache."""
        try:
            blob = json.loads(bytes.fromhex(self.request.body.decode()))
            prompt, version = str(blob["prompt"]), int(blob["version"])
        except (ValueError, KeyError, TypeError):
            self.set_status(400)
            return
        taken = version == self.scheduler.version
        if taken:
            self.scheduler.cache.store(prompt, now=time.monotonic())
        self.add_journal("kv_import", taken=taken)
        self.set_status(200 if taken else 409)
        self.write({"taken": taken})


def make_application(options: EngineOptions | None = None) -> web.Application:
    """Makes a model engine's stand-in.

    Example:
        >>> type(make_application()).__name__
        'Application'
    """
    scheduler = Scheduler(options or EngineOptions())

    def set_slow(fault: Fault) -> None:
        scheduler.slow_factor = fault.value or 1.0

    faults = FaultTable(
        {
            "restart": scheduler.restart,
            "lose_cache": lambda fault: scheduler.cache.clear(),
            "slow": set_slow,
        }
    )
    journal = Journal()
    shared = {"scheduler": scheduler, "faults": faults, "journal": journal}
    return web.Application(
        [
            *make_control_routes(faults, journal),
            (r"/v1/completions", CompletionHandler, shared),
            (r"/v1/state", StateHandler, shared),
            (r"/v1/cancel", CancelHandler, shared),
            (r"/v1/orders/load_version", LoadVersionHandler, shared),
            (r"/v1/cache_events", CacheEventHandler, shared),
            (r"/v1/kv/export", KvExportHandler, shared),
            (r"/v1/kv/import", KvImportHandler, shared),
        ],
        log_function=lambda handler: None,
    )
