"""The entry's process: puts the parts together and runs them."""

import asyncio
import random
import signal
import ssl
from collections.abc import Awaitable, Callable

from buckthornstile.api import (
    AdmissionController,
    ApiDependencies,
    ApiHandlers,
    CallDeduplicator,
    ConfigurationWatcher,
    OperatorHandlers,
    ProcessState,
    RevocationMonitor,
    decode_api_request,
    encode_api_response,
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
from buckthornstile.clock import read_boottime, read_wall_time
from buckthornstile.entry._components import (
    SharedResources,
    make_control,
    make_job_store,
    make_upstream_components,
)
from buckthornstile.entry._http_listener import HTTPCodec, HTTPListener
from buckthornstile.entry._presence_publisher import PresencePublisher
from buckthornstile.gateway import (
    ClientHandlers,
    GatewayMetrics,
    HandlerDependencies,
    ItemRunner,
    JobDependencies,
    JobManager,
    PartitionAssignment,
    PeerClient,
    StoreProxy,
    StoreProxySelector,
    make_error_response,
)
from buckthornstile.http_client import ConnectionPool
from buckthornstile.jobs import Job
from buckthornstile.logs import EventLogHandler, log_event, set_up_event_logging
from buckthornstile.messages import ClientRequest, Response, StreamingResponse
from buckthornstile.platform import (
    StoreClient,
    decode_request,
    encode_response,
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
PLATFORM_CODEC = HTTPCodec(decode_request, encode_response, make_error_response)
API_CODEC = HTTPCodec(decode_api_request, encode_api_response, make_api_error)


class Entry:
    """One entry process.

    Args:
        settings: Where it listens, what it talks to and the bounds that it keeps.
        events: Writes its event lines.
    """

    def __init__(self, settings: EntrySettings, events: EventLogHandler) -> None:
        self.settings = settings
        self.started_wall_time = read_wall_time()
        self.started_at = read_boottime()
        name = f"{settings.process}#{int(self.started_wall_time * 1000)}"
        self.name = ProcessName(name)
        self.clock = read_boottime
        self.is_stopping = False
        self.events = events
        self.listeners: list[HTTPListener] = []
        self.api_port = 0
        self.view = TopologyView()
        self.proxy_selector = StoreProxySelector(
            self.clock,
            lambda: self.presence_publisher.presence.list_addresses(self.name),
            random.Random(name),
        )
        self.store = StoreClient(
            settings.store_address, proxy_selector=self.proxy_selector
        )
        self.store_proxy = StoreProxy(self.store, self.proxy_selector)
        self.pool = ConnectionPool()
        self.resources = SharedResources(
            settings,
            self.name,
            self.store,
            self.pool,
            self.view,
            self.clock,
            self.get_wall_time,
        )
        self.metrics = GatewayMetrics()
        self.presence_publisher = PresencePublisher(
            self.name,
            settings,
            self.store,
            self.view,
            clock=self.clock,
            wall_clock=self.get_wall_time,
            list_unpublished_versions=lambda: (
                self.control.load_dispatcher.list_unpublished_versions()
            ),
        )
        self.presence = self.presence_publisher.presence
        self.configuration: ConfigurationWatcher | None = None
        self.admission: AdmissionController | None = None
        self.revocation = RevocationMonitor(self._find_key_error)
        self._make_upstream_side()
        self._make_jobs()
        self._make_control()
        self._make_platform_doors()
        if settings.api_address:
            self._make_api_door()

    def get_wall_time(self) -> float:
        """Seconds since the epoch, by the wall clock at the start.

        The wall clock itself may jump while the process runs.
        """
        return self.started_wall_time + self.clock() - self.started_at

    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        if self.is_stopping or not self.jobs.is_loaded():
            return False
        ages = []
        if self.settings.client_address:
            if not self.topology_watcher.is_loaded():
                return False
            ages.append(self.topology_watcher.operator_consumer.get_staleness())
        if self.configuration is not None:
            if not self.configuration.is_loaded:
                return False
            ages.append(self.configuration.consumer.get_staleness())
        return max(ages, default=0.0) < READY_AGE

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        for listener in self.listeners:
            port = listener.listen()
            if listener.address == self.settings.api_address:
                self.api_port = port
            elif listener.address == self.settings.peer_address:
                host = listener.address.rpartition(":")[0]
                self.presence_publisher.address = f"{host}:{port}"
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
        for listener in self.listeners:
            await listener.close()
        self.pool.close()
        self.store.close()

    # Parts

    def _list_work(self) -> list[Callable[[], Awaitable[None]]]:
        work: list[Callable[[], Awaitable[None]]] = [
            self.topology_watcher.run,
            self.jobs.run,
            self.control.run,
            self.owner.run,
            self.presence_publisher.consumer.run,
            self.presence_publisher.run,
            self._probe_store,
        ]
        if self.configuration is not None:
            work += [self.configuration.run, self._check_keys]
        return work

    def _make_upstream_side(self) -> None:
        side = make_upstream_components(
            self.resources,
            list_possibly_live=self.presence.list_possibly_live,
            on_change=self._note_topology,
            on_executed=self._count_run,
        )
        self.balancer, self.topology_watcher = side.balancer, side.topology_watcher
        self.sender, self.stream_proxy = side.sender, side.stream_proxy

    def _make_jobs(self) -> None:
        self.assignment = PartitionAssignment(self.name, self.presence)
        self.jobs = make_job_store(
            self.resources,
            assignment=self.assignment,
            on_change=self._note_job,
            may_load=self._may_load_jobs,
        )
        dependencies = JobDependencies(
            view=self.view,
            balancer=self.balancer,
            item_runner=ItemRunner(self.balancer, self.pool),
            sender=self.sender,
            store=self.jobs,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.owner = JobManager(
            self.name,
            dependencies,
            self.presence,
            assignment=self.assignment,
            clock=self.clock,
            result_lifetime=self.settings.result_lifetime,
            is_withdrawn=self._is_withdrawn,
        )

    def _make_control(self) -> None:
        self.control = make_control(
            self.resources,
            balancer=self.balancer,
            presence_publisher=self.presence_publisher,
        )

    def _make_platform_doors(self) -> None:
        settings = self.settings
        handlers = ClientHandlers(
            HandlerDependencies(
                view=self.view,
                topology_watcher=self.topology_watcher,
                sender=self.sender,
                stream_proxy=self.stream_proxy,
                job_store=self.jobs,
                clock=self.clock,
                wall_clock=self.get_wall_time,
                metrics=self.metrics,
                choose_first_owner=self.owner.choose_first_owner,
                key_bound=settings.key_bound,
                fails_closed=settings.fails_closed,
                peer_client=PeerClient(
                    self.name, self.assignment, self.presence, self.pool
                ),
            )
        )
        self.client_listener = self._add_door(handlers.handle, settings.client_address)
        self._add_door(self._answer_ready, settings.ready_address)
        self._add_door(self._answer_metrics, settings.metrics_address)
        self.client_handlers = handlers
        self._add_door(self._answer_peer, settings.peer_address)

    def _add_door(
        self,
        handler: Callable[[ClientRequest], Awaitable[Response | StreamingResponse]],
        address: str,
    ) -> HTTPListener | None:
        if not address:
            return None
        listener = HTTPListener(
            handler, address, PLATFORM_CODEC, idle_timeout=IDLE_TIMEOUT
        )
        self.listeners.append(listener)
        return listener

    def _make_api_door(self) -> None:
        settings = self.settings
        self.configuration = ConfigurationWatcher(
            self.store,
            self.view,
            clock=self.clock,
            key_bound=settings.key_bound,
            read_upstream_age=self.topology_watcher.upstream_consumer.get_staleness,
            on_change=self.revocation.cancel_revoked,
        )
        self.admission = AdmissionController(
            self._count_places, self.clock, maximum_open=settings.max_open_calls
        )
        dependencies = ApiDependencies(
            settings=settings,
            view=self.view,
            configuration_watcher=self.configuration,
            sender=self.sender,
            stream_proxy=self.stream_proxy,
            jobs=self.jobs,
            admission=self.admission,
            revocation=self.revocation,
            deduplicator=CallDeduplicator(self.store, parts=settings.store_parts),
            metrics=self.metrics,
            clock=self.clock,
            wall_clock=self.get_wall_time,
            choose_first_owner=self.owner.choose_first_owner,
            is_stopping=lambda: self.is_stopping,
        )
        operators = OperatorHandlers(
            dependencies, self.events, self._read_state, self._render_metrics
        )
        listener = HTTPListener(
            ApiHandlers(dependencies, operators).handle,
            settings.api_address,
            API_CODEC,
            idle_timeout=IDLE_TIMEOUT,
            ssl_options=make_ssl_options(settings),
        )
        listener.max_body_bytes = settings.max_body_bytes
        self.listeners.append(listener)

    # Callbacks

    async def _answer_ready(self, request: ClientRequest) -> Response:
        return Response(200 if self.is_ready() else 503)

    async def _answer_peer(
        self, request: ClientRequest
    ) -> Response | StreamingResponse:
        if not is_store_call(request.path):
            return await self.client_handlers.handle_forwarded(request)
        try:
            return await self.store_proxy.handle(request)
        except BuckthornstileError as error:
            log_event(
                "store.call_not_passed_on",
                reason=error.message,
                verdict=error.verdict.value,
            )
            return make_error_response(error)

    async def _answer_metrics(self, request: ClientRequest) -> Response:
        text = self._render_metrics()
        return Response(200, text.encode(), (("Content-Type", "text/plain"),))

    def _render_metrics(self) -> str:
        configuration = self.configuration
        revision = configuration.current.revision if configuration else 0
        gauges = {
            "open_requests": sum(
                listener.open_request_count for listener in self.listeners
            ),
            "jobs_running": self.owner.count_running(),
            "jobs_kept": len(self.jobs.table.jobs),
            "upstreams_known": len(self.view.upstreams),
            "configuration_version": getattr(self.view.configuration, "version", 0),
            "configuration_revision": revision,
            "configuration_age_seconds": (
                self.topology_watcher.operator_consumer.get_staleness()
            ),
            "jobs_age_seconds": self.jobs.get_staleness(),
            "holds_lease": float(self.control.lease_manager.lease.is_held()),
            "ready": float(self.is_ready()),
        }
        return self.metrics.render(self.events.counters, gauges)

    def _read_state(self) -> ProcessState:
        fold = self.control.lease_manager.duty_state
        return ProcessState(
            ready=self.is_ready(),
            stopping=self.is_stopping,
            is_holder=self.control.lease_manager.lease.is_held(),
            term=fold.term,
            holder=fold.holder,
            jobs=self.owner.count_running(),
            entries=tuple(self.presence.list_live()),
        )

    def _note_topology(self) -> None:
        self.balancer.prune()
        configuration = self.view.configuration
        if configuration is not None and self.client_listener is not None:
            limits = configuration.limits
            self.client_listener.max_body_bytes = limits.max_body_bytes
            self.client_listener.max_header_bytes = limits.max_header_bytes

    def _may_load_jobs(self) -> bool:
        """Whether what calls need is read, so that jobs may be loaded beside it."""
        is_read = (
            self.topology_watcher.operator_consumer.is_loaded
            and self.topology_watcher.upstream_consumer.is_loaded
        )
        return is_read and self.presence_publisher.is_presence_known()

    def _note_job(self, job: Job) -> None:
        self.owner.on_job_changed(job)

    def _count_run(self, account: AccountId, age: float) -> None:
        self.presence_publisher.counter.count(account, self.get_wall_time() - age)

    def _count_places(self, service: ServiceName) -> int:
        """Counts this entry's share of the places of a service's upstreams."""
        slots = sum(
            upstream.slots for upstream in self.view.list_available_upstreams(service)
        )
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
        await self.proxy_selector.run_probes(self.store.probe)

    async def _check_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_CHECK_PERIOD)
            self.revocation.cancel_revoked()

    async def _drain(self) -> None:
        log_event(
            "process.drain",
            open=sum(listener.open_request_count for listener in self.listeners),
        )
        self.is_stopping = True
        self.presence_publisher.is_leaving = True
        self.owner.is_leaving = True
        self.control.lease_manager.is_leaving = True
        for listener in self.listeners:
            if listener.handler != self._answer_ready:
                listener.start_draining()
        await self.owner.checkpoint_all()
        await self.presence_publisher.publish()
        began = self.clock()
        end = began + self.settings.stop_grace - STOP_MARGIN
        await self._finish_work(began + DRAIN_TIME, end)
        # From here on no request is read that could not be answered any more.
        for listener in self.listeners:
            listener.stop_reading()
        await self._finish_work(self.clock(), end)
        await self.presence_publisher.publish()
        for listener in self.listeners:
            await listener.close()

    async def _finish_work(self, earliest: float, latest: float) -> None:
        """Waits until nothing is open, between two times."""
        while self.clock() < latest:
            open_work = sum(listener.open_request_count for listener in self.listeners)
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
    events = set_up_event_logging(settings.process)

    async def run() -> None:
        await Entry(settings, events).run()

    asyncio.run(run())
