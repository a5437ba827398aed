"""Small fake upstreams: streams that share an engine's speed, and a cold start."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import Any

from benchmarks.policy.clock import Clock

_COLD_TICK_SECONDS = 0.25


@dataclass(frozen=True)
class UpstreamSpec:
    """What an upstream of a service can do.

    Args:
        slots: Requests that it bears at once when warm.
        stream_speed: Tokens a second of one stream alone.
        total_speed: Tokens a second of all streams together.
        prefill_cost: Work of one uncached prompt token, in tokens.
        cached_prefixes: Prompts that its cache holds.
        cold_slots: Requests that it bears at once when cold.
        doubling_seconds: Time in which a cold upstream bears twice as many.
        swap_seconds: How long a change of weights stops it.
        start_seconds: From an order until it serves.
    """

    slots: int = 32
    stream_speed: float = 100.0
    total_speed: float = 1600.0
    prefill_cost: float = 0.15
    cached_prefixes: int = 32
    cold_slots: int = 4
    doubling_seconds: float = 2.0
    swap_seconds: float = 1.0
    start_seconds: float = 15.0


@dataclass(eq=False)
class Job:
    """One call at an upstream."""

    tokens: float
    prompt: float
    prefix: str
    on_first: Callable[[], Any]
    on_end: Callable[[bool], Any]
    version: int = 0
    started_at: float = 0.0
    begun_at_work: float = 0.0
    ended: bool = False


@dataclass
class FakeUpstream:
    """An upstream whose running jobs share its speed evenly.

    ``_work`` is the tokens that a stream which ran since the start would have
    made; a job's first token and end are marks on that scale, so that any
    change of speed moves all marks at once.
    """

    clock: Clock
    name: str
    service: str
    failure_domain: str
    spec: UpstreamSpec
    alive: bool = True
    slowness: float = 1.0
    version: int = 0
    incarnation: int = 0
    overloads: int = 0
    born_at: float = 0.0
    tokens_served: float = 0.0
    running: set[Job] = field(default_factory=set)
    _work: float = 0.0
    _updated_at: float = 0.0
    _cold_at: float = -1e9
    _paused_until: float = 0.0
    _marks: list[tuple[float, int, str, Job]] = field(default_factory=list)
    _cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _numbers: Any = field(default_factory=count)
    _generation: int = 0

    def get_bearable(self) -> float:
        """Gives the requests that it bears at once now."""
        doublings = (self.clock.now - self._cold_at) / self.spec.doubling_seconds
        if doublings > 20:
            return self.spec.slots
        return min(self.spec.slots, self.spec.cold_slots * 2.0**doublings)

    def start(self, job: Job) -> None:
        """Starts a job; above what is bearable all jobs slow down."""
        self._advance()
        self.running.add(job)
        # The open interval of a doubling may end in a fraction of a request.
        self.overloads += len(self.running) > self.get_bearable() + 1.0
        job.version, job.started_at = self.version, self.clock.now
        cached = bool(job.prefix) and job.prefix in self._cache
        prefill = 0.0 if cached else job.prompt * self.spec.prefill_cost
        if job.prefix:
            self._cache[job.prefix] = None
            self._cache.move_to_end(job.prefix)
            if len(self._cache) > self.spec.cached_prefixes:
                self._cache.popitem(last=False)
        job.begun_at_work = self._work
        first = self._work + prefill + 1.0
        heappush(self._marks, (first, next(self._numbers), "first", job))
        end = first + max(job.tokens - 1.0, 0.0)
        heappush(self._marks, (end, next(self._numbers), "end", job))
        self._schedule()

    def cancel(self, job: Job) -> None:
        """Stops a job without an answer."""
        if job in self.running:
            self._advance()
            job.ended = True
            self.running.discard(job)
            self._schedule()

    def turn_cold(self) -> None:
        """Loses the cache and bears little, as after a start."""
        self._advance()
        self._cold_at = self.clock.now
        self._cache.clear()
        self._tick_while_cold()

    def swap(self, version: int) -> None:
        """Loads other weights; running streams pause and go on."""
        self._advance()
        self._paused_until = self.clock.now + self.spec.swap_seconds
        self._cache.clear()
        self.version = version
        self._schedule()
        self.clock.call_in(self.spec.swap_seconds, self._resume)

    def set_slowness(self, slowness: float) -> None:
        """Makes it serve at a share of its speed, without an error."""
        self._advance()
        self.slowness = slowness
        self._schedule()

    def stop(self) -> None:
        """Dies with all that runs on it; nobody is told."""
        self._advance()
        self.alive = False
        for job in self.running:
            job.ended = True
        self.running.clear()
        self._marks.clear()
        self._schedule()

    def revive(self) -> None:
        """Serves again, cold, as a new incarnation."""
        self.alive = True
        self.incarnation += 1
        self.born_at = self.clock.now
        self.turn_cold()

    def _compute_speed(self) -> float:
        jobs = len(self.running)
        if not jobs or self.clock.now < self._paused_until:
            return 0.0
        shared = min(self.spec.stream_speed, self.spec.total_speed / jobs)
        return shared * self.slowness * min(1.0, self.get_bearable() / jobs)

    def _advance(self) -> None:
        elapsed = self.clock.now - self._updated_at
        made = elapsed * self._speed if elapsed else 0.0
        self._work += made
        self.tokens_served += made * len(self.running)
        self._updated_at = self.clock.now

    _speed: float = 0.0

    def _schedule(self) -> None:
        self._speed = self._compute_speed()
        self._generation += 1
        while self._marks and self._marks[0][3].ended:
            heappop(self._marks)
        if self._marks and self._speed > 0.0:
            wait = max(0.0, self._marks[0][0] - self._work) / self._speed
            self.clock.call_in(wait, self._reach_mark, self._generation)

    def _reach_mark(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        mark, _, kind, job = heappop(self._marks)
        self._work = max(self._work, mark)
        if kind == "end":
            job.ended = True
            self.running.discard(job)
        self._schedule()
        if kind == "end":
            job.on_end(True)
        else:
            job.on_first()

    def _tick_while_cold(self) -> None:
        self._advance()
        self._schedule()
        if self.alive and self.get_bearable() < self.spec.slots:
            self.clock.call_in(_COLD_TICK_SECONDS, self._tick_while_cold)

    def _resume(self) -> None:
        self._advance()
        self._schedule()
