"""Which entries live, by the records that they append to the store."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from buckthornstile.base import FailureDomain, ProcessName, UpstreamId
from buckthornstile.topology import ModelName

PRESENCE_TOPIC = "presence"
PRESENCE_INTERVAL = 0.45
"""Seconds between two records of a process."""
PRESENCE_TIMEOUT = 1.7
"""Seconds without a record after which a process is taken as gone: three records
may be late and one read slow."""
COUNT_LIFETIME = 10.0
"""Seconds for which a silent process still counts where a bound is shared."""

FORGET_TIME = 30.0
"""Seconds of silence after which a process is not counted any more at all."""

Counts = Mapping[int, Mapping[str, int]]
LoadedVersions = Mapping[UpstreamId, tuple[int, Mapping[ModelName, int]]]


@dataclass(frozen=True, slots=True)
class PresenceRecord:
    """What a process says of itself.

    ``counts`` are its requests by window and account; ``versions`` what engines were
    seen to hold before their entries say so, with the millisecond of their start.
    ``address`` is where it answers other entries, as ``IP:port``; ``made_at`` when it
    read its counts, in seconds since the epoch by its own clock.
    """

    name: ProcessName
    node: str
    is_leaving: bool = False
    counts: Counts = field(default_factory=dict)
    versions: LoadedVersions = field(default_factory=dict)
    failure_domain: FailureDomain = FailureDomain("")
    address: str = ""
    made_at: float = 0.0

    def encode(self) -> bytes:
        """Encodes the record."""
        counts = {str(window): dict(one) for window, one in self.counts.items()}
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
        ValueError: It does not have the agreed form.
    """
    try:
        name, node, leaving, counts, versions, zone, address, made = json.loads(data)
        return PresenceRecord(
            ProcessName(name),
            node,
            bool(leaving),
            {int(window): dict(one) for window, one in counts.items()},
            {
                UpstreamId(one): (int(started_at_ms), dict(models))
                for one, (started_at_ms, models) in versions.items()
            },
            FailureDomain(zone),
            str(address),
            float(made),
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"presence record: {error}") from error


@dataclass(slots=True)
class _Peer:
    record: PresenceRecord
    seen_at: float


class PresenceTable:
    """Folds presence records.

    A process whose node has started anew is gone at once. Silence counts only while
    this process itself can read: after an outage each peer gets its time again.

    Args:
        clock: Gives the time in seconds.

    Example:
        >>> PresenceTable(lambda: 0.0).list_live()
        []
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._peers: dict[ProcessName, _Peer] = {}
        self._read_at: float | None = None

    def on_caught_up(self) -> None:
        """Notes that the topic was read to its end."""
        now = self.clock()
        if self._read_at is not None and now - self._read_at > PRESENCE_TIMEOUT / 2:
            for peer in self._peers.values():
                peer.seen_at = max(peer.seen_at, now)
        self._read_at = now

    def apply(self, record: PresenceRecord) -> None:
        """Folds a record."""
        now = self.clock()
        for name, peer in list(self._peers.items()):
            is_earlier = peer.record.node == record.node and name != record.name
            if is_earlier or now - peer.seen_at > FORGET_TIME:
                del self._peers[name]
        self._peers[record.name] = _Peer(record, now)

    def list_live(self) -> list[ProcessName]:
        """Lists the processes that live and do not leave."""
        oldest = self.clock() - PRESENCE_TIMEOUT
        return [
            name
            for name, peer in self._peers.items()
            if peer.seen_at >= oldest and not peer.record.is_leaving
        ]

    def count_vms(self) -> int:
        """Counts the VMs of which a record was read, also of those that are gone."""
        return len(self._peers)

    def get_failure_domain(self, name: ProcessName) -> FailureDomain:
        """The failure domain of a process, or an empty name."""
        peer = self._peers.get(name)
        return peer.record.failure_domain if peer is not None else FailureDomain("")

    def get_address(self, name: ProcessName) -> str:
        """Where a process answers other entries, or an empty address."""
        peer = self._peers.get(name)
        return peer.record.address if peer is not None else ""

    def list_addresses(self, exclude: ProcessName) -> list[str]:
        """Lists where the processes that may live answer, but for one of them."""
        return [
            peer.record.address
            for name in self.list_possibly_live()
            if name != exclude and (peer := self._peers[name]).record.address
        ]

    def is_known(self, name: ProcessName) -> bool:
        """Whether a record of a process was read, however old it is now."""
        return name in self._peers

    def list_possibly_live(self) -> list[ProcessName]:
        """Lists the processes that may still be sending."""
        oldest = self.clock() - COUNT_LIFETIME
        return [name for name, peer in self._peers.items() if peer.seen_at >= oldest]
