"""The lease as every reader of the log sees it.

A claim names the term that it follows and the last renewal that its claimer had
read. It is accepted only if both are still current at its offset, so every reader
accepts the same claims without a clock in the log. This is safe because

* a claimer sends a claim no sooner than ``duration`` plus a margin after it *read*
  the renewal that the claim names, and the holder counts ``duration`` from before
  it *sent* that renewal, which is earlier;
* a renewal that lands before the claim makes the claim name an old sequence, and
  it is rejected, however far behind the claimer's view was;
* a renewal that lands after an accepted claim is of an old term and is rejected,
  and the holder counts no renewal that it has not read back as accepted;
* a claim that takes effect long after it was sent is either rejected by one of
  these rules, or starts a term whose claimer counts from before it sent, so that
  the term has lapsed for its claimer before anybody learns of it.
"""

from pydantic import BaseModel, ConfigDict

from buckthornstile.base import NO_TERM, Incarnation, Offset, ProcessName, Term
from buckthornstile.records import LeaseClaim, LeaseRelease, LeaseRenewal

LeaseRecord = LeaseClaim | LeaseRenewal | LeaseRelease

DEFAULT_CLOCK_RATE_ERROR = 0.01
"""How much faster or slower than true time a VM's clock may run, as a share."""

DEFAULT_LONGEST_ORDER_SECONDS = 2.0
"""Longest time that a write of the holder may be in flight."""


class LeaseState(BaseModel):
    """What all readers agree on after the same offset.

    Example:
        >>> LeaseState().term
        -1
    """

    model_config = ConfigDict(frozen=True)
    term: Term = NO_TERM
    holder: ProcessName = ProcessName("")
    incarnation: Incarnation = Incarnation("")
    duration: float = 0.0
    sequence: int = 0
    released: bool = False


class LeaseFold:
    """Folds lease records in offset order.

    Args:
        clock_rate_error: The greatest error of a VM's clock rate, as a share.
        longest_order: Seconds that a write of the holder may be in flight.

    Attributes:
        state: What all readers agree on.
        lapses_at: When the lease is over from this reader's viewpoint, on this
            reader's clock.

    Example:
        >>> fold = LeaseFold(clock_rate_error=0.0, longest_order=1.0)
        >>> claim = LeaseClaim(holder="e1", incarnation="i", follows=-1, duration=6)
        >>> fold.apply(Offset(4), claim, read_at=10.0)
        True
        >>> fold.term, fold.lapses_at
        (4, 17.0)
    """

    def __init__(
        self,
        *,
        clock_rate_error: float = DEFAULT_CLOCK_RATE_ERROR,
        longest_order: float = DEFAULT_LONGEST_ORDER_SECONDS,
    ) -> None:
        self.clock_rate_error = clock_rate_error
        self.longest_order = longest_order
        self.state = LeaseState()
        self.lapses_at = float("-inf")

    @property
    def term(self) -> Term:
        """The current term."""
        return self.state.term

    @property
    def holder(self) -> ProcessName:
        """The process that the current term belongs to."""
        return self.state.holder

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that the current term belongs to."""
        return self.state.incarnation

    def is_held_by(self, holder: ProcessName, incarnation: Incarnation) -> bool:
        """Tells whether the current term is this process's and not released.

        Args:
            holder: The process.
            incarnation: Its incarnation.

        Returns:
            True also if the term has lapsed but nobody has claimed since.

        Example:
            >>> LeaseFold().is_held_by(ProcessName("e1"), Incarnation("i"))
            False
        """
        state = self.state
        mine = state.holder == holder and state.incarnation == incarnation
        return mine and state.term != NO_TERM and not state.released

    def get_wait(self, duration: float) -> float:
        """Gives how long a reader waits after reading a claim or renewal.

        The holder's clock may run slow while the reader's runs fast.

        Args:
            duration: The lease's duration, in seconds.

        Returns:
            Seconds on the reader's clock.

        Example:
            >>> LeaseFold(clock_rate_error=0.0, longest_order=1.0).get_wait(6.0)
            7.0
        """
        rate = (1 + self.clock_rate_error) / (1 - self.clock_rate_error)
        return (duration + self.longest_order) * rate

    def apply(self, offset: Offset, record: LeaseRecord, *, read_at: float) -> bool:
        """Applies the record at an offset.

        Args:
            offset: Its offset; greater than that of any record before.
            record: The record.
            read_at: When this reader read it, on its own clock.

        Returns:
            Whether the record was accepted; the same for every reader.

        Example:
            >>> release = LeaseRelease(holder="e1", incarnation="i", term=4)
            >>> LeaseFold().apply(Offset(0), release, read_at=0.0)
            False
        """
        if isinstance(record, LeaseClaim):
            return self._apply_claim(offset, record, read_at)
        state = self.state
        if record.term != state.term:
            return False
        if not self.is_held_by(record.holder, record.incarnation):
            return False
        if isinstance(record, LeaseRelease):
            self.state = state.model_copy(update={"released": True})
            self.lapses_at = read_at + self.get_wait(0.0)
            return True
        if record.sequence <= state.sequence:
            return False
        self.state = state.model_copy(update={"sequence": record.sequence})
        self.lapses_at = read_at + self.get_wait(state.duration)
        return True

    def _apply_claim(self, offset: Offset, claim: LeaseClaim, read_at: float) -> bool:
        state = self.state
        if claim.follows != state.term or claim.follows_sequence != state.sequence:
            return False
        self.state = LeaseState(
            term=Term(offset),
            holder=claim.holder,
            incarnation=claim.incarnation,
            duration=claim.duration,
        )
        self.lapses_at = read_at + self.get_wait(claim.duration)
        return True

    def load_state(self, state: LeaseState, *, read_at: float) -> None:
        """Starts from a snapshot's state.

        Args:
            state: The state.
            read_at: When this reader read the snapshot; its waiting starts
                anew, since the snapshot says nothing of when the renewal came.

        Example:
            >>> fold = LeaseFold(clock_rate_error=0.0, longest_order=1.0)
            >>> fold.load_state(LeaseState(term=4, duration=6.0), read_at=1.0)
            >>> fold.lapses_at
            8.0
        """
        self.state = state
        self.lapses_at = read_at + self.get_wait(state.duration)
