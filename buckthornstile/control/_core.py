"""The decision core of control: what one candidate or holder does next."""

import random
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from buckthornstile.base import (
    Incarnation,
    Offset,
    OrderId,
    ProcessName,
    Term,
    WindowStart,
)
from buckthornstile.control._actions import Append, ControlAction
from buckthornstile.control._fold import ControlFold
from buckthornstile.control._reports import ReportPlanner
from buckthornstile.control._snapshots import SnapshotPlanner
from buckthornstile.lease import LeaseFold, LeaseKeeper
from buckthornstile.orders import (
    AppendOrderRecord,
    OrderAnswer,
    OrderPlanner,
    OrderWish,
)
from buckthornstile.records import (
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    Record,
)


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """What an operator sees of control in one process.

    Args:
        term: The current term.
        holder: The process that it belongs to.
        is_holder: Whether that is this process.
        seconds_left: What is left of this process's own right; 0 for none.
        offset: The last offset that was read.
        is_ready: Whether the fold's state is whole.
        open_orders: Orders without an outcome.
        waiting_wishes: Wishes without an intent.
        unreported_windows: Sealed windows that are not reported.
        counters: Accepted and rejected records by kind, and others.
    """

    term: Term
    holder: ProcessName
    is_holder: bool
    seconds_left: float
    offset: Offset
    is_ready: bool
    open_orders: int
    waiting_wishes: int
    unreported_windows: int
    counters: dict[str, int]


class ControlCore:
    """Claims the lease and does what its holder has to do.

    Args:
        fold: The control fold.
        keeper: The lease's keeper over ``fold.lease``.
        orders: The order planner over ``fold.orders``.
        reports: The report planner over ``fold.usage``.
        snapshots: The snapshot planner over ``fold``.

    Example:
        >>> core = make_control_core("e1", "i", random.Random(0), jitter=0.0)
        >>> action = core.decide(5.0, wall_now=0.0)[0]
        >>> core.apply(Offset(0), action.record, read_at=5.1)
        True
        >>> core.may_act(5.2, order_seconds=1.0)
        0
    """

    def __init__(
        self,
        fold: ControlFold,
        keeper: LeaseKeeper,
        orders: OrderPlanner,
        reports: ReportPlanner,
        snapshots: SnapshotPlanner,
    ) -> None:
        self.fold = fold
        self.keeper = keeper
        self.orders = orders
        self.reports = reports
        self.snapshots = snapshots
        self.counters: Counter[str] = Counter()
        self._term_since = float("inf")

    def apply(self, offset: Offset, record: Record, *, read_at: float) -> bool:
        """Applies a record of the log.

        Args:
            offset: Its offset.
            record: The record.
            read_at: When it was read, on the clock of :meth:`decide`.

        Returns:
            Whether it was accepted.

        Example:
            >>> core = make_control_core("e1", "i", random.Random(0))
            >>> release = LeaseRelease(holder="e1", incarnation="i", term=4)
            >>> core.apply(Offset(0), release, read_at=0.0)
            False
        """
        term = self.fold.lease.term
        accepted = self.fold.apply(offset, record, read_at=read_at)
        if self.fold.lease.term != term:
            self._term_since = read_at
        if isinstance(record, LeaseClaim | LeaseRenewal | LeaseRelease):
            self.keeper.on_applied(offset, record, accepted)
        verdict = "accepted" if accepted else "passed_over"
        self.counters[f"{record.kind}.{verdict}"] += 1
        return accepted

    def decide(
        self, now: float, *, wall_now: float, candidate: bool = True
    ) -> list[ControlAction]:
        """Decides what to do now.

        Args:
            now: Seconds on a clock that goes on while the VM is suspended.
            wall_now: Seconds since the epoch.
            candidate: Whether this process may claim the lease.

        Returns:
            The actions, each of which is run once or dropped.

        Example:
            >>> core = make_control_core("e1", "i", random.Random(0))
            >>> core.decide(0.0, wall_now=0.0, candidate=False)
            []
        """
        if not self.fold.is_ready:
            return []
        actions = self._decide_lease(now, candidate)
        term = self.may_act(now, order_seconds=0.0)
        if term is None:
            return actions
        actions += self.reports.decide(
            now, term, through=self.fold.offset, wall_now=wall_now
        )
        for action in self.orders.decide(
            now, term, term_since=self._term_since, wall_now=wall_now
        ):
            if isinstance(action, AppendOrderRecord):
                actions.append(Append(action.record))
            else:
                actions.append(action)
        snapshot = self.snapshots.decide(now)
        if snapshot is not None:
            actions.append(Append(snapshot))
        return actions

    def may_act(self, now: float, *, order_seconds: float) -> Term | None:
        """Tells whether a write may start now; asked immediately before it.

        Example:
            >>> core = make_control_core("e1", "i", random.Random(0))
            >>> core.may_act(0.0, order_seconds=1.0) is None
            True
        """
        if not self.fold.is_ready:
            return None
        return self.keeper.may_act(now, order_seconds=order_seconds)

    def request_orders(self, wishes: Iterable[OrderWish]) -> int:
        """Replaces the wishes for orders; see :meth:`OrderPlanner.request`.

        Example:
            >>> core = make_control_core("e1", "i", random.Random(0))
            >>> core.request_orders([OrderWish("start", "bench-a", "desk")])
            1
        """
        return self.orders.request(wishes)

    def on_report_result(self, window: WindowStart, taken: bool, now: float) -> None:
        """Learns whether the platform has taken a report."""
        self.counters[f"report.{'taken' if taken else 'not_taken'}"] += 1
        self.reports.on_report_result(window, taken, now)

    def on_order_answer(
        self, order_id: OrderId, answer: OrderAnswer, now: float
    ) -> None:
        """Learns how an attempt to send an order to anybody ended."""
        self.counters[f"order.{answer.value}"] += 1
        self.orders.on_answer(order_id, answer, now)

    def on_orders_listed(
        self, order_ids: Collection[OrderId], *, started_at: float
    ) -> None:
        """Learns which orders the platform has carried out."""
        self.orders.on_orders_listed(
            order_ids,
            self.fold.lease.term,
            started_at=started_at,
            term_since=self._term_since,
        )

    def stop(self) -> None:
        """Begins a planned stop: nothing new, then the release of the lease."""
        self.keeper.stop()

    def make_status(self, now: float) -> ControlStatus:
        """Makes what an operator sees.

        Example:
            >>> core = make_control_core("e1", "i", random.Random(0))
            >>> core.make_status(0.0).is_holder
            False
        """
        lease = self.fold.lease
        return ControlStatus(
            term=lease.term,
            holder=lease.holder,
            is_holder=lease.is_held_by(self.keeper.holder, self.keeper.incarnation),
            seconds_left=max(0.0, self.keeper.get_granted_until() - now),
            offset=self.fold.offset,
            is_ready=self.fold.is_ready,
            open_orders=len(self.fold.orders.open_orders),
            waiting_wishes=self.orders.wish_count,
            unreported_windows=len(self.fold.usage.unreported),
            counters=dict(self.counters),
        )

    def _decide_lease(self, now: float, candidate: bool) -> list[ControlAction]:
        is_busy = not (self.reports.is_idle and self.orders.is_idle)
        if self.keeper.stopping and is_busy:
            return []
        action = self.keeper.decide(now, candidate=candidate)
        return [Append(action.record, needs_lease=False)] if action else []


