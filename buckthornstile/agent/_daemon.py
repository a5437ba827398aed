"""The agent's process: wiring of its parts, and its planned stop."""

import asyncio
import contextlib
import json
import secrets
import signal
import sys
from collections.abc import Sequence

from buckthornstile.agent._admission import AgentCondition
from buckthornstile.agent._calls import UpstreamCaller
from buckthornstile.agent._engine_monitor import EngineMonitor
from buckthornstile.agent._links import EntryLink, send_heartbeats
from buckthornstile.agent._orders import OrderDesk
from buckthornstile.agent._relay import FlushTimer
from buckthornstile.agent._scheduler import PAUSE_SECONDS, Scheduler
from buckthornstile.agent._weights import WeightFetcher
from buckthornstile.base import (
    UNKNOWN_VERSION,
    BuckthornstileError,
    Incarnation,
    Offset,
    RequestClass,
    Role,
    Term,
    WeightVersion,
)
from buckthornstile.clock import read_boottime
from buckthornstile.configuration import ConfigurationFold
from buckthornstile.guard import RequestTable
from buckthornstile.limits import ConcurrencyLimit, RampRestart
from buckthornstile.logs import log_change, set_up_logs
from buckthornstile.platform import make_platform_ports
from buckthornstile.ports import EnginePort, EngineState, PlatformPorts, UpstreamPort
from buckthornstile.queueing import FairQueue
from buckthornstile.records import decode_record, encode_record
from buckthornstile.samples import FinishedSamples
from buckthornstile.settings import AgentSettings, UpstreamKind
from buckthornstile.upstreams import make_engine, make_service
from buckthornstile.usage import UsageLedger
from buckthornstile.wire import (
    Connection,
    Goodbye,
    Heartbeat,
    Identity,
    PeerServer,
    RelayedRecord,
    make_client_context,
    make_server_context,
)

TICK_SECONDS = 0.25
PROGRESS_SECONDS = 1.0
MAX_LOG_LAG_SECONDS = 3.0
ENTRY_GONE_SECONDS = 15.0
USAGE_CONFIRM_SECONDS = 3.0


