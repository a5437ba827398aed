"""The entry's process: puts the parts together and runs them."""

import asyncio
import random
import signal
import ssl
from collections.abc import Awaitable, Callable

from buckthornstile.api import (
    Admission,
    ApiHandlers,
    ApiTools,
    ConfigurationWatch,
    OnceGuard,
    OperatorHandlers,
    ProcessState,
    Revocation,
    decode_api_request,
    encode_api_reply,
    find_key_error,
    make_api_error,
)
from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    KeyId,
    ProcessName,
    ServiceName,
)
from buckthornstile.calls import ClientRequest, Reply, StreamReply
from buckthornstile.clock import read_boottime, read_wall_time
from buckthornstile.entry._announcer import Announcer
from buckthornstile.entry._door import Door, DoorProtocol
from buckthornstile.entry._parts import (
    Basis,
    make_control,
    make_job_store,
    make_upstream_side,
)
from buckthornstile.exchanges import ConnectionPool
from buckthornstile.gateway import (
    ClientHandlers,
    Followers,
    GatewayMetrics,
    HandlerTools,
    JobOwner,
    JobTools,
    PeerClient,
    StorePath,
    StoreRelay,
    StreamRunner,
    make_error_reply,
)
from buckthornstile.jobs import Job
from buckthornstile.logs import EventLineHandler, log_event, set_up_event_lines
from buckthornstile.platform import (
    StoreClient,
    decode_request,
    encode_reply,
    is_store_call,
    read_node_settings,
)
from buckthornstile.settings import EntrySettings
from buckthornstile.topology import TopologyView

IDLE_TIMEOUT = 60.0
"""Seconds; longer than any configured idle timeout of clients."""
READY_AGE = 2.5
"""Seconds without the store after which no new clients are asked for."""
DRAIN_TIME = 3.0
"""Seconds for the balancer to send its clients elsewhere: two missed questions."""
STOP_MARGIN = 1.5
"""Seconds before SIGKILL at which a stopping process ends."""
STOP_POLL = 0.05
RESTART_PAUSE = 0.2
"""Seconds before a task that failed is started again."""
KEY_CHECK_PERIOD = 0.2
"""Seconds between two looks for running work whose key cannot be checked any more."""
PLATFORM_PROTOCOL = DoorProtocol(decode_request, encode_reply, make_error_reply)
API_PROTOCOL = DoorProtocol(decode_api_request, encode_api_reply, make_api_error)


