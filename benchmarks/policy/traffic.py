"""Callers and trainers, the same for every policy under one seed."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cache
from math import exp, log
from random import Random

from benchmarks.policy.cluster import Call, Cluster, Entry
from benchmarks.policy.sites import Source, Trainer
from buckthornstile.base import RequestClass, Verdict

_HEDGE_SHARE = 0.1
_ESTIMATE_SPREAD = 0.25


def _draw_tokens(rng: Random, trainer: Trainer) -> float:
    drawn = exp(rng.gauss(log(trainer.tokens), trainer.spread))
    return min(max(drawn, 8.0), trainer.longest)


@cache
def _compute_mean_tokens(trainer: Trainer) -> float:
    rng = Random("demand")
    return sum(_draw_tokens(rng, trainer) for _ in range(4000)) / 4000


@dataclass
class Caller:
    """One source's calls, at random times."""

    cluster: Cluster
    source: Source
    compute_factor: Callable[[float], float]
    until: float
    calls: list[Call] = field(default_factory=list)

    def begin(self) -> None:
        """Starts to call."""
        source, site = self.source, self.cluster.site
        service = next(s for s in site.services if s.name == source.service)
        workers = sum(number for _, number in service.workers)
        capacity = workers * service.spec.total_speed
        self.rate = source.load * capacity / source.tokens
        name = f"{self.cluster.seed} {source.account} {source.service}"
        self.rng = Random(name)
        self._wait()

    def _wait(self) -> None:
        factor = self.compute_factor(self.cluster.clock.now)
        gap = self.rng.expovariate(self.rate * factor)
        self.cluster.clock.call_in(gap, self._call)

    def _call(self) -> None:
        now, source = self.cluster.clock.now, self.source
        if now >= self.until:
            return
        call = Call(
            source.account,
            source.service,
            source.request_class,
            tokens=1.0 + self.rng.expovariate(1.0 / source.tokens),
            expected=source.tokens,
            on_end=lambda call: None,
            prompt=source.prompt,
            deadline=now + source.patience,
            born_at=now,
        )
        self.calls.append(call)
        entry = self.cluster.entries[int(self.rng.random() * self.cluster.site.entries)]
        entry.send(call)
        self._wait()


@dataclass
class Lot:
    """One step's samples; the first whole, fresh result of a slot wins."""

    number: int
    size: int
    needed: int
    asked_at: float
    delivered: dict[tuple[int, int], int] = field(default_factory=dict)
    attempts: dict[tuple[int, int], list[Call]] = field(default_factory=dict)
    specs: dict[tuple[int, int], tuple[float, float]] = field(default_factory=dict)
    hedged: set[tuple[int, int]] = field(default_factory=set)

    @property
    def is_ready(self) -> bool:
        """Whether a step can begin."""
        return len(self.delivered) >= self.needed


@dataclass
class TrainerLoop:
    """A trainer's loop: one lot is made while the one before is trained on."""

    cluster: Cluster
    trainer: Trainer
    until: float
    steps: list[tuple[float, float]] = field(default_factory=list)
    ages: list[tuple[float, int]] = field(default_factory=list)
    served: list[tuple[float, float]] = field(default_factory=list)
    lots: list[Lot] = field(default_factory=list)
    too_old: int = 0
    doubled: int = 0
    wanted: int = 0

    def begin(self) -> None:
        """Asks for the first lot."""
        self.free_at = self.cluster.clock.now
        self.training = False
        number = self.cluster.site.trainers.index(self.trainer)
        self.entry: Entry = self.cluster.entries[number % len(self.cluster.entries)]
        self._ask()

    def compute_demand(self) -> float:
        """Computes the tokens a second that it takes if it never waits."""
        trainer = self.trainer
        mean = _compute_mean_tokens(trainer)
        return mean * trainer.groups * trainer.samples / trainer.train_seconds

    def _ask(self) -> None:
        trainer, now = self.trainer, self.cluster.clock.now
        size = trainer.groups * trainer.samples
        lot = Lot(len(self.lots), size, int(size * trainer.needed), now)
        self.lots.append(lot)
        self.wanted += size
        rng = Random(f"{self.cluster.seed} {trainer.account} {lot.number}")
        for group in range(trainer.groups):
            for index in range(trainer.samples):
                tokens = _draw_tokens(rng, trainer)
                # The caller's estimate knows the length only roughly.
                expected = tokens * exp(rng.gauss(0.0, _ESTIMATE_SPREAD))
                lot.specs[group, index] = (tokens, expected)
        for slot in lot.specs:
            self._send(lot, slot, self.entry)

    def _send(self, lot: Lot, slot: tuple[int, int], entry: Entry) -> None:
        trainer, now = self.trainer, self.cluster.clock.now
        tokens, expected = lot.specs[slot]
        call = Call(
            trainer.account,
            trainer.service,
            RequestClass.TRAINER,
            tokens=tokens,
            expected=expected,
            on_end=lambda call: self._on_end(lot, slot, call),
            prompt=trainer.prompt,
            prefix=f"{trainer.account}/{lot.number}/{slot[0]}",
            needed_at=self.free_at if self.training else now,
            minimum_version=self.cluster.published - trainer.maximum_age,
            born_at=now,
        )
        lot.attempts.setdefault(slot, []).append(call)
        entry.send(call)

    def _on_end(self, lot: Lot, slot: tuple[int, int], call: Call) -> None:
        now = self.cluster.clock.now
        if slot in lot.delivered:
            self.doubled += 1
            return
        age = self.cluster.published - call.version
        if call.verdict is not Verdict.RAN or age > self.trainer.maximum_age:
            self.too_old += call.verdict is Verdict.RAN
            self._send(lot, slot, self.entry)
            return
        lot.delivered[slot] = age
        self.ages.append((now, age))
        self.served.append((now, call.tokens))
        for other in lot.attempts.pop(slot):
            if other is not call:
                self.entry.cancel(other)
        self._begin_step()
        if self.cluster.policy.hedge:
            self._hedge(lot)

    def _begin_step(self) -> None:
        now, lot = self.cluster.clock.now, self.lots[-1]
        if self.training or not lot.is_ready or now >= self.until:
            return
        self.steps.append((self.free_at, now))
        self.training = True
        self.free_at = now + self.trainer.train_seconds
        self.cluster.clock.call_in(self.trainer.train_seconds, self._end_step)
        self._ask()

    def _end_step(self) -> None:
        self.training = False
        self._begin_step()

    def _hedge(self, lot: Lot) -> None:
        left = [slot for slot in lot.specs if slot not in lot.delivered]
        short = lot.needed - len(lot.delivered)
        if not 0 < short <= max(1, int(_HEDGE_SHARE * lot.size)):
            return
        if not self.entry.has_idle_capacity(self.trainer.service):
            return
        for slot in left:
            if slot not in lot.hedged:
                lot.hedged.add(slot)
                self._send(lot, slot, self.entry)
