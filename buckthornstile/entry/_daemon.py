"""The entry process: connects its components and runs them."""

import asyncio
import random
import resource
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
from buckthornstile.configuration import KeyState
from buckthornstile.entry._client_guard import ClientGuard, make_client_guard
from buckthornstile.entry._components import (
    SharedResources,
    make_job_store,
    make_lease_holder_tasks,
    make_upstream_components,
)
from buckthornstile.entry._http_listener import HTTPCodec, HTTPListener
from buckthornstile.entry._planned_stop import PlannedStop
from buckthornstile.entry._presence_publisher import PresencePublisher
from buckthornstile.gateway import (
    ClientHandlers,
    EngineShares,
    GatewayMetrics,
    HandlerDependencies,
    ItemRunner,
    JobDependencies,
    JobFreshness,
    JobManager,
    KeyChecker,
    PartitionAssignment,
    PeerClient,
    RateRecord,
    StepScheduler,
    StoreProxy,
    StoreProxySelector,
    make_error_response,
)
from buckthornstile.http_client import ConnectionPool, ResponseLimit
from buckthornstile.jobs import Job
from buckthornstile.logs import EventLogHandler, log_event, set_up_event_logging
from buckthornstile.messages import ClientRequest, Response, StreamingResponse
from buckthornstile.metrics import render_metrics
from buckthornstile.platform import (
    StoreClient,
    decode_request,
    encode_response,
    identify_responder,
    is_store_call,
    read_node_settings,
)
from buckthornstile.settings import EntrySettings
from buckthornstile.shares import ShareMode, ShareRecord
from buckthornstile.topology import TopologyView

IDLE_TIMEOUT = 60.0
"""Seconds; longer than any idle timeout that clients are configured with."""
MAX_READY_STALENESS = 2.5
"""Seconds without the store after which an entry is not ready for new clients."""
RESTART_DELAY = 0.2
"""Seconds before a background task that returned or failed is started again."""
JOB_MEMORY_DIVISOR = 2
"""Unfinished jobs may take this part of ``max_client_bytes`` in addition: with what is
held for clients, the responses and an idle process, this fills the smallest VM."""
KEY_CHECK_INTERVAL = 0.2
"""Seconds between two checks for running work whose key is no longer verifiable."""
PLATFORM_CODEC = HTTPCodec(decode_request, encode_response, make_error_response)
API_CODEC = HTTPCodec(decode_api_request, encode_api_response, make_api_error)


