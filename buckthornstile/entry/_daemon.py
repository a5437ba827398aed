"""The entry's process: wiring of its parts, and its planned stop."""

import asyncio
import contextlib
import json
import random
import secrets
import signal
from collections.abc import Sequence

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest

from buckthornstile.base import (
    NO_TERM,
    BuckthornstileError,
    ErrorCode,
    Incarnation,
    Offset,
    Role,
    Term,
    UpstreamId,
)
from buckthornstile.clock import read_boottime, read_wall_time
from buckthornstile.configuration import ConfigurationFold
from buckthornstile.control import ControlRunner, make_control_core
from buckthornstile.entry._calls import Call, authenticate_call, parse_call
from buckthornstile.entry._changes import ChangeLog
from buckthornstile.entry._dispatcher import Dispatcher
from buckthornstile.entry._duties import SnapshotDuty, WeightDuty
from buckthornstile.entry._fleet import Fleet
from buckthornstile.entry._handlers import make_application
from buckthornstile.entry._links import AgentLink
from buckthornstile.entry._lots import LotDesk
from buckthornstile.entry._scale import ScaleDuty
from buckthornstile.entry._status import (
    make_explanation,
    make_status,
    render_entry_metrics,
)
from buckthornstile.entry._tracked_log import TrackedLog
from buckthornstile.lease import choose_candidates
from buckthornstile.limits import Admission, RetryBudget
from buckthornstile.logs import set_up_logs
from buckthornstile.metrics import CounterName, Counters, Histograms, Measure
from buckthornstile.orders import OrderAnswer, SendAgentOrder
from buckthornstile.platform import make_platform_ports
from buckthornstile.ports import PlatformPorts
from buckthornstile.records import (
    ConfigurationSnapshot,
    Record,
    UsageBatch,
    encode_record,
)
from buckthornstile.settings import EntrySettings
from buckthornstile.usage import UsageCounter
from buckthornstile.wire import (
    Heartbeat,
    Identity,
    Order,
    RelayedRecord,
    make_client_context,
    make_server_context,
)

NOT_READY_SECONDS = 1.0
BODY_TIMEOUT_SECONDS = 30.0
IDLE_TIMEOUT_SECONDS = 300.0
MAX_LOG_LAG_SHOWN = 1e9


