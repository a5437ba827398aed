"""Continuous batching: a number of slots, a queue by priority, weight swaps."""

import asyncio
import hashlib
import heapq
import itertools
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from standins.engine._cache import PrefixCache, count_tokens
from standins.faults import Fault

MAX_STATES = 10_000


@dataclass(slots=True)
class EngineOptions:
    """How the engine behaves.

    Args:
        version: The weights that it starts with.
        slots: Requests in its batch.
        token_seconds: Time for one token of each request in the batch.
        prefill_token_seconds: Time to read one token that is not cached.
        cache_tokens: Size of the prefix cache.
        swap_seconds: Time that a load of other weights takes.
        swap_mode: What a swap does to running requests: ``continue`` (they
            change version midway), ``pause`` (and wait meanwhile) or ``abort``.
        refuse_old_terms: Whether an order with an old term is refused.
        state_lag_seconds: How old the reported state is.
        event_lag_seconds: How late cache events come.
        event_gap_every: Which cache events are lost; 0 for none.
    """

    version: int = 1
    slots: int = 8
    token_seconds: float = 0.002
    prefill_token_seconds: float = 0.00005
    cache_tokens: int = 100_000
    swap_seconds: float = 0.2
    swap_mode: str = "continue"
    refuse_old_terms: bool = True
    state_lag_seconds: float = 0.0
    event_lag_seconds: float = 0.5
    event_gap_every: int = 7


def make_token(prompt: str, seed: int, index: int) -> str:
    """Makes the token that every engine gives at an index.

    Example:
        >>> make_token("set a tooth", 0, 0) == make_token("set a tooth", 0, 0)
        True
    """
    return hashlib.sha256(f"{seed}\0{index}\0{prompt}".encode()).hexdigest()[:6]


@dataclass(slots=True, eq=False)
class Sequence:
    """One request in the queue or the batch."""

    request_id: str
    prompt: str
    seed: int
    priority: int
    first_index: int
    max_tokens: int
    prefill_left: float = 0.0
    made: int = 0
    dropped: bool = False
    true_versions: list[int] = field(default_factory=list)
    output: asyncio.Queue[tuple[int, int] | None] = field(default_factory=asyncio.Queue)


class Scheduler:
    """Runs sequences in a batch and holds the engine's version."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.version = options.version
        self.lives = 1
        self.started = time.time_ns()
        self.slow_factor = 1.0
        self.paused = False
        self.peak_running = 0
        self.highest_term = -1
        self.cache = PrefixCache(limit=options.cache_tokens)
        self.running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._states: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_STATES)
        self._task: asyncio.Task[None] | None = None

    @property
    def incarnation(self) -> str:
        """Changes when the engine restarts."""
        return f"{self.started:x}-{self.lives}"

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence."""
        entry = (sequence.priority, next(self._arrivals), sequence)
        heapq.heappush(self._waiting, entry)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def drop(self, sequence: Sequence) -> None:
        """Ends a sequence early; its output ends with None."""
        sequence.dropped = True
        if sequence in self.running:
            self.running.remove(sequence)
        sequence.output.put_nowait(None)

    def cancel(self, request_id: str) -> bool:
        """Drops the sequences of a request; says whether there was one."""
        found = [s for s in self._list_all() if s.request_id == request_id]
        for sequence in found:
            self.drop(sequence)
        return bool(found)

    def find(self, request_id: str) -> Sequence | None:
        """Finds a sequence in the batch or the queue."""
        found = (s for s in self._list_all() if s.request_id == request_id)
        return next(found, None)

    def drop_all(self) -> None:
        """Drops every sequence."""
        for sequence in self._list_all():
            self.drop(sequence)
        self._waiting.clear()

    def restart(self, fault: Fault) -> None:
        """Restarts with the weights that the fault names."""
        self.drop_all()
        self.cache.clear()
        self.lives += 1
        self.version = int(fault.value)
        self.slow_factor = 1.0

    async def swap(self, version: int, *, fails: bool) -> bool:
        """Loads a version; a swap that fails does so half way."""
        if self.options.swap_mode == "abort":
            self.drop_all()
        self.paused = self.options.swap_mode == "pause"
        lives = self.lives
        try:
            await asyncio.sleep(self.options.swap_seconds * (0.5 if fails else 1.0))
        finally:
            self.paused = False
        if fails or lives != self.lives:
            return False
        self.version = version
        return True

    def read_state(self) -> dict[str, Any]:
        """Reads the state as it was some time ago."""
        now = time.monotonic()
        self._record_state(now)
        oldest = self._states[0][1]
        for at, state in self._states:
            if at > now - self.options.state_lag_seconds:
                break
            oldest = state
        return oldest

    def _list_all(self) -> list[Sequence]:
        waiting = [s for _, _, s in self._waiting if not s.dropped]
        return self.running + waiting

    def _record_state(self, now: float) -> None:
        state = {
            "incarnation": self.incarnation,
            "version": self.version,
            "running": len(self.running),
            "waiting": sum(not s.dropped for _, _, s in self._waiting),
            "cache_tokens": self.cache.tokens,
        }
        self._states.append((now, state))

    def _fill_slots(self) -> None:
        while self._waiting and len(self.running) < self.options.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.dropped:
                continue
            total = count_tokens(sequence.prompt) + sequence.first_index
            uncached = total - self.cache.match(sequence.prompt)
            sequence.prefill_left = uncached * self.options.prefill_token_seconds
            self.cache.store(sequence.prompt, now=time.monotonic())
            self.running.append(sequence)
        self.peak_running = max(self.peak_running, len(self.running))

    async def _run(self) -> None:
        last = time.monotonic()
        while self._waiting or self.running:
            self._fill_slots()
            step = self.options.token_seconds * self.slow_factor
            await asyncio.sleep(step)
            now = time.monotonic()
            elapsed, last = now - last, now
            if self.options.state_lag_seconds:
                self._record_state(now)
            if not self.paused:
                for sequence in list(self.running):
                    self._advance(sequence, elapsed / self.slow_factor)

    def _advance(self, sequence: Sequence, elapsed: float) -> None:
        if sequence.prefill_left > elapsed:
            sequence.prefill_left -= elapsed
            return
        sequence.prefill_left = 0.0
        if sequence.made < sequence.max_tokens:
            index = sequence.first_index + sequence.made
            sequence.made += 1
            sequence.true_versions.append(self.version)
            sequence.output.put_nowait((index, self.version))
        if sequence.made >= sequence.max_tokens:
            self.running.remove(sequence)
            sequence.output.put_nowait(None)
