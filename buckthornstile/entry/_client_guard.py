"""Keeps what an entry holds for its clients within bounds of bytes and connections."""

import asyncio
from dataclasses import dataclass

from tornado.iostream import IOStream

from buckthornstile.client_memory import (
    ClientMemory,
    ConnectionTable,
    EvictionReason,
    Holding,
    HoldingKind,
    OnEvicted,
    is_body_too_slow,
)
from buckthornstile.logs import log_event
from buckthornstile.metrics import CounterName, Counters

SWEEP_INTERVAL = 0.25
"""Seconds between two checks of heads, of rates and of bodies that wait for room."""
MAX_PAUSE = 2.0
"""Seconds that the oldest body waits for room before bodies are refused. Calls have
deadlines of 1.5 s and more, so what is held for them is mostly released by then."""
RELIEF_DELAY = 0.02
"""Seconds from a pause to the evictions that it needs, so that a crowd of clients leads
to one search for victims instead of one for each client."""
MAX_EVICTIONS = 64
"""Maximum number of evictions in one turn of the event loop."""
LOG_INTERVAL = 1.0
"""Minimum seconds between two lines about evictions for the same reason."""
INTERNAL_DIVISOR = 8
"""Probes, scrapers and other entries may open this part of the maximum number of
connections beyond it."""
MIN_HEAD_BYTES = 3
"""Size from which what was read is a part of a head. Some clients send an empty line
after a body, and their connection is still idle."""
EVICTION_COUNTER = CounterName("client_evictions")
DEFAULT_HEADER_TIMEOUT = 3.0
DEFAULT_IDLE_TIMEOUT = 15.0


@dataclass(slots=True)
class _PausedRead:
    """Bytes of a body that were read, and wait until there is room to keep them."""

    byte_count: int
    since: float
    is_granted: "asyncio.Future[bool]"