class Entry:
    """One entry process.

    Args:
        settings: Where it listens, what it talks to and the bounds that it keeps.
        events: Writes its event lines.
    """

    def __init__(self, settings: EntrySettings, events: EventLineHandler) -> None:
        self.settings = settings
        self.started_wall = read_wall_time()
        self.started_at = read_boottime()
        name = f"{settings.process}#{int(self.started_wall * 1000)}"
        self.name = ProcessName(name)
        self.clock = read_boottime
        self.is_stopping = False
        self.events = events
        self.doors: list[Door] = []
        self.api_port = 0
        self.view = TopologyView()
        self.store_path = StorePath(
            self.clock,
            lambda: self.announcer.presence.list_addresses(self.name),
            random.Random(name),
        )
        self.store = StoreClient(settings.store_address, path=self.store_path)
        self.store_relay = StoreRelay(self.store, self.store_path)
        self.pool = ConnectionPool()
        self.basis = Basis(
            settings,
            self.name,
            self.store,
            self.pool,
            self.view,
            self.clock,
            self.read_wall,
        )
        self.metrics = GatewayMetrics()
        self.announcer = Announcer(
            self.name,
            settings,
            self.store,
            self.view,
            clock=self.clock,
            wall_clock=self.read_wall,
            list_fresh_versions=lambda: self.control.orders.list_fresh_versions(),
        )
        self.presence = self.announcer.presence
        self.configuration: ConfigurationWatch | None = None
        self.admission: Admission | None = None
        self.revocation = Revocation(self._find_key_error)
        self._make_upstream_side()
        self._make_jobs()
        self._make_control()
        self._make_platform_doors()
        if settings.api_address:
            self._make_api_door()

    def read_wall(self) -> float:
        """Seconds since the epoch, by the wall clock at the start.

        The wall clock itself may jump while the process runs.
        """
        return self.started_wall + self.clock() - self.started_at

    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        if self.is_stopping or not self.jobs.is_loaded():
            return False
        ages = []
        if self.settings.client_address:
            if not self.watch.is_loaded():
                return False
            ages.append(self.watch.operator.get_age())
        if self.configuration is not None:
            if not self.configuration.is_loaded:
                return False
            ages.append(self.configuration.tail.get_age())
        return max(ages, default=0.0) < READY_AGE

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for door in self.doors:
            port = door.listen()
            if door.address == self.settings.api_address:
                self.api_port = port
            elif door.address == self.settings.peer_address:
                host = door.address.rpartition(":")[0]
                self.announcer.address = f"{host}:{port}"
        log_event(
            "process.start",
            name=self.name,
            failure_domain=self.settings.failure_domain,
            port=self.api_port,
        )
        tasks = [
            asyncio.create_task(self._keep_running(work)) for work in self._list_work()
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
        for door in self.doors:
            await door.close()
        self.pool.close()
        self.store.close()

    # Parts

    def _list_work(self) -> list[Callable[[], Awaitable[None]]]:
        work: list[Callable[[], Awaitable[None]]] = [
            self.watch.run,
            self.jobs.run,
            self.control.run,
            self.owner.run,
            self.announcer.tail.run,
            self.announcer.run,
            self._probe_store,
        ]
        if self.configuration is not None:
            work += [self.configuration.run, self._check_keys]
        return work

    def _make_upstream_side(self) -> None:
        side = make_upstream_side(
            self.basis,
            list_possible=self.presence.list_possible,
            on_change=self._note_topology,
            count_run=self._count_run,
        )
        self.fleet, self.watch = side.fleet, side.watch
        self.sender, self.relay = side.sender, side.relay

    def _make_jobs(self) -> None:
        self.followers = Followers(self.name, self.presence)
        self.jobs = make_job_store(
            self.basis,
            followers=self.followers,
            on_change=self._note_job,
            may_load=self._may_load_jobs,
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
            followers=self.followers,
            clock=self.clock,
            lifetime=self.settings.result_lifetime,
            is_withdrawn=self._is_withdrawn,
        )

    def _make_control(self) -> None:
        self.control = make_control(
            self.basis, fleet=self.fleet, announcer=self.announcer
        )

    def _make_platform_doors(self) -> None:
        settings = self.settings
        handlers = ClientHandlers(
            HandlerTools(
                view=self.view,
                watch=self.watch,
                sender=self.sender,
                relay=self.relay,
                jobs=self.jobs,
                clock=self.clock,
                wall_clock=self.read_wall,
                metrics=self.metrics,
                choose_first_owner=self.owner.choose_first_owner,
                key_bound=settings.key_bound,
                fails_closed=settings.fails_closed,
                peers=PeerClient(self.name, self.followers, self.presence, self.pool),
            )
        )
        self.client_door = self._add_door(handlers.handle, settings.client_address)
        self._add_door(self._answer_ready, settings.ready_address)
        self._add_door(self._answer_metrics, settings.metrics_address)
        self.client_handlers = handlers
        self._add_door(self._answer_peer, settings.peer_address)

    def _add_door(
        self,
        handler: Callable[[ClientRequest], Awaitable[Reply | StreamReply]],
        address: str,
    ) -> Door | None:
        if not address:
            return None
        door = Door(handler, address, PLATFORM_PROTOCOL, idle_timeout=IDLE_TIMEOUT)
        self.doors.append(door)
        return door

    def _make_api_door(self) -> None:
        settings = self.settings
        self.configuration = ConfigurationWatch(
            self.store,
            self.view,
            clock=self.clock,
            key_bound=settings.key_bound,
            read_upstream_age=self.watch.upstreams.get_age,
            on_change=self.revocation.check_all,
        )
        self.admission = Admission(
            self._count_places, self.clock, maximum_open=settings.max_open_calls
        )
        tools = ApiTools(
            settings=settings,
            view=self.view,
            watch=self.configuration,
            sender=self.sender,
            relay=self.relay,
            jobs=self.jobs,
            admission=self.admission,
            revocation=self.revocation,
            guard=OnceGuard(self.store, parts=settings.store_parts),
            metrics=self.metrics,
            clock=self.clock,
            wall_clock=self.read_wall,
            choose_first_owner=self.owner.choose_first_owner,
            is_stopping=lambda: self.is_stopping,
        )
        operators = OperatorHandlers(
            tools, self.events, self._read_state, self._render_metrics
        )
        door = Door(
            ApiHandlers(tools, operators).handle,
            settings.api_address,
            API_PROTOCOL,
            idle_timeout=IDLE_TIMEOUT,
            ssl_options=make_ssl_options(settings),
        )
        door.max_body_bytes = settings.max_body_bytes
        self.doors.append(door)

    # Callbacks

    async def _answer_ready(self, request: ClientRequest) -> Reply:
        return Reply(200 if self.is_ready() else 503)

    async def _answer_peer(self, request: ClientRequest) -> Reply | StreamReply:
        if not is_store_call(request.path):
            return await self.client_handlers.handle_forwarded(request)
        try:
            return await self.store_relay.handle(request)
        except BuckthornstileError as error:
            log_event(
                "store.call_not_passed_on",
                reason=error.message,
                verdict=error.verdict.value,
            )
            return make_error_reply(error)

    async def _answer_metrics(self, request: ClientRequest) -> Reply:
        text = self._render_metrics()
        return Reply(200, text.encode(), (("Content-Type", "text/plain"),))

    def _render_metrics(self) -> str:
        configuration = self.configuration
        revision = configuration.current.revision if configuration else 0
        gauges = {
            "open_requests": sum(door.open for door in self.doors),
            "jobs_running": self.owner.count_running(),
            "jobs_kept": len(self.jobs.table.jobs),
            "upstreams_known": len(self.view.upstreams),
            "configuration_version": getattr(self.view.configuration, "version", 0),
            "configuration_revision": revision,
            "configuration_age_seconds": self.watch.operator.get_age(),
            "jobs_age_seconds": self.jobs.get_age(),
            "holds_lease": float(self.control.keeper.lease.holds()),
            "ready": float(self.is_ready()),
        }
        return self.metrics.render(self.events.counters, gauges)

    def _read_state(self) -> ProcessState:
        fold = self.control.keeper.fold
        return ProcessState(
            ready=self.is_ready(),
            stopping=self.is_stopping,
            is_holder=self.control.keeper.lease.holds(),
            term=fold.term,
            holder=fold.holder,
            jobs=self.owner.count_running(),
            entries=tuple(self.presence.list_live()),
        )

    def _note_topology(self) -> None:
        self.fleet.forget_gone()
        configuration = self.view.configuration
        if configuration is not None and self.client_door is not None:
            limits = configuration.limits
            self.client_door.max_body_bytes = limits.max_body_bytes
            self.client_door.max_header_bytes = limits.max_header_bytes

    def _may_load_jobs(self) -> bool:
        """Whether what calls need is read, so that jobs may be loaded beside it."""
        is_read = self.watch.operator.is_loaded and self.watch.upstreams.is_loaded
        return is_read and self.announcer.is_settled()

    def _note_job(self, job: Job) -> None:
        self.owner.note_change(job)

    def _count_run(self, account: AccountId, age: float) -> None:
        self.announcer.counter.count(account, self.read_wall() - age)

    def _count_places(self, service: ServiceName) -> int:
        """Counts this entry's share of the places of a service's upstreams."""
        slots = sum(upstream.slots for upstream in self.view.list_usable(service))
        entries = max(1, len(self.presence.list_live()))
        return max(1, -(-slots // entries))

    def _is_withdrawn(self, key: KeyId) -> bool:
        return self.configuration is None or self.configuration.is_withdrawn(key)

    def _find_key_error(self, key: KeyId) -> BuckthornstileError | None:
        if self.configuration is None or not key:
            return None
        return find_key_error(self.configuration, key)

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

    async def _probe_store(self) -> None:
        await self.store_path.keep_probing(self.store.probe)

    async def _check_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_CHECK_PERIOD)
            self.revocation.check_all()

    async def _drain(self) -> None:
        log_event("process.drain", open=sum(door.open for door in self.doors))
        self.is_stopping = True
        self.announcer.is_leaving = True
        self.owner.is_leaving = True
        self.control.keeper.is_leaving = True
        for door in self.doors:
            if door.handler != self._answer_ready:
                door.start_closing()
        await self.owner.save_all()
        await self.announcer.announce()
        began = self.clock()
        end = began + self.settings.stop_grace - STOP_MARGIN
        await self._finish_work(began + DRAIN_TIME, end)
        # From here on no request is read that could not be answered any more.
        for door in self.doors:
            door.close_idle()
        await self._finish_work(self.clock(), end)
        await self.announcer.announce()
        for door in self.doors:
            await door.close()

    async def _finish_work(self, earliest: float, latest: float) -> None:
        """Waits until nothing is open, between two times."""
        while self.clock() < latest:
            open_work = sum(door.open for door in self.doors)
            open_work += self.owner.count_running()
            if not open_work and self.clock() >= earliest:
                return
            await asyncio.sleep(STOP_POLL)


def make_ssl_options(settings: EntrySettings) -> ssl.SSLContext | None:
    """Makes the TLS options of the product's own interface, if it has any."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context


def run_entry(settings: EntrySettings) -> None:
    """Runs an entry until it is told to stop.

    Args:
        settings: Its settings.
    """
    events = set_up_event_lines(settings.process)

    async def run() -> None:
        await Entry(settings, events).run()

    asyncio.run(run())
