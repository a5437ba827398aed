"""Membership of the entries, by the presence records that they append to the store."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from buckthornstile.base import FailureDomain, ProcessName, UpstreamId, parse_json
from buckthornstile.topology import ModelName

PRESENCE_TOPIC = "presence"
PRESENCE_INTERVAL = 0.45
"""Seconds between two presence records of a process."""
PRESENCE_TIMEOUT = 1.7
"""Seconds without a record after which a process is considered gone: three records may
be late and one read may be slow."""
MAX_SENDING_TIME = 10.0
"""Seconds for which a silent process still counts as possibly sending, so that it keeps
its share of a common limit."""

PEER_RETENTION_TIME = 30.0
"""Seconds of silence after which a process is removed from the table."""

UsageCounts = Mapping[int, Mapping[str, int]]
LoadedVersions = Mapping[UpstreamId, tuple[int, Mapping[ModelName, int]]]


@dataclass(frozen=True, slots=True)
class PresenceRecord:
    """The record by which a process announces itself to the other entries.

    Attributes:
        name: Name of the process.
        node: Its configured name, one per VM; it stays the same after a restart.
        is_leaving: Whether it is shutting down.
        counts: Number of its requests by window and account.
        versions: Versions that engines have loaded but do not list in their own entries
            yet, each with the engine's start in milliseconds since the epoch.
        failure_domain: Its failure domain.
        address: Address on which it listens for other entries, as ``IP:port``.
        made_at: Time at which it read its counts, in seconds since the epoch by its own
            clock.
    """

    name: ProcessName
    node: str
    is_leaving: bool = False
    counts: UsageCounts = field(default_factory=dict)
    versions: LoadedVersions = field(default_factory=dict)
    failure_domain: FailureDomain = FailureDomain("")
    address: str = ""
    made_at: float = 0.0

    def encode(self) -> bytes:
        """Returns the record as bytes."""
        counts = {
            str(window): dict(accounts) for window, accounts in self.counts.items()
        }
        data = [
            self.name,
            self.node,
            self.is_leaving,
            counts,
            dict(self.versions),
            self.failure_domain,
            self.address,
            self.made_at,
        ]
        return json.dumps(data).encode()


def decode_presence(data: bytes) -> PresenceRecord:
    """Decodes a record.

    Raises:
        ValueError: The record is malformed.
    """
    try:
        name, node, is_leaving, counts, versions, failure_domain, address, made_at = (
            parse_json(data)
        )
        return PresenceRecord(
            ProcessName(name),
            node,
            bool(is_leaving),
            {int(window): dict(accounts) for window, accounts in counts.items()},
            {
                UpstreamId(upstream): (int(started_at_ms), dict(models))
                for upstream, (started_at_ms, models) in versions.items()
            },
            FailureDomain(failure_domain),
            str(address),
            float(made_at),
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"malformed presence record: {error}") from error


@dataclass(slots=True)
class _Peer:
    record: PresenceRecord
    last_seen_at: float


class PresenceTable:
    """The processes known from their presence records.

    A process is removed as soon as another one starts on its VM. Silence counts only
    while this process itself can read: after an outage of the store, the timeout of
    every process starts again.

    Records that the store appends late have no effect if their process has been
    replaced, or has begun to leave since.

    Args:
        clock: Returns the time in seconds.

    Example:
        >>> PresenceTable(lambda: 0.0).list_live()
        []
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._peers: dict[ProcessName, _Peer] = {}
        self._replaced: dict[ProcessName, float] = {}
        self._caught_up_at: float | None = None

    def on_caught_up(self) -> None:
        """Records that the topic was read to its end."""
        now = self.clock()
        if (
            self._caught_up_at is not None
            and now - self._caught_up_at > PRESENCE_TIMEOUT / 2
        ):
            for peer in self._peers.values():
                peer.last_seen_at = max(peer.last_seen_at, now)
        self._caught_up_at = now

    def apply(self, record: PresenceRecord) -> None:
        """Applies a record to the table."""
        now = self.clock()
        self._forget_replaced(now)
        if record.name in self._replaced:
            return
        known = self._peers.get(record.name)
        if known is not None and known.record.is_leaving and not record.is_leaving:
            return
        for name, peer in list(self._peers.items()):
            is_previous_process = (
                peer.record.node == record.node and name != record.name
            )
            if is_previous_process:
                self._replaced[name] = now
            silence = self._get_last_read_time() - peer.last_seen_at
            if is_previous_process or silence > PEER_RETENTION_TIME:
                del self._peers[name]
        self._peers[record.name] = _Peer(record, now)

    def _forget_replaced(self, now: float) -> None:
        for name, replaced_at in list(self._replaced.items()):
            if now - replaced_at > PEER_RETENTION_TIME:
                del self._replaced[name]

    def _get_last_read_time(self) -> float:
        """Returns the time of the last read that reached the topic's end."""
        return self.clock() if self._caught_up_at is None else self._caught_up_at

    def list_live(self) -> list[ProcessName]:
        """Returns the processes that are live and not leaving."""
        oldest_time = self.clock() - PRESENCE_TIMEOUT
        return [
            name
            for name, peer in self._peers.items()
            if peer.last_seen_at >= oldest_time and not peer.record.is_leaving
        ]

    def count_vms(self) -> int:
        """Returns the number of VMs in the table, including those that are gone."""
        return len(self._peers)

    def get_failure_domain(self, name: ProcessName) -> FailureDomain:
        """Returns the failure domain of a process, or an empty name if unknown."""
        peer = self._peers.get(name)
        return peer.record.failure_domain if peer is not None else FailureDomain("")

    def get_address(self, name: ProcessName) -> str:
        """Returns the address of a process for other entries, or an empty address."""
        peer = self._peers.get(name)
        return peer.record.address if peer is not None else ""

    def list_addresses(self, exclude: ProcessName) -> list[str]:
        """Returns the addresses of the other processes that may be live.

        Args:
            exclude: Name of the process that is left out.
        """
        return [
            peer.record.address
            for name in self.list_possibly_live()
            if name != exclude and (peer := self._peers[name]).record.address
        ]

    def is_known(self, name: ProcessName) -> bool:
        """Whether the table holds a record of a process, however old."""
        return name in self._peers

    def list_possibly_live(self) -> list[ProcessName]:
        """Returns the processes that may still be sending requests to upstreams.

        While this process cannot read the topic, none is dropped: the silence says
        nothing about them, and each would take the shares of the others.
        """
        oldest_time = self._get_last_read_time() - MAX_SENDING_TIME
        return [
            name
            for name, peer in self._peers.items()
            if peer.last_seen_at >= oldest_time
        ]