class ClientGuard:
    """Pauses reading from clients and evicts connections when a bound is reached.

    Args:
        memory: Account of the bytes.
        connections: Account of the connections.
        counters: Counts evictions by reason.
        min_body_rate: Minimum rate of bodies, in bytes per second.
        body_grace: Seconds over which the rate of a body is measured.

    Attributes:
        header_timeout: Seconds in which the head of a request must be complete.
        idle_timeout: Seconds for which a client may send nothing; ``body_grace`` is
            never shorter.
    """

    def __init__(
        self,
        memory: ClientMemory,
        connections: ConnectionTable,
        *,
        counters: Counters,
        min_body_rate: float,
        body_grace: float,
    ) -> None:
        self.memory = memory
        self.connections = connections
        self.counters = counters
        self.min_body_rate = min_body_rate
        self.body_grace = body_grace
        self.header_timeout = DEFAULT_HEADER_TIMEOUT
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT
        self._paused: dict[Holding, _PausedRead] = {}
        self._heads: dict[IOStream, Holding] = {}
        self._logged: dict[EvictionReason, tuple[float, int]] = {}
        self._sweep_handle: asyncio.TimerHandle | None = None
        self._relief_handle: asyncio.TimerHandle | None = None

    @property
    def paused_count(self) -> int:
        """Number of bodies that wait for room."""
        return len(self._paused)

    # Bytes

    def open(self, kind: HoldingKind, evict: OnEvicted) -> Holding:
        """Returns a holding without bytes for a request."""
        self._schedule_sweep()
        return self.memory.open(kind, _get_time(), evict)

    def admit(self, holding: Holding, byte_count: int) -> "asyncio.Future[bool] | None":
        """Charges bytes of a body that were read, or pauses the body.

        Returns:
            None if the bytes are charged, or a future that tells whether they are.
        """
        now = _get_time()
        is_small = self.memory.is_small(holding, byte_count)
        must_queue = not is_small and self._is_newer_than_paused(holding)
        if not must_queue and self.memory.fits(holding, byte_count):
            self.memory.charge(holding, byte_count, now)
            return None
        holding.is_paused = True
        is_granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._paused[holding] = _PausedRead(byte_count, now, is_granted)
        self._schedule_relief()
        return is_granted

    def change_kind(self, holding: Holding, kind: HoldingKind, byte_count: int) -> None:
        """Turns a holding into one of another kind and size."""
        now = _get_time()
        has_shrunk = byte_count < holding.byte_count
        self.memory.change_kind(holding, kind, byte_count, now)
        if has_shrunk:
            self._grant()
        if self.memory.exceeds_bound():
            self._schedule_relief()

    def record_sent(self, holding: Holding, byte_count: int) -> None:
        """Records that the client took bytes of a response."""
        holding.rate.record(byte_count, _get_time())

    def release(self, holding: Holding) -> None:
        """Removes a holding and its bytes."""
        self.memory.release(holding)
        paused = self._paused.pop(holding, None)
        if paused is not None and not paused.is_granted.done():
            paused.is_granted.set_result(False)
        self._grant()

    # Connections

    def make_room(self, *, is_internal: bool) -> bool:
        """Closes a connection if there are too many; returns whether one more may open.

        Args:
            is_internal: Whether the connection is from the platform or another entry.
        """
        allowance = self.connections.max_connections // INTERNAL_DIVISOR
        if not self.connections.is_full(allowance=allowance if is_internal else 0):
            return True
        is_closed = self.close_one(EvictionReason.CONNECTIONS)
        if not is_closed:
            self._count(EvictionReason.CONNECTIONS)
        return is_closed

    def close_one(self, reason: EvictionReason) -> bool:
        """Closes a connection that waits for a request, or one of a slow client.

        Returns:
            Whether there was one.
        """
        stream = self.connections.find_waiting()
        if isinstance(stream, IOStream):
            self._close(stream, reason)
            return True
        now = _get_time()
        slow = self.memory.find_slow(now) or self.memory.find_slowest(now)
        if slow is not None:
            # Its connection closes as soon as the refusal is written.
            self._evict(slow, reason)
        return slow is not None

    def add_connection(self, stream: IOStream) -> None:
        """Records an accepted connection, which waits for a request."""
        self.connections.add(stream)
        self.connections.set_waiting(stream, _get_time())
        self._schedule_sweep()

    def start_waiting(self, stream: IOStream) -> None:
        """Records that a connection waits for its next request."""
        if not stream.closed():
            self.connections.set_waiting(stream, _get_time())

    def end_waiting(self, stream: IOStream) -> None:
        """Records that the head of a request was read."""
        self.connections.set_busy(stream)
        self._release_head(stream)

    def remove_connection(self, stream: IOStream) -> None:
        """Records that a connection is closed."""
        self.connections.remove(stream)
        self._release_head(stream)

    # Internals

    def _is_newer_than_paused(self, holding: Holding) -> bool:
        """Whether an older body waits for room."""
        return any(other.started_at < holding.started_at for other in self._paused)

    def _grant(self) -> None:
        """Charges paused reads for which there is room, the oldest body first."""
        for holding in sorted(self._paused, key=lambda paused: paused.started_at):
            paused = self._paused[holding]
            if not self.memory.fits(holding, paused.byte_count):
                continue
            del self._paused[holding]
            now = _get_time()
            holding.is_paused = False
            holding.rate.restart(now)
            self.memory.charge(holding, paused.byte_count, now)
            if not paused.is_granted.done():
                paused.is_granted.set_result(True)

    def _schedule_relief(self) -> None:
        if self._relief_handle is None:
            loop = asyncio.get_running_loop()
            self._relief_handle = loop.call_later(RELIEF_DELAY, self._relieve)

    def _relieve(self) -> None:
        """Evicts holdings until the bound is kept and paused bodies have room."""
        if self._relief_handle is not None:
            self._relief_handle.cancel()
            self._relief_handle = None
        now = _get_time()
        for _ in range(MAX_EVICTIONS):
            victim = self._find_victim(now)
            if victim is None:
                return
            self._evict(victim, EvictionReason.MEMORY)
        self._schedule_relief()

    def _find_victim(self, now: float) -> Holding | None:
        exceeds_bound = self.memory.exceeds_bound()
        if not exceeds_bound and not self._paused:
            return None
        victim = self.memory.find_slow(now)
        if victim is None and exceeds_bound:
            victim = self.memory.find_newest()
        if victim is None and self._paused:
            victim = self._find_paused_victim(now)
        return victim

    def _find_paused_victim(self, now: float) -> Holding | None:
        """Returns the body to refuse if no other bytes are released in time."""
        oldest = min(self._paused, key=lambda paused: paused.started_at)
        newest = max(self._paused, key=lambda paused: paused.started_at)
        if not self.memory.can_release():
            return newest
        if now - self._paused[oldest].since < MAX_PAUSE:
            return None
        paused_bytes = sum(paused.byte_count for paused in self._paused)
        needed = self.memory.total_bytes + self._paused[oldest].byte_count
        can_help = needed - paused_bytes <= self.memory.max_large_bytes
        return newest if can_help else oldest

    def _evict(self, holding: Holding, reason: EvictionReason) -> None:
        self._count(reason, kind=holding.kind.value, bytes=holding.byte_count)
        self.release(holding)
        holding.evict(reason)

    def _close(self, stream: IOStream, reason: EvictionReason) -> None:
        self._count(reason, kind=HoldingKind.HEAD.value, bytes=stream._read_buffer_size)
        self.remove_connection(stream)
        stream.close()

    def _count(self, reason: EvictionReason, **fields: object) -> None:
        self.counters.increment(EVICTION_COUNTER, reason=reason.value)
        now = _get_time()
        logged_at, left_out = self._logged.get(reason, (-LOG_INTERVAL, 0))
        if now - logged_at < LOG_INTERVAL:
            self._logged[reason] = (logged_at, left_out + 1)
            return
        self._logged[reason] = (now, 0)
        log_event(
            "client.evicted",
            reason=reason.value,
            others=left_out,
            held=self.memory.total_bytes,
            bound=self.memory.max_bytes,
            connections=len(self.connections),
            **fields,
        )

    def _release_head(self, stream: IOStream) -> None:
        head = self._heads.pop(stream, None)
        if head is not None:
            self.release(head)

    # Sweep

    def _schedule_sweep(self) -> None:
        if self._sweep_handle is None:
            loop = asyncio.get_running_loop()
            self._sweep_handle = loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        self._sweep_handle = None
        now = _get_time()
        for stream in self.connections.list_waiting():
            if isinstance(stream, IOStream):
                self._check_head(stream, now)
        grace = max(self.body_grace, self.idle_timeout)
        for holding in list(self.memory.holdings):
            # Otherwise a burst would still count as progress long after it.
            holding.rate.get(now)
            if holding.measure is not None:
                self.memory.resize(holding, holding.measure())
            if is_body_too_slow(holding, now, min_rate=self.min_body_rate, grace=grace):
                self._evict(holding, EvictionReason.SLOW_BODY)
        self._relieve()
        if self.memory.holdings or len(self.connections):
            self._schedule_sweep()

    def _check_head(self, stream: IOStream, now: float) -> None:
        byte_count = stream._read_buffer_size
        if byte_count < MIN_HEAD_BYTES or stream.closed():
            return
        if self.connections.record_head(stream, now) > self.header_timeout:
            self._close(stream, EvictionReason.INCOMPLETE_HEAD)
            return
        head = self._heads.get(stream)
        if head is None:
            head = self.open(HoldingKind.HEAD, lambda _: self._close_evicted(stream))
            self._heads[stream] = head
        if byte_count != head.byte_count:
            self.memory.charge(head, byte_count - head.byte_count, now)

    def _close_evicted(self, stream: IOStream) -> None:
        self.remove_connection(stream)
        stream.close()


def make_client_guard(
    *,
    max_bytes: int,
    max_connections: int,
    min_body_rate: float = 0.0,
    body_grace: float = 20.0,
    counters: Counters | None = None,
) -> ClientGuard:
    """Builds a guard.

    Args:
        max_bytes: Maximum number of bytes held for clients.
        max_connections: Maximum number of connections.
        min_body_rate: Minimum rate of bodies, in bytes per second.
        body_grace: Seconds over which the rate of a body is measured.
        counters: Counters of the process, or None for counters of its own.
    """
    return ClientGuard(
        ClientMemory(max_bytes=max_bytes),
        ConnectionTable(max_connections=max_connections),
        counters=Counters() if counters is None else counters,
        min_body_rate=min_body_rate,
        body_grace=body_grace,
    )


def _get_time() -> float:
    return asyncio.get_running_loop().time()