class Entry:
    """One entry: callers' and trainers' way in.

    Args:
        settings: The entry's settings.
        ports: The platform.
        rng: The source of random choices.
    """

    def __init__(
        self, settings: EntrySettings, *, ports: PlatformPorts, rng: random.Random
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.secret = settings.deployment_secret.get_secret_value()
        self.connect_timeout = settings.connect_timeout
        self.heartbeat_timeout = settings.heartbeat_timeout
        self.ssl_context = make_client_context(
            settings.tls_certificate, settings.tls_key, settings.tls_ca
        )
        self.identity = Identity(
            settings.process,
            Role.ENTRY,
            Incarnation(f"{settings.process}-{secrets.token_hex(6)}"),
            settings.failure_domain,
        )
        self.read_clock = read_boottime
        self.stopping = False
        self.counters = Counters()
        self.histograms = Histograms()
        self.changes = ChangeLog(read_wall=read_wall_time)
        self.configuration = ConfigurationFold()
        self.log = TrackedLog(ports.log, read_clock=self.read_clock)
        self.admission = Admission(maximum_open=settings.max_open_requests)
        self.usage = UsageCounter(
            self.identity.incarnation, interval=settings.usage_batch_interval
        )
        self.fleet = Fleet(
            self, subset_size=settings.upstream_subset, on_change=self._note_upstream
        )
        self.dispatcher = Dispatcher(
            self.fleet,
            incarnation=self.identity.incarnation,
            usage=self.usage,
            get_configuration=lambda: self.configuration.current,
            read_clock=self.read_clock,
            rng=rng,
            budget=RetryBudget(ratio=settings.retry_budget),
        )
        self.lots = LotDesk(self)
        self.control = make_control_core(
            settings.process,
            self.identity.incarnation,
            rng,
            duration=settings.lease_duration,
            window=settings.usage_window,
            grace=settings.usage_seal_delay,
            snapshot_seconds=settings.snapshot_interval,
            order_timeout=settings.order_timeout,
            margin=settings.lease_margin,
            renewal_interval=settings.lease_renewal_interval,
        )
        tracked = PlatformPorts(
            self.log, ports.vm_list, ports.orders, ports.usage_reports, ports.weights
        )
        self.runner = ControlRunner(
            tracked,
            self.control,
            self._send_agent_order,
            listeners=[self._on_record],
            read_wait=settings.log_wait,
        )
        self.weights = WeightDuty(self)
        self.snapshots = SnapshotDuty(self)
        self.scale = ScaleDuty(self)
        self._sequence = 0
        self._agent_term = NO_TERM
        self._holder = ""

    # What links need

    def make_heartbeat(self) -> Heartbeat:
        """Makes the next heartbeat."""
        self._sequence += 1
        return Heartbeat(
            sequence=self._sequence,
            sent_at=self.read_clock(),
            configuration_offset=self.get_configuration_offset(),
            term=max(self.control.fold.lease.term, self._agent_term),
            log_lag=min(self.log.get_lag(), MAX_LOG_LAG_SHOWN),
        )

    def get_configuration_offset(self) -> Offset:
        """Gives the offset of the configuration in force here."""
        return self.configuration.current.through

    def get_relay(self, after: Offset) -> Sequence[RelayedRecord]:
        """Gives the configuration records after an offset."""
        return self.configuration.records_after(after)

    def merge_relay(self, records: Sequence[RelayedRecord]) -> Offset | None:
        """Takes in configuration that an agent knows and this entry does not."""
        outcome = self.configuration.merge_relay(records)
        if outcome.applied:
            self._on_configuration()
        return outcome.missing_after

    def on_link_change(self, link: AgentLink) -> None:
        """Notes that an agent was connected or lost."""
        state = "connected" if link.is_up else "lost"
        self.changes.note(f"agent.{state}", f"the agent is {state}", link.vm.upstream)
        self.fleet.apply_configuration(self.configuration.current)
        self.lots.wake()

    def note_term(self, term: Term) -> None:
        """Remembers the newest term that an agent has named."""
        self._agent_term = max(self._agent_term, term)

    def _note_upstream(self, message: str, upstream: UpstreamId) -> None:
        self.changes.note("upstream.changed", message, upstream)

    # Records of the log

    def _on_record(self, offset: Offset, record: Record, read_at: float) -> None:
        revision = self.configuration.current.revision
        self.configuration.apply(offset, record)
        if self.configuration.current.revision != revision:
            self._on_configuration()
        if isinstance(record, UsageBatch):
            self._on_usage_batch(record)
        if isinstance(record, ConfigurationSnapshot):
            self.snapshots.on_snapshot(read_at)

    def _on_configuration(self) -> None:
        current = self.configuration.current
        self.changes.note(
            "configuration.in_force", f"revision {current.revision} is in force"
        )
        self.fleet.apply_configuration(current)
        self.fleet.broadcast_heartbeat()
        self.lots.on_configuration(current)

    def _on_usage_batch(self, batch: UsageBatch) -> None:
        if batch.entry != self.identity.incarnation:
            return
        through = self.usage.confirm(batch)
        for link in self.fleet.links.values():
            link.confirm_usage(self.identity.incarnation, through)

    # Calls

    @property
    def is_ready(self) -> bool:
        """Whether callers should come here."""
        connected = any(link.is_up for link in self.fleet.links.values())
        configured = self.configuration.current.revision > 0
        return connected and configured and not self.stopping

    def admit(self, call: Call) -> None:
        """Admits a call, or refuses it early.

        Raises:
            BuckthornstileError: With ``QUEUE_FULL`` and a retry hint.
        """
        result = self.admission.admit(
            call.account, self.read_clock(), maximum_open=call.maximum_open
        )
        if not result.admitted:
            raise BuckthornstileError(
                result.code or ErrorCode.QUEUE_FULL,
                "too many requests are open",
                retry_after=result.retry_after,
            )

    def release(self, call: Call) -> None:
        """Notes the end of an admitted call."""
        self.admission.release(call.account, self.read_clock())

    def record(self, measure: Measure, call: Call, value: float) -> None:
        """Records a measure of a call, by client account and class."""
        self.histograms.record(
            measure, value, account=call.account, request_class=call.request_class
        )

    def count_error(self, error: BuckthornstileError) -> None:
        """Counts an error that a caller was answered with."""
        self.counters.increment(
            CounterName("errors"), code=error.code.value, verdict=error.verdict.value
        )

    def authenticate_trainer(self, request: HTTPServerRequest) -> Call:
        """Finds the client account of a trainer's request.

        Raises:
            BuckthornstileError: The key is missing, unknown or withdrawn.
        """
        call = parse_call(
            request.method or "POST",
            "/v1/lots",
            {},
            b"",
            default_timeout=self.settings.default_timeout,
            max_timeout=self.settings.max_timeout,
        )
        authorization = request.headers.get("Authorization")
        return authenticate_call(call, authorization, self.configuration.current)

    # Control

    async def _send_agent_order(self, order: SendAgentOrder) -> OrderAnswer:
        link = self.fleet.open_link(order.upstream)
        if link is None or not await link.wait_connected(order.timeout / 4):
            return OrderAnswer.NOT_SENT
        message = Order(
            order.order_id,
            order.term,
            order.action,
            version=order.version,
            timeout=order.timeout / 2,
        )
        try:
            result = await link.send_order(message, order.timeout)
        except (BuckthornstileError, TimeoutError):
            return OrderAnswer.UNKNOWN
        if result.accepted:
            return OrderAnswer.DONE
        self.weights.on_refused(order.upstream)
        return OrderAnswer.REFUSED

    async def follow_vm_list(self) -> None:
        """Reads the VM list again and again; an outage changes nothing."""
        while True:
            try:
                vms = await self.ports.vm_list.list_vms()
            except BuckthornstileError:
                self.counters.increment(CounterName("vm_list_failures"))
            else:
                self.fleet.on_vm_list(vms)
                self.fleet.apply_configuration(self.configuration.current)
                self._choose_candidates()
            await asyncio.sleep(self.settings.vm_list_interval)

    def _choose_candidates(self) -> None:
        entries = {*self.fleet.entries, self.identity.process}
        chosen = choose_candidates(sorted(entries), self.settings.control_candidates)
        self.runner.is_candidate = self.identity.process in chosen and not self.stopping

    async def watch_control(self) -> None:
        """Notes each change of the lease's holder."""
        while True:
            holder = self.control.fold.lease.holder
            if holder != self._holder:
                self._holder = holder
                term = self.control.fold.lease.term
                self.changes.note("lease.changed", f"term {term} began", holder)
            await asyncio.sleep(0.25)

    async def append_usage(self) -> None:
        """Appends usage batches until each has been read back."""
        while True:
            await asyncio.sleep(min(self.settings.usage_batch_interval, 0.25))
            await self._append_usage(final=False)

    async def _append_usage(self, *, final: bool) -> None:
        batch = self.usage.make_batch(self.read_clock(), final=final)
        if batch is None:
            return
        try:
            await self.log.append(encode_record(batch))
        except BuckthornstileError:
            self.counters.increment(CounterName("usage_append_failures"))

    # Status

    def make_status(self) -> dict[str, object]:
        """Makes what ``buckthornstile status`` shows."""
        return make_status(self)

    def make_explanation(self, subject: str = "") -> dict[str, object]:
        """Makes what ``buckthornstile explain`` shows, of one subject or all."""
        return make_explanation(self, subject)

    def render_metrics(self) -> str:
        """Renders the metrics for a scraper."""
        return render_entry_metrics(self)

    # Stop

    async def stop(self, server: HTTPServer) -> None:
        """Stops without cutting a request.

        The balancer sees that this entry is not ready, what is open is
        finished, lots are handed over, and usage reaches the log.
        """
        self.stopping = True
        self.changes.note("entry.stopping", "a planned stop has begun")
        self.runner.is_candidate = False
        deadline = self.read_clock() + self.settings.stop_timeout
        await asyncio.sleep(NOT_READY_SECONDS)
        server.stop()
        self.lots.hand_over()
        while self.admission.open and self.read_clock() < deadline:
            await asyncio.sleep(0.05)
        while not self.usage.is_settled and self.read_clock() < deadline:
            await self._append_usage(final=True)
            await asyncio.sleep(0.05)
        await self.runner.stop(timeout=max(deadline - self.read_clock(), 0.1))


async def serve_entry(settings: EntrySettings) -> None:
    """Serves until SIGTERM or SIGINT, then stops without cutting a request.

    Args:
        settings: The entry's settings.
    """
    ports = make_platform_ports(
        settings.platform_url,
        timeout=settings.platform_timeout,
        caller=settings.process,
    )
    entry = Entry(settings, ports=ports, rng=random.Random(secrets.randbits(64)))
    server = HTTPServer(
        make_application(entry),
        max_body_size=settings.max_body_bytes * 2,
        body_timeout=BODY_TIMEOUT_SECONDS,
        idle_connection_timeout=IDLE_TIMEOUT_SECONDS,
        ssl_options=make_server_context(settings.tls_certificate, settings.tls_key),
    )
    server.listen(settings.http_port, settings.address)
    port = next(iter(server._sockets.values())).getsockname()[1]
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    work = [
        asyncio.create_task(entry.follow_vm_list()),
        asyncio.create_task(entry.runner.run()),
        asyncio.create_task(entry.fleet.send_heartbeats(settings.heartbeat_interval)),
        asyncio.create_task(entry.lots.run()),
        asyncio.create_task(entry.append_usage()),
        asyncio.create_task(entry.watch_control()),
        asyncio.create_task(entry.weights.run()),
        asyncio.create_task(entry.snapshots.run()),
        asyncio.create_task(entry.scale.run()),
    ]
    print(json.dumps({"ready": True, "port": port}), flush=True)
    await stopping.wait()
    await entry.stop(server)
    for task in work:
        task.cancel()
    entry.fleet.stop()
    with contextlib.suppress(asyncio.CancelledError):
        await server.close_all_connections()


def run_entry(settings: EntrySettings) -> None:
    """Runs an entry's process.

    Args:
        settings: The entry's settings.
    """
    set_up_logs(settings.log_format, process=settings.process, level=settings.log_level)
    asyncio.run(serve_entry(settings))
