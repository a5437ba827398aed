"""The gateway's process: puts the parts together and runs them."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ProcessName,
)
from buckthornstile.calls import ClientRequest, Reply
from buckthornstile.clock import read_boottime, read_wall_time
from buckthornstile.duties import LoadPlanner, UsageCounter, UsageTotals
from buckthornstile.exchanges import ConnectionPool
from buckthornstile.gateway._calls import CallSender
from buckthornstile.gateway._control import Control
from buckthornstile.gateway._door import Door
from buckthornstile.gateway._fleet import Fleet
from buckthornstile.gateway._handlers import ClientHandlers, HandlerTools
from buckthornstile.gateway._item_work import JobTools
from buckthornstile.gateway._job_owner import JobOwner
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._presence import (
    PRESENCE_PERIOD,
    PRESENCE_TOPIC,
    PresenceRecord,
    PresenceTable,
    decode_presence,
)
from buckthornstile.gateway._streams import StreamRunner
from buckthornstile.gateway._tails import Tail
from buckthornstile.gateway._watch import Watch
from buckthornstile.jobs import Job
from buckthornstile.logs import log_event, set_up_event_lines
from buckthornstile.metrics import Counters
from buckthornstile.platform import (
    DutyClient,
    NodeSettings,
    StoreClient,
    read_node_settings,
)
from buckthornstile.topology import TopologyView

IDLE_TIMEOUT = 60.0
"""Seconds; longer than any configured idle timeout of clients."""
READY_AGE = 2.5
"""Seconds without the store after which no new clients are asked for."""
PRESENCE_WAIT = 0.4
PRESENCE_PAUSE = 0.1
DRAIN_TIME = 3.0
"""Seconds for the balancer to send its clients elsewhere: two missed questions."""
STOP_MARGIN = 1.5
"""Seconds before SIGKILL at which a stopping process ends."""
STOP_POLL = 0.05
RESTART_PAUSE = 0.2
"""Seconds before a task that failed is started again."""


class Gateway:
    """One entry process on the users' platform.

    Args:
        settings: What the platform tells the process.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.started_wall = read_wall_time()
        self.started_at = read_boottime()
        name = f"{settings.name}#{int(self.started_wall * 1000)}"
        self.name = ProcessName(name)
        self.clock = read_boottime
        self.is_stopping = False
        self._news = asyncio.Event()
        self.view = TopologyView()
        self.store = StoreClient(settings.store_address)
        self.pool = ConnectionPool()
        self.presence = PresenceTable(self.clock)
        self.metrics = GatewayMetrics()
        self.counters = Counters()
        self.counter = UsageCounter(settings.usage_window)
        self.totals = UsageTotals(settings.usage_window)
        self._make_upstream_side()
        self._make_jobs()
        self._make_control()
        self._make_doors()
        self.presence_tail = Tail(
            self.store,
            PRESENCE_TOPIC,
            0,
            clock=self.clock,
            wait=PRESENCE_WAIT,
            pause=PRESENCE_PAUSE,
            on_raw=self._apply_presence,
            on_read=self.presence.note_read,
        )

    def read_wall(self) -> float:
        """Seconds since the epoch, by the wall clock at the start.

        The wall clock itself may jump while the process runs.
        """
        return self.started_wall + self.clock() - self.started_at

    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        if self.is_stopping or not self.watch.is_loaded():
            return False
        is_fresh = self.watch.operator.get_age() < READY_AGE
        return is_fresh and self.jobs.is_loaded()

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        log_event("process.start", name=self.name, zone=self.settings.zone)
        self.client_door.listen()
        self.ready_door.listen()
        self.metrics_door.listen()
        tasks = [
            asyncio.create_task(self._keep_running(work))
            for work in (
                self.watch.run,
                self.jobs.run,
                self.control.run,
                self.owner.run,
                self.presence_tail.run,
                self._announce,
            )
        ]
        try:
            await stop.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.owner.stop_all()
        log_event("process.stop", name=self.name)

    async def kill(self) -> None:
        """Closes all connections at once."""
        self.owner.stop_all()
        await self.client_door.close()
        await self.ready_door.close()
        await self.metrics_door.close()
        self.pool.close()
        self.store.close()

    # Parts

    def _make_upstream_side(self) -> None:
        settings = self.settings
        self.fleet = Fleet(
            self.view,
            self.clock,
            count_entries=self._list_possible,
            name=self.name,
            overage=settings.cold_overage,
            slack=settings.cold_slack,
        )
        self.watch = Watch(
            self.store,
            self.view,
            clock=self.clock,
            on_change=self._note_topology,
            heartbeat=settings.heartbeat,
        )
        self.sender = CallSender(
            self.fleet,
            self.pool,
            random_source=random.Random(self.name),
            count_run=self._count_run,
        )

    def _make_jobs(self) -> None:
        settings = self.settings
        self.jobs = JobStore(
            self.store,
            parts=settings.store_parts,
            max_record_bytes=settings.max_record_bytes,
            max_append_bytes=settings.max_append_bytes,
            name=self.name,
            clock=self.clock,
            wall_clock=self.read_wall,
            on_change=self._note_job,
        )
        tools = JobTools(
            view=self.view,
            fleet=self.fleet,
            streams=StreamRunner(self.fleet, self.pool),
            sender=self.sender,
            store=self.jobs,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.owner = JobOwner(
            self.name,
            tools,
            self.presence,
            clock=self.clock,
            lifetime=settings.result_lifetime,
        )

    def _make_control(self) -> None:
        settings = self.settings
        planner = LoadPlanner(
            self.view, clock=self.clock, is_suspect=self.fleet.is_suspect
        )
        has_duties = bool(settings.duty_address)
        self.control = Control(
            self.name,
            settings.name,
            store=self.store,
            view=self.view,
            planner=planner,
            totals=self.totals,
            client=DutyClient(settings.duty_address) if has_duties else None,
            pool=self.pool,
            clock=self.clock,
            wall_clock=self.read_wall,
            turn_bound=settings.turn_bound,
            usage_due=settings.usage_due,
            on_news=self._news.set,
            note_failure=self.fleet.note_failure,
        )

    def _make_doors(self) -> None:
        settings = self.settings
        handlers = ClientHandlers(
            HandlerTools(
                view=self.view,
                watch=self.watch,
                sender=self.sender,
                jobs=self.jobs,
                clock=self.clock,
                wall_clock=self.read_wall,
                metrics=self.metrics,
                choose_first_owner=self.owner.choose_first_owner,
                key_bound=settings.key_bound,
                fails_closed=settings.fails_closed,
            )
        )
        self.client_door = Door(
            handlers.handle, settings.client_address, idle_timeout=IDLE_TIMEOUT
        )
        self.ready_door = Door(
            self._answer_ready, settings.ready_address, idle_timeout=IDLE_TIMEOUT
        )
        self.metrics_door = Door(
            self._answer_metrics, settings.metrics_address, idle_timeout=IDLE_TIMEOUT
        )

    # Callbacks

    async def _answer_ready(self, request: ClientRequest) -> Reply:
        return Reply(200 if self.is_ready() else 503)

    async def _answer_metrics(self, request: ClientRequest) -> Reply:
        gauges = {
            "open_requests": self.client_door.open,
            "jobs_running": self.owner.count_running(),
            "jobs_kept": len(self.jobs.table.jobs),
            "upstreams_known": len(self.view.upstreams),
            "configuration_version": getattr(self.view.configuration, "version", 0),
            "configuration_age_seconds": self.watch.operator.get_age(),
            "jobs_age_seconds": max(tail.get_age() for tail in self.jobs.tails),
            "holds_lease": float(self.control.lease.holds()),
            "ready": float(self.is_ready()),
        }
        text = self.metrics.render(self.counters, gauges)
        return Reply(200, text.encode(), (("Content-Type", "text/plain"),))

    def _note_topology(self) -> None:
        self.fleet.forget_gone()
        configuration = self.view.configuration
        if configuration is not None:
            limits = configuration.limits
            self.client_door.max_body_bytes = limits.max_body_bytes
            self.client_door.max_header_bytes = limits.max_header_bytes

    def _note_job(self, job: Job) -> None:
        self.owner.note_change(job)

    def _count_run(self, account: AccountId, age: float) -> None:
        self.counter.count(account, self.read_wall() - age)

    def _list_possible(self) -> list[str]:
        return list(self.presence.list_possible())

    def _apply_presence(self, offset: int, data: bytes) -> None:
        try:
            record = decode_presence(data)
        except ValueError as error:
            log_event("presence.unreadable", offset=offset, reason=error)
            return
        self.presence.apply(record)
        self.totals.apply(record.name, record.counts)
        for upstream_id, (born, versions) in record.versions.items():
            self.view.note_versions(upstream_id, born, versions)

    def _reload(self) -> None:
        try:
            settings = read_node_settings()
        except BuckthornstileError as error:
            log_event("process.reload_failed", reason=error.message)
            return
        log_event("process.reload", changed=settings != self.settings)

    # Tasks

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
            except Exception as error:
                log_event("task.failed", task=work.__qualname__, reason=repr(error))
            await asyncio.sleep(RESTART_PAUSE)

    async def _announce(self) -> None:
        while True:
            await self._announce_once()
            self._news.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PRESENCE_PERIOD):
                    await self._news.wait()

    async def _announce_once(self) -> None:
        record = PresenceRecord(
            self.name,
            self.settings.name,
            is_leaving=self.is_stopping,
            counts=self.counter.get_counts(self.read_wall()),
            versions=self.control.list_fresh_versions(),
        )
        try:
            await self.store.append(PRESENCE_TOPIC, 0, [record.encode()])
        except BuckthornstileError as error:
            log_event("presence.append_failed", reason=error.message)

    async def _drain(self) -> None:
        log_event("process.drain", open=self.client_door.open)
        self.is_stopping = True
        self.owner.is_leaving = True
        self.control.is_leaving = True
        self.client_door.start_closing()
        await self.owner.save_all()
        await self._announce_once()
        began = self.clock()
        end = began + self.settings.stop_grace - STOP_MARGIN
        while self.clock() < end:
            idle = not self.client_door.open and not self.owner.count_running()
            if idle and self.clock() > began + DRAIN_TIME:
                break
            await asyncio.sleep(STOP_POLL)
        await self._announce_once()
        await self.client_door.close()


def run_gateway(settings: NodeSettings) -> None:
    """Runs a gateway until it is told to stop.

    Args:
        settings: What the platform tells the process.
    """
    handler = set_up_event_lines(settings.name)
    gateway = Gateway(settings)
    gateway.counters = handler.counters
    asyncio.run(gateway.run())