def make_control_core(
    holder: ProcessName,
    incarnation: Incarnation,
    rng: random.Random,
    *,
    duration: float = 9.0,
    jitter: float = 1.0,
    window: int = 60,
    grace: float = 12.0,
    snapshot_records: int = 5_000,
    snapshot_seconds: float = 300.0,
    order_timeout: float = 1.5,
    margin: float = 2.0,
    renewal_interval: float | None = None,
) -> ControlCore:
    """Makes a control core with all its parts over one fold.

    Args:
        holder: This process.
        incarnation: Its incarnation.
        rng: The random source of the jitter.
        duration: The lease's duration, in seconds.
        jitter: Longest extra wait before a claim, in seconds.
        window: A usage window's length, in seconds.
        grace: Seconds from a window's end to its seal.
        snapshot_records: Records after which a snapshot is due.
        snapshot_seconds: Seconds after which a snapshot is due.
        order_timeout: Longest time that an order or report may take, in seconds.
        margin: Seconds by which followers wait longer than the lease; at least
            ``order_timeout`` is taken, and it must be the same everywhere.
        renewal_interval: Seconds between renewals; a third of the duration by
            default.

    Returns:
        The core.

    Example:
        >>> make_control_core("e1", "i", random.Random(0)).keeper.holder
        'e1'
    """
    lease = LeaseFold(longest_order=max(margin, order_timeout))
    fold = ControlFold(lease=lease)
    return ControlCore(
        fold,
        LeaseKeeper(
            fold.lease,
            holder,
            incarnation,
            rng,
            duration=duration,
            jitter=jitter,
            renewal_interval=renewal_interval,
        ),
        OrderPlanner(fold.orders, timeout=order_timeout),
        ReportPlanner(fold.usage, window=window, grace=grace, timeout=order_timeout),
        SnapshotPlanner(fold, records=snapshot_records, seconds=snapshot_seconds),
    )