class Entry:
    """The entry process with its listeners and background tasks.

    Args:
        settings: Addresses, limits and intervals of the entry.
        event_handler: Log handler that writes the event lines and counts them.
    """

    def __init__(self, settings: EntrySettings, event_handler: EventLogHandler) -> None:
        self.settings = settings
        self.started_wall_time = read_wall_time()
        self.started_at = read_boottime()
        name = f"{settings.process}#{int(self.started_wall_time * 1000)}"
        self.name = ProcessName(name)
        self.clock = read_boottime
        self.is_stopping = False
        self.event_handler = event_handler
        self.listeners: list[HTTPListener] = []
        self.client_guard = make_entry_guard(settings, event_handler)
        self.api_port = 0
        self.api_listener: HTTPListener | None = None
        self.view = TopologyView()
        self.proxy_selector = StoreProxySelector(
            self.clock,
            lambda: self.presence_publisher.presence.list_addresses(self.name),
            random.Random(name),
        )
        self.store = StoreClient(
            settings.store_address,
            proxy_selector=self.proxy_selector,
            max_record_bytes=settings.max_record_bytes,
        )
        self.store_proxy = StoreProxy(self.store, self.proxy_selector)
        self.pool = ConnectionPool(
            limit=ResponseLimit(
                max_response_bytes=settings.max_response_bytes,
                max_total_bytes=settings.max_buffered_bytes,
            )
        )
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
                self.lease_holder_tasks.load_dispatcher.list_unpublished_versions()
            ),
            make_rate_record=self._make_rate_record,
            on_rate_record=self._apply_rate_record,
            make_share_record=self._make_share_record,
            on_share_record=lambda record: self.shares.apply_record(record),
            make_admission_record=lambda: self.admission_gate.make_record(),
            on_admission_record=lambda record: self.admission_gate.apply_record(record),
        )
        self.presence = self.presence_publisher.presence
        self.configuration: ConfigurationWatcher | None = None
        self.admission: AdmissionController | None = None
        self.revocation = RevocationMonitor(self._find_key_error)
        self._make_upstream_components()
        self._make_job_components()
        self._make_lease_holder_tasks()
        self._add_platform_listeners()
        if settings.api_address:
            self._add_api_listener()

    def get_wall_time(self) -> float:
        """Returns seconds since the epoch.

        They are counted from the wall time at the start of the process, as the wall
        clock itself may jump while the process runs.
        """
        return self.started_wall_time + self.clock() - self.started_at

    def is_ready(self) -> bool:
        """Whether the external load balancer may send new clients to this entry."""
        if self.is_stopping or not self.job_store.is_loaded():
            return False
        if not self.crash_log.consumer.is_loaded or not self.stream_versions.is_ready():
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
        return max(ages, default=0.0) < MAX_READY_STALENESS

    async def run(self) -> None:
        """Serves requests until SIGTERM, then drains and stops."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._check_settings_file)
        for listener in self.listeners:
            port = listener.listen()
            # Two addresses may be equal if both leave the port to the system.
            if listener is self.api_listener:
                self.api_port = port
            elif listener is self.peer_listener:
                host = listener.address.rpartition(":")[0]
                self.presence_publisher.peer_address = f"{host}:{port}"
        log_event(
            "process.start",
            name=self.name,
            failure_domain=self.settings.failure_domain,
            port=self.api_port,
        )
        tasks = [
            asyncio.create_task(self._keep_running(task))
            for task in self._list_background_tasks()
        ]
        try:
            await stop.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.job_manager.stop_all()
        log_event("process.stop", name=self.name)

    async def close(self) -> None:
        """Stops all jobs and closes all connections without a drain."""
        self.job_manager.stop_all()
        for listener in self.listeners:
            await listener.close()
        self.pool.close()
        self.store.close()

    # Components

    def _list_background_tasks(self) -> list[Callable[[], Awaitable[None]]]:
        tasks: list[Callable[[], Awaitable[None]]] = [
            self.topology_watcher.run,
            self.job_store.run,
            self.lease_holder_tasks.run,
            self.job_manager.run,
            self.presence_publisher.consumer.run,
            self.presence_publisher.run,
            self.crash_log.run,
            self.stream_versions.run,
            self._probe_store,
        ]
        if self.configuration is not None:
            tasks += [self.configuration.run, self._check_keys]
        return tasks

    def _make_upstream_components(self) -> None:
        components = make_upstream_components(
            self.resources,
            list_possibly_live=self.presence.list_possibly_live,
            list_live=self.presence.list_live,
            counters=self.event_handler.counters,
            on_change=self._on_topology_changed,
            on_executed=self._count_executed_request,
            count_waiting=lambda service: self.job_manager.count_waiting(service),
            is_holder=lambda: self.lease_holder_tasks.lease_manager.lease.is_held(),
        )
        self.balancer, self.topology_watcher = (
            components.balancer,
            components.topology_watcher,
        )
        self.sender, self.stream_proxy = components.sender, components.stream_proxy
        self.stream_versions = components.stream_versions
        self.crash_log = components.crash_log
        self.admission_gate = components.admission_gate

    def _make_job_components(self) -> None:
        self.assignment = PartitionAssignment(self.name, self.presence)
        self.job_store = make_job_store(
            self.resources,
            assignment=self.assignment,
            on_change=self._on_job_changed,
            may_load=self._may_load_jobs,
        )
        self.shares = EngineShares(
            self.name,
            self.balancer,
            mode=self.settings.share_engines,
            clock=self.clock,
            counters=self.event_handler.counters,
            request_publish=self.presence_publisher.request_publish,
        )
        self.scheduler = StepScheduler(self.shares, self.clock)
        dependencies = JobDependencies(
            view=self.view,
            balancer=self.balancer,
            item_runner=ItemRunner(self.balancer, self.pool),
            sender=self.sender,
            store=self.job_store,
            metrics=self.metrics,
            clock=self.clock,
            shares=self.shares,
            scheduler=self.scheduler,
            freshness=JobFreshness(self.job_store, self.view),
        )
        self.job_manager = JobManager(
            self.name,
            dependencies,
            self.presence,
            assignment=self.assignment,
            clock=self.clock,
            result_lifetime=self.settings.result_lifetime,
            get_key_state=self._get_key_state,
        )

    def _make_lease_holder_tasks(self) -> None:
        self.lease_holder_tasks = make_lease_holder_tasks(
            self.resources,
            balancer=self.balancer,
            presence_publisher=self.presence_publisher,
        )

    def _add_platform_listeners(self) -> None:
        settings = self.settings
        handlers = ClientHandlers(
            HandlerDependencies(
                view=self.view,
                topology_watcher=self.topology_watcher,
                sender=self.sender,
                stream_proxy=self.stream_proxy,
                job_store=self.job_store,
                wall_clock=self.get_wall_time,
                metrics=self.metrics,
                choose_first_owner=self.job_manager.choose_first_owner,
                key_checker=KeyChecker(
                    self.topology_watcher,
                    clock=self.clock,
                    key_bound=settings.key_bound,
                    fails_closed=settings.fails_closed,
                ),
                max_job_bytes=settings.max_client_bytes // JOB_MEMORY_DIVISOR,
                peer_client=PeerClient(
                    self.name, self.assignment, self.presence, self.pool
                ),
            )
        )
        self.client_listener = self._add_listener(
            handlers.handle, settings.client_address
        )
        self.ready_listener = self._add_listener(
            self._handle_ready, settings.ready_address, is_internal=True
        )
        self._add_listener(
            self._handle_metrics, settings.metrics_address, is_internal=True
        )
        self.client_handlers = handlers
        self.peer_listener = self._add_listener(
            self._handle_peer, settings.peer_address, is_internal=True
        )

    def _add_listener(
        self,
        handler: Callable[[ClientRequest], Awaitable[Response | StreamingResponse]],
        address: str,
        *,
        is_internal: bool = False,
    ) -> HTTPListener | None:
        if not address:
            return None
        listener = HTTPListener(
            handler,
            address,
            PLATFORM_CODEC,
            idle_timeout=IDLE_TIMEOUT,
            guard=self.client_guard,
            is_internal=is_internal,
        )
        self.listeners.append(listener)
        return listener

    def _add_api_listener(self) -> None:
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
            self._get_concurrency_limit,
            self.clock,
            maximum_open=settings.max_open_calls,
        )
        dependencies = ApiDependencies(
            settings=settings,
            view=self.view,
            configuration_watcher=self.configuration,
            sender=self.sender,
            stream_proxy=self.stream_proxy,
            jobs=self.job_store,
            admission=self.admission,
            revocation=self.revocation,
            deduplicator=CallDeduplicator(self.store, parts=settings.store_parts),
            metrics=self.metrics,
            clock=self.clock,
            wall_clock=self.get_wall_time,
            choose_first_owner=self.job_manager.choose_first_owner,
            is_stopping=lambda: self.is_stopping,
        )
        operators = OperatorHandlers(
            dependencies, self.event_handler, self._get_state, self._render_metrics
        )
        listener = HTTPListener(
            ApiHandlers(dependencies, operators).handle,
            settings.api_address,
            API_CODEC,
            idle_timeout=IDLE_TIMEOUT,
            ssl_options=make_ssl_options(settings),
            guard=self.client_guard,
        )
        listener.max_body_bytes = settings.max_body_bytes
        self.listeners.append(listener)
        self.api_listener = listener

    # Callbacks

    async def _handle_ready(self, request: ClientRequest) -> Response:
        return Response(200 if self.is_ready() else 503)

    async def _handle_peer(
        self, request: ClientRequest
    ) -> Response | StreamingResponse:
        if not is_store_call(request.path):
            response = await self.client_handlers.handle_forwarded(request)
            return identify_responder(response, self.name)
        try:
            return await self.store_proxy.handle(request)
        except BuckthornstileError as error:
            log_event(
                "store.call_not_passed_on",
                reason=error.message,
                verdict=error.verdict.value,
            )
            return make_error_response(error)

    async def _handle_metrics(self, request: ClientRequest) -> Response:
        text = self._render_metrics()
        return Response(200, text.encode(), (("Content-Type", "text/plain"),))

    def _render_metrics(self) -> str:
        configuration = self.configuration
        revision = configuration.current.revision if configuration else 0
        gauges = {
            "open_requests": self._count_open_requests(),
            "jobs_running": self.job_manager.count_running(),
            "jobs_held": self.job_manager.count_held(),
            "jobs_kept": len(self.job_store.table.jobs),
            "upstreams_known": len(self.view.upstreams),
            "requests_quarantined": self.crash_log.quarantine.count_quarantined(
                self.get_wall_time()
            ),
            "stream_versions_kept": self.stream_versions.table.count_streams(),
            "upstreams_leaving": self.view.count_leaving(),
            "upstreams_leaving_by_response": self.balancer.leaving.counts["response"],
            "upstreams_leaving_by_entry": self.balancer.leaving.counts["entry"],
            "upstreams_rate_limited": self.balancer.rate_limits.count_limited(),
            "client_bytes_held": self.client_guard.memory.total_bytes,
            "client_connections": len(self.client_guard.connections),
            "client_reads_paused": self.client_guard.paused_count,
            "engine_slots_own": self.shares.count_own_slots(),
            "engine_shares_in_effect": self.shares.count_services_in_effect(),
            "configuration_version": getattr(self.view.configuration, "version", 0),
            "configuration_revision": revision,
            "configuration_age_seconds": (
                self.topology_watcher.operator_consumer.get_staleness()
            ),
            "jobs_age_seconds": self.job_store.get_staleness(),
            "holds_lease": float(self.lease_holder_tasks.lease_manager.lease.is_held()),
            "ready": float(self.is_ready()),
        }
        text = self.metrics.render(self.event_handler.counters, gauges)
        return text + render_metrics(counters=self.balancer.placement.counters)

    def _get_state(self) -> ProcessState:
        duty_state = self.lease_holder_tasks.lease_manager.duty_state
        return ProcessState(
            ready=self.is_ready(),
            stopping=self.is_stopping,
            is_holder=self.lease_holder_tasks.lease_manager.lease.is_held(),
            term=duty_state.term,
            holder=duty_state.holder,
            jobs=self.job_manager.count_running(),
            entries=tuple(self.presence.list_live()),
        )

    def _on_topology_changed(self) -> None:
        self.balancer.prune()
        configuration = self.view.configuration
        if configuration is not None and self.client_listener is not None:
            limits = configuration.limits
            self.client_listener.max_body_bytes = limits.max_body_bytes
            self.client_listener.max_header_bytes = limits.max_header_bytes
            self.client_guard.header_timeout = limits.header_timeout
            self.client_guard.idle_timeout = limits.idle_timeout

    def _make_rate_record(self) -> RateRecord | None:
        record = self.balancer.rate_limits.make_record(
            self.balancer.list_limited_services()
        )
        return self.balancer.leaving.add_departures(record)

    def _apply_rate_record(self, record: RateRecord) -> None:
        self.balancer.rate_limits.apply_record(record)
        self.balancer.leaving.apply_record(record)

    def _make_share_record(self) -> ShareRecord | None:
        if self.shares.table.mode is ShareMode.OFF:
            return None
        try:
            section = self.shares.make_section(self.scheduler.list_demands())
        except Exception as error:
            # The presence of this entry must be published anyway.
            self.shares.suspend(error)
            return None
        return ShareRecord(self.name, section) if section is not None else None

    def _may_load_jobs(self) -> bool:
        """Whether the topology and the presence of all entries are loaded.

        Jobs are loaded only after them, as calls need both.
        """
        is_topology_loaded = (
            self.topology_watcher.operator_consumer.is_loaded
            and self.topology_watcher.upstream_consumer.is_loaded
        )
        return is_topology_loaded and self.presence_publisher.is_presence_known()

    def _on_job_changed(self, job: Job) -> None:
        self.job_manager.on_job_changed(job)

    def _count_executed_request(self, account: AccountId, age: float) -> None:
        """Counts a request that started ``age`` seconds ago in its usage window."""
        self.presence_publisher.usage_counter.count(account, self.get_wall_time() - age)

    def _get_concurrency_limit(self, service: ServiceName) -> int:
        """Returns this entry's share of the slots of a service's upstreams."""
        slot_count = sum(
            upstream.slots for upstream in self.view.list_available_upstreams(service)
        )
        entry_count = max(1, len(self.presence.list_live()))
        return max(1, -(-slot_count // entry_count))

    def _get_key_state(self, key: KeyId) -> KeyState:
        if self.configuration is None:
            return KeyState.UNVERIFIED
        return self.configuration.get_key_state(key)

    def _find_key_error(self, key: KeyId) -> BuckthornstileError | None:
        if self.configuration is None or not key:
            return None
        return find_key_error(self.configuration, key)

    def _check_settings_file(self) -> None:
        """Logs whether the settings file is valid and differs from the settings in use.

        The process keeps its settings until it is restarted.
        """
        try:
            settings = read_node_settings()
        except BuckthornstileError as error:
            log_event("process.reload_failed", reason=error.message)
            return
        log_event("process.reload", changed=settings != self.settings)

    # Tasks

    async def _keep_running(self, task: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await task()
            except Exception as error:
                log_event("task.failed", task=task.__qualname__, reason=repr(error))
            await asyncio.sleep(RESTART_DELAY)

    async def _probe_store(self) -> None:
        await self.proxy_selector.run_probes(self.store.probe)

    async def _check_keys(self) -> None:
        while True:
            await asyncio.sleep(KEY_CHECK_INTERVAL)
            self.revocation.cancel_revoked()

    async def _drain(self) -> None:
        self.is_stopping = True
        stop = PlannedStop(
            clock=self.clock,
            listeners=self.listeners,
            ready_listener=self.ready_listener,
            job_manager=self.job_manager,
            presence_publisher=self.presence_publisher,
            lease_manager=self.lease_holder_tasks.lease_manager,
        )
        await stop.run(self.settings.stop_grace)

    def _count_open_requests(self) -> int:
        return sum(listener.open_request_count for listener in self.listeners)


def make_entry_guard(
    settings: EntrySettings, event_handler: EventLogHandler
) -> ClientGuard:
    """Returns the guard that all listeners of an entry share."""
    descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_connections = settings.max_client_connections
    if descriptor_limit != resource.RLIM_INFINITY:
        # The other half is left for upstreams, other entries, the store and files.
        max_connections = min(max_connections, descriptor_limit // 2)
    return make_client_guard(
        max_bytes=settings.max_client_bytes,
        max_connections=max_connections,
        min_body_rate=settings.min_body_rate,
        body_grace=settings.body_grace,
        counters=event_handler.counters,
    )


def make_ssl_options(settings: EntrySettings) -> ssl.SSLContext | None:
    """Returns the TLS context of the API listener, or None if TLS is not configured."""
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context


def run_entry(settings: EntrySettings) -> None:
    """Runs an entry until SIGTERM.

    Args:
        settings: Settings of the entry.
    """
    event_handler = set_up_event_logging(settings.process)

    async def run() -> None:
        await Entry(settings, event_handler).run()

    asyncio.run(run())
