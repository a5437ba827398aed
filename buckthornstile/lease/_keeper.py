"""How one process gets, keeps and gives up the lease."""

import random
from dataclasses import dataclass

from buckthornstile.base import Incarnation, Offset, ProcessName, Term
from buckthornstile.lease._fold import LeaseFold, LeaseRecord
from buckthornstile.records import LeaseClaim, LeaseRelease, LeaseRenewal

DEFAULT_DURATION_SECONDS = 9.0
DEFAULT_JITTER_SECONDS = 1.0
RENEWALS_PER_DURATION = 3
RETRY_SHARE = 0.25
"""Share of the duration after which an unconfirmed claim is sent again."""

MAX_SENT_RENEWALS = 64
_NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append this claim to the log."""

    record: LeaseClaim


@dataclass(frozen=True, slots=True)
class AppendRenewal:
    """Append this renewal to the log."""

    record: LeaseRenewal


@dataclass(frozen=True, slots=True)
class AppendRelease:
    """Append this release to the log."""

    record: LeaseRelease


LeaseAction = AppendClaim | AppendRenewal | AppendRelease


class LeaseKeeper:
    """Decides when to claim, renew and release, and whether to act.

    The caller passes each lease record that it reads first to the fold and
    then, with the fold's answer, to :meth:`on_applied`.

    Args:
        fold: The lease fold of this process.
        holder: This process.
        incarnation: Its incarnation.
        rng: The random source of the jitter.
        duration: The lease's duration, in seconds.
        jitter: Longest extra wait before a claim, in seconds.
        renewal_interval: Seconds between renewals; a third of the duration by
            default.

    Example:
        >>> fold = LeaseFold()
        >>> keeper = LeaseKeeper(
        ...     fold, "e1", "i", random.Random(0), duration=9.0, jitter=0.0
        ... )
        >>> claim = keeper.decide(100.0).record
        >>> keeper.on_applied(Offset(0), claim, fold.apply(0, claim, read_at=101.0))
        >>> keeper.may_act(108.0, order_seconds=0.5)
        0
        >>> keeper.may_act(108.5, order_seconds=0.5) is None
        True
    """

    def __init__(
        self,
        fold: LeaseFold,
        holder: ProcessName,
        incarnation: Incarnation,
        rng: random.Random,
        *,
        duration: float = DEFAULT_DURATION_SECONDS,
        jitter: float = DEFAULT_JITTER_SECONDS,
        renewal_interval: float | None = None,
    ) -> None:
        self.fold = fold
        self.holder = holder
        self.incarnation = incarnation
        self.rng = rng
        self.duration = duration
        self.jitter = jitter
        self.renewal_interval = renewal_interval
        self.stopping = False
        self._granted_from = _NEVER
        self._claims_sent: dict[tuple[Term, int], float] = {}
        self._renewals_sent: dict[int, float] = {}
        self._next_sequence = 1
        self._next_attempt_at = _NEVER
        self._claim_basis: tuple[Term, int] | None = None
        self._release_sent = False

    def stop(self) -> None:
        """Gives up the lease for the rest of this incarnation.

        Example:
            >>> keeper = LeaseKeeper(LeaseFold(), "e1", "i", random.Random(0))
            >>> keeper.stop()
            >>> keeper.decide(0.0) is None
            True
        """
        self.stopping = True

    def decide(self, now: float, *, candidate: bool = True) -> LeaseAction | None:
        """Decides what to append now.

        The keeper counts from this call, so the caller appends the record after
        it, however much later; a record is never appended twice by the caller.

        Args:
            now: Seconds on a clock that goes on while the VM is suspended.
            candidate: Whether this process may claim.

        Returns:
            What to append, or None.

        Example:
            >>> keeper = LeaseKeeper(LeaseFold(), "e1", "i", random.Random(0))
            >>> keeper.decide(0.0, candidate=False) is None
            True
        """
        if self.fold.is_held_by(self.holder, self.incarnation):
            return self._decide_held(now)
        if self.stopping or not candidate:
            return None
        return self._decide_claim(now)

    def may_act(self, now: float, *, order_seconds: float) -> Term | None:
        """Tells whether a write may start now; asked immediately before it.

        Args:
            now: Seconds on the clock of :meth:`decide`.
            order_seconds: The write's own deadline, in seconds from now.

        Returns:
            The term to write under, or None if the lease may end sooner than
            the write.

        Example:
            >>> keeper = LeaseKeeper(LeaseFold(), "e1", "i", random.Random(0))
            >>> keeper.may_act(0.0, order_seconds=1.0) is None
            True
        """
        if self.stopping or order_seconds > self.fold.longest_order:
            return None
        if not self.fold.is_held_by(self.holder, self.incarnation):
            return None
        if now + order_seconds >= self.get_granted_until():
            return None
        return self.fold.term

    def get_granted_until(self) -> float:
        """Gives when this process's own right ends, on its own clock.

        Returns:
            Minus infinity if it has none.

        Example:
            >>> keeper = LeaseKeeper(LeaseFold(), "e1", "i", random.Random(0))
            >>> keeper.get_granted_until()
            -inf
        """
        if not self.fold.is_held_by(self.holder, self.incarnation):
            return _NEVER
        return self._granted_from + self.fold.state.duration

    def on_applied(self, offset: Offset, record: LeaseRecord, accepted: bool) -> None:
        """Learns what the fold made of a record that was read back.

        Args:
            offset: The record's offset.
            record: The record.
            accepted: What :meth:`LeaseFold.apply` answered.

        Example:
            >>> keeper = LeaseKeeper(LeaseFold(), "e1", "i", random.Random(0))
            >>> claim = LeaseClaim(
            ...     holder="e2", incarnation="j", follows=-1, duration=6
            ... )
            >>> keeper.on_applied(Offset(0), claim, True)
        """
        if not accepted:
            return
        mine = record.holder == self.holder and record.incarnation == self.incarnation
        if isinstance(record, LeaseClaim):
            basis = (record.follows, record.follows_sequence)
            sent_at = self._claims_sent.get(basis, _NEVER) if mine else _NEVER
            self._granted_from = sent_at
            self._claims_sent.clear()
            self._renewals_sent.clear()
            self._next_sequence = 1
            # Half of the normal interval: the claim itself may have been slow.
            self._next_attempt_at = sent_at + self._get_renewal_interval() / 2
        elif isinstance(record, LeaseRenewal) and mine:
            sent_at = self._renewals_sent.get(record.sequence, _NEVER)
            self._granted_from = max(self._granted_from, sent_at)
            for sequence in [s for s in self._renewals_sent if s <= record.sequence]:
                del self._renewals_sent[sequence]

    def _get_renewal_interval(self) -> float:
        if self.renewal_interval is not None:
            return self.renewal_interval
        return self.duration / RENEWALS_PER_DURATION

    def _decide_held(self, now: float) -> LeaseAction | None:
        if self.stopping:
            return self._decide_release(now)
        if now < self._next_attempt_at:
            return None
        if len(self._renewals_sent) >= MAX_SENT_RENEWALS:
            del self._renewals_sent[min(self._renewals_sent)]
        sequence = max(self._next_sequence, self.fold.state.sequence + 1)
        self._next_sequence = sequence + 1
        self._renewals_sent[sequence] = now
        spread = self.rng.uniform(0.8, 1.0)
        self._next_attempt_at = now + spread * self._get_renewal_interval()
        return AppendRenewal(
            LeaseRenewal(
                holder=self.holder,
                incarnation=self.incarnation,
                term=self.fold.term,
                sequence=sequence,
            )
        )

    def _decide_release(self, now: float) -> LeaseAction | None:
        if self._release_sent and now < self._next_attempt_at:
            return None
        self._release_sent = True
        self._next_attempt_at = now + RETRY_SHARE * self.duration
        return AppendRelease(
            LeaseRelease(
                holder=self.holder, incarnation=self.incarnation, term=self.fold.term
            )
        )

    def _decide_claim(self, now: float) -> LeaseAction | None:
        state = self.fold.state
        basis = (state.term, state.sequence)
        if basis != self._claim_basis:
            self._claim_basis = basis
            self._claims_sent.clear()
            start = max(now, self.fold.lapses_at)
            self._next_attempt_at = start + self.rng.uniform(0.0, self.jitter)
        if now < max(self._next_attempt_at, self.fold.lapses_at):
            return None
        # Two claims on the same basis cannot be told apart once one of them is
        # accepted, so the time of the first counts for both.
        self._claims_sent.setdefault(basis, now)
        retry = RETRY_SHARE * self.duration + self.rng.uniform(0.0, self.jitter)
        self._next_attempt_at = now + retry
        return AppendClaim(
            LeaseClaim(
                holder=self.holder,
                incarnation=self.incarnation,
                follows=state.term,
                follows_sequence=state.sequence,
                duration=self.duration,
            )
        )
