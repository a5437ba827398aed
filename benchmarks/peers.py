"""Fake agents and fake entries, all in one process, that speak the wire's messages."""

import asyncio
import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from buckthornstile.base import BuckthornstileError, Incarnation, Role
from buckthornstile.configuration import ConfigurationFold
from buckthornstile.wire import (
    Connection,
    Heartbeat,
    Identity,
    PeerServer,
    Relay,
    RelayRequest,
    dial_peer,
)

LOOPBACK = "127.0.0.1"
SERVICE = "models"
DOMAINS = 5
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_seconds(process_id: int) -> float:
    """Reads the processor time of all threads of a process, to the nanosecond."""
    tasks = Path(f"/proc/{process_id}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[0]) for path in tasks) / 1e9


def read_memory_bytes(process_id: int) -> int:
    """Reads a process's resident memory."""
    return int(Path(f"/proc/{process_id}/statm").read_text().split()[1]) * PAGE_BYTES


@dataclass(frozen=True, slots=True)
class Reading:
    """What a measured process has used, and what its peers saw, at one time."""

    cpu_seconds: float
    memory_bytes: int
    received_bytes: int
    sent_bytes: int


class FakePeer:
    """One end of a connection to the measured process.

    Args:
        identity: Who it says it is.
        secret: The deployment secret.
    """

    def __init__(self, identity: Identity, secret: str) -> None:
        self.identity = identity
        self.secret = secret
        self.connection: Connection | None = None
        self.fold = ConfigurationFold()
        self.beats = 0

    def make_heartbeat(self) -> Heartbeat:
        """Makes a heartbeat with all fields set, as a busy process sends it."""
        self.beats += 1
        return Heartbeat(
            sequence=self.beats,
            sent_at=1e5 + self.beats,
            configuration_offset=self.fold.current.through,
            engine_incarnation=Incarnation(f"{self.identity.process}-0123456789ab"),
            version=7,  # type: ignore[arg-type]
            limit=16.0,
            running=12,
            queued=3,
            queued_tokens=600,
            tokens_per_second=2400.0,
            fetched_version=7,  # type: ignore[arg-type]
        )

    async def serve(self, connection: Connection) -> None:
        """Receives until the connection ends; keeps its configuration up to date."""
        self.connection = connection
        try:
            while True:
                self._handle(await connection.receive())
        except BuckthornstileError:
            return

    def _handle(self, message: object) -> None:
        assert self.connection is not None
        known = self.fold.current.through
        if isinstance(message, Heartbeat) and message.configuration_offset > known:
            self.connection.send(RelayRequest(known))
        if isinstance(message, Relay):
            missing = self.fold.merge_relay(message.records).missing_after
            if missing is not None:
                self.connection.send(RelayRequest(missing))

    async def beat(self, delay: float, interval: float) -> None:
        """Sends heartbeats, from a phase of its own on."""
        await asyncio.sleep(delay)
        while True:
            if self.connection is not None and not self.connection.closed:
                self.connection.send(self.make_heartbeat())
            await asyncio.sleep(interval)


class FakePeers:
    """Many fake peers and their heartbeats.

    Args:
        secret: The deployment secret.
        interval: Seconds between two heartbeats.
    """

    def __init__(self, secret: str, *, interval: float = 1.0) -> None:
        self.secret = secret
        self.interval = interval
        self.peers: list[FakePeer] = []
        self._servers: list[PeerServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    def listen(self, count: int) -> list[dict[str, object]]:
        """Starts fake agents.

        Returns:
            Their entries in the VM list.
        """
        return [self._listen(number) for number in range(count)]

    def _listen(self, number: int) -> dict[str, object]:
        domain = f"domain-{number % DOMAINS}"
        identity = Identity(
            f"agent-u{number}",  # type: ignore[arg-type]
            Role.AGENT,
            Incarnation(f"agent-u{number}-0123456789ab"),
            domain,  # type: ignore[arg-type]
            f"u{number}",  # type: ignore[arg-type]
            SERVICE,  # type: ignore[arg-type]
        )
        peer = FakePeer(identity, self.secret)
        server = PeerServer(
            identity, self.secret, on_connection=peer.serve, on_refusal=lambda _: None
        )
        server.listen(0, LOOPBACK)
        self.peers.append(peer)
        self._servers.append(server)
        return {
            "process": identity.process,
            "role": "agent",
            "failure_domain": domain,
            "address": LOOPBACK,
            "port": next(iter(server._sockets.values())).getsockname()[1],
            "state": "live",
            "upstream": identity.upstream,
            "service": SERVICE,
        }

    async def dial(self, count: int, address: str, port: int) -> None:
        """Connects fake entries to an agent."""
        for number in range(count):
            name = f"entry-{number}"
            identity = Identity(
                name,  # type: ignore[arg-type]
                Role.ENTRY,
                Incarnation(f"{name}-0123456789ab"),
                f"domain-{number % DOMAINS}",  # type: ignore[arg-type]
            )
            peer = FakePeer(identity, self.secret)
            connection = await dial_peer(address, port, identity, self.secret)
            self._tasks.append(asyncio.create_task(peer.serve(connection)))
            self.peers.append(peer)

    def start_beating(self) -> None:
        """Starts all heartbeats, spread over the interval."""
        for number, peer in enumerate(self.peers):
            delay = self.interval * number / len(self.peers)
            self._tasks.append(asyncio.create_task(peer.beat(delay, self.interval)))

    async def wait_connected(self, *, seconds: float = 20.0) -> None:
        """Waits until every fake peer has a connection."""
        async with asyncio.timeout(seconds):
            while any(peer.connection is None for peer in self.peers):
                await asyncio.sleep(0.05)

    async def wait_revision(self, revision: int, *, seconds: float = 15.0) -> None:
        """Waits until every fake peer has a revision in force."""
        async with asyncio.timeout(seconds):
            while any(p.fold.current.revision < revision for p in self.peers):
                await asyncio.sleep(0.005)

    def read(self, process_id: int) -> Reading:
        """Reads what the measured process has used and exchanged so far."""
        connections = list(_list_connections(self.peers))
        return Reading(
            read_cpu_seconds(process_id),
            read_memory_bytes(process_id),
            sum(connection.bytes_sent for connection in connections),
            sum(connection.bytes_received for connection in connections),
        )

    def stop(self) -> None:
        """Ends heartbeats, connections and servers."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
        for connection in _list_connections(self.peers):
            connection.close()


def _list_connections(peers: Iterable[FakePeer]) -> Iterable[Connection]:
    return (peer.connection for peer in peers if peer.connection is not None)