class Agent:
    """One agent: the only way to its upstream.

    Args:
        settings: The agent's settings.
        upstream: The upstream.
        ports: The platform.
    """

    def __init__(
        self, settings: AgentSettings, *, upstream: UpstreamPort, ports: PlatformPorts
    ) -> None:
        self.settings = settings
        self.upstream = upstream
        self.ports = ports
        self.read_clock = read_boottime
        self.configuration = ConfigurationFold()
        self.links: set[EntryLink] = set()
        self.draining = False
        self.refusals = 0
        self.pauses = 0
        self.log_reads = 0
        self.monitor: EngineMonitor | None = None
        engine: EnginePort | None = None
        if settings.upstream_kind is UpstreamKind.ENGINE:
            engine = upstream  # type: ignore[assignment]
            self.monitor = EngineMonitor(engine, on_change=self._on_engine_change)  # type: ignore[arg-type]
        self.identity = Identity(
            settings.process,
            Role.AGENT,
            Incarnation(f"{settings.process}-{secrets.token_hex(6)}"),
            settings.failure_domain,
            settings.upstream,
            settings.service,
        )
        self.fetcher = WeightFetcher(
            ports.weights,
            identity=self.identity,
            secret=settings.deployment_secret.get_secret_value(),
            ssl_context=make_client_context(
                settings.tls_certificate, settings.tls_key, settings.tls_ca
            ),
        )
        self.orders = OrderDesk(
            engine, fetcher=self.fetcher, read_clock=self.read_clock
        )
        now = self.read_clock()
        self.limit = ConcurrencyLimit(
            now, initial=settings.initial_limit, maximum=settings.maximum_limit
        )
        self.scheduler = self._make_scheduler(now)
        self._sequence = 0
        self._heard_entries: dict[Incarnation, float] = {}

    def _make_scheduler(self, now: float) -> Scheduler:
        settings = self.settings
        caller = UpstreamCaller(
            self.upstream,
            monitor=self.monitor,
            timer=FlushTimer(),
            max_answer_bytes=settings.max_answer_bytes,
        )
        return Scheduler(
            caller=caller,
            table=RequestTable(
                now,
                memory_seconds=settings.guard_memory,
                max_entries=settings.guard_capacity,
            ),
            queue=FairQueue(
                maximum_items=settings.queue_length,
                maximum_items_per_account=settings.queue_length,
            ),
            limit=self.limit,
            finished=FinishedSamples(
                maximum_samples=settings.max_finished_samples,
                maximum_age=settings.finished_sample_age,
            ),
            ledger=UsageLedger(settings.process),
            get_condition=self.get_condition,
            read_clock=self.read_clock,
        )

    @property
    def version(self) -> WeightVersion:
        """The weights that the upstream serves."""
        return UNKNOWN_VERSION if self.monitor is None else self.monitor.version

    def get_condition(self) -> AgentCondition:
        """Gives what requests are checked against now."""
        return AgentCondition(
            self.configuration.current,
            self.settings.failure_domain,
            self.settings.service,
            self.draining,
            self.version,
        )

    def make_heartbeat(self) -> Heartbeat:
        """Makes the next heartbeat."""
        self._sequence += 1
        scheduler = self.scheduler
        queued, queued_tokens = scheduler.queue.compute_work_ahead(RequestClass.TRAINER)
        incarnation = Incarnation("")
        if self.monitor is not None:
            incarnation = self.monitor.state.incarnation
        return Heartbeat(
            sequence=self._sequence,
            sent_at=self.read_clock(),
            configuration_offset=self.configuration.current.through,
            state=self._get_state(),
            engine_incarnation=incarnation,
            version=self.version,
            limit=float(self.limit.limit),
            running=scheduler.running_count,
            queued=queued,
            queued_tokens=int(queued_tokens),
            background_tokens=int(scheduler.queue.queued_cost - queued_tokens),
            tokens_per_second=(
                self.limit.tokens_per_second or scheduler.tokens_per_second
            ),
            term=self.orders.term,
            fetched_version=self.fetcher.fetched_version,
        )

    def _get_state(self) -> str:
        if self.draining:
            return "draining"
        return "loading" if self.orders.loading else "serving"

    def note_term(self, term: Term) -> None:
        """Takes in the newest term that a peer knows."""
        self.orders.note_term(term)

    def merge_relay(self, records: Sequence[RelayedRecord]) -> Offset | None:
        """Takes in configuration from a peer.

        Args:
            records: What the peer relayed.

        Returns:
            The offset to ask again from, if something was missing.
        """
        outcome = self.configuration.merge_relay(records)
        if outcome.applied:
            log_change(
                "configuration.in_force", "a revision came", revision=outcome.revision
            )
            self._on_configuration()
        return outcome.missing_after

    def _on_configuration(self) -> None:
        self.scheduler.on_configuration(self.configuration.current)
        self.scheduler.pump()

    def _on_engine_change(self, earlier: EngineState, state: EngineState) -> None:
        log_change(
            "engine.changed",
            "the engine's life or version changed",
            incarnation=state.incarnation,
            version=state.version,
        )
        if earlier.incarnation and earlier.incarnation != state.incarnation:
            self.limit.restart(RampRestart.ENGINE_INCARNATION, self.read_clock())
        self.scheduler.pump()

    # Connections

    async def serve_connection(self, connection: Connection) -> None:
        """Serves one entry's connection until it ends."""
        link = EntryLink(self, connection)
        assert connection.peer is not None
        if connection.peer.role is Role.AGENT:
            # Another agent only fetches weights; it needs no heartbeats.
            await link.serve()
            return
        self.links.add(link)
        try:
            await link.serve()
        finally:
            self.links.discard(link)
            self._heard_entries[link.incarnation] = self.read_clock()

    def count_refusal(self, error: BuckthornstileError) -> None:
        """Counts a connection that was refused or broke its protocol."""
        self.refusals += 1
        log_change(error.code, "a connection was refused or broken off")

    # Background work

    async def watch_pauses(self) -> None:
        """Notices that this process was paused, and lets it catch up first."""
        last = reported_at = self.read_clock()
        self.scheduler.note_tick(last)
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.read_clock()
            if now - last > PAUSE_SECONDS:
                self.pauses += 1
                log_change("process.paused", f"it stood still for {now - last:.1f} s")
            last = now
            self.scheduler.note_tick(now)
            self.scheduler.finished.expire(now)
            if now - reported_at >= PROGRESS_SECONDS:
                self.scheduler.report_progress(now)
                reported_at = now
            self.scheduler.pump()

    async def follow_log(self) -> None:
        """Reads the log itself while no entry stands near its end."""
        while True:
            await asyncio.sleep(1.0)
            now = self.read_clock()
            lags = [link.get_log_lag(now) for link in self.links]
            if min(lags, default=float("inf")) <= MAX_LOG_LAG_SECONDS:
                continue
            with contextlib.suppress(BuckthornstileError):
                await self._read_log()

    async def _read_log(self) -> None:
        self.log_reads += 1
        revision = self.configuration.current.revision
        first = Offset(self.configuration.known_through + 1)
        while True:
            page = await self.ports.log.read(first)
            for entry in page.entries:
                self.configuration.apply(entry.offset, decode_record(entry.data))
                first = Offset(entry.offset + 1)
            if not page.entries:
                break
        if self.configuration.current.revision != revision:
            self._on_configuration()

    async def recover_usage(self) -> None:
        """Appends the usage of entries that are gone and did not append it."""
        while True:
            await asyncio.sleep(1.0)
            now = self.read_clock()
            connected = {link.incarnation for link in self.links}
            gone = [
                incarnation
                for incarnation, heard_at in self._heard_entries.items()
                if incarnation not in connected and now - heard_at > ENTRY_GONE_SECONDS
            ]
            recovery = self.scheduler.ledger.recover(now, gone)
            if recovery is None:
                continue
            with contextlib.suppress(BuckthornstileError):
                await self.ports.log.append(encode_record(recovery))
                self.scheduler.ledger.on_recovered(recovery)

    async def stop(self) -> None:
        """Takes no new work, and waits for what is open and unconfirmed."""
        self.draining = True
        log_change("agent.stopping", "a planned stop has begun")
        for link in list(self.links):
            if not link.connection.closed:
                link.connection.send(self.make_heartbeat())
                link.connection.send(Goodbye("planned stop"))
        now = self.read_clock()
        deadline = now + self.settings.stop_timeout
        while self.scheduler.open_count and self.read_clock() < deadline:
            await asyncio.sleep(0.05)
        # Entries that live append their usage themselves; this only covers one
        # that dies in the next moments.
        deadline = min(deadline, self.read_clock() + USAGE_CONFIRM_SECONDS)
        while len(self.scheduler.ledger) and self.read_clock() < deadline:
            await asyncio.sleep(0.05)
        # The last answers may still be in the write buffers.
        await asyncio.sleep(0.1)


def make_agent(settings: AgentSettings) -> Agent:
    """Makes an agent with the HTTP adapters of its upstream and platform.

    Args:
        settings: The agent's settings.

    Returns:
        The agent, not yet listening.
    """
    ports = make_platform_ports(
        settings.platform_url,
        timeout=settings.platform_timeout,
        caller=settings.process,
    )
    upstream: UpstreamPort
    if settings.upstream_kind is UpstreamKind.ENGINE:
        upstream = make_engine(settings.upstream_url)
    else:
        upstream = make_service(settings.upstream_url)
    return Agent(settings, upstream=upstream, ports=ports)


async def serve_agent(settings: AgentSettings) -> None:
    """Serves until SIGTERM or SIGINT, then stops without cutting a request.

    Args:
        settings: The agent's settings.
    """
    agent = make_agent(settings)
    if agent.monitor is not None:
        with contextlib.suppress(BuckthornstileError):
            await agent.monitor.read()
    server = PeerServer(
        agent.identity,
        settings.deployment_secret.get_secret_value(),
        on_connection=agent.serve_connection,
        on_refusal=agent.count_refusal,
        ssl_context=make_server_context(
            settings.tls_certificate, settings.tls_key, settings.tls_ca
        ),
    )
    server.listen(settings.peer_port, settings.address)
    port = next(iter(server._sockets.values())).getsockname()[1]
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    work = [
        asyncio.create_task(send_heartbeats(agent, settings.heartbeat_interval)),
        asyncio.create_task(agent.watch_pauses()),
        asyncio.create_task(agent.follow_log()),
        asyncio.create_task(agent.recover_usage()),
    ]
    if agent.monitor is not None:
        work.append(asyncio.create_task(agent.monitor.follow(settings.state_interval)))
    print(json.dumps({"ready": True, "port": port}), flush=True)
    await stopping.wait()
    await agent.stop()
    for task in work:
        task.cancel()
    server.stop()
    sys.stdout.flush()


def run_agent(settings: AgentSettings) -> None:
    """Runs an agent's process.

    Args:
        settings: The agent's settings.
    """
    set_up_logs(settings.log_format, process=settings.process, level=settings.log_level)
    asyncio.run(serve_agent(settings))
