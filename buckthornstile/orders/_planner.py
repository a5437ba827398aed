"""Turns wishes into orders, each sent at most once by each holder.

An order is sent only after its intent has been read back as accepted, and only by
the process whose term the intent names. Whatever is unknown afterwards is settled
by the platform's own list of orders, read after the order can no longer be in
flight; until then the scope stays closed to new orders. Nothing here relies on
the platform to honour idempotency keys or fencing numbers.
"""

from collections.abc import Collection, Iterable, Set
from dataclasses import dataclass
from typing import Literal, TypeVar

from buckthornstile.base import OrderId, Term
from buckthornstile.orders._actions import (
    AppendOrderRecord,
    OrderAction,
    OrderAnswer,
    OrderWish,
    ReadOrders,
    SendAgentOrder,
    SendUpstreamOrder,
)
from buckthornstile.orders._fold import (
    OpenOrder,
    OrderFold,
    OrderScope,
    make_scope,
)
from buckthornstile.ports import UpstreamOrder
from buckthornstile.records import OrderIntent, OrderOutcome

DEFAULT_TIMEOUT_SECONDS = 1.5
DEFAULT_SETTLE_SECONDS = 2.0
"""How long after its deadline an order may still take effect."""

DEFAULT_RETRY_SECONDS = 3.0
DEFAULT_MAXIMUM_INTENT_AGE_SECONDS = 30.0
"""Age at which an intent that landed late is given up unsent."""

DEFAULT_MAXIMUM_WISHES = 1_000
_Value = TypeVar("_Value")

MAX_ACTIONS = 64
"""Actions of one decision; the rest follows with the next."""


_OUTCOMES: dict[OrderAnswer, Literal["done", "refused", "abandoned"]] = {
    OrderAnswer.DONE: "done",
    OrderAnswer.REFUSED: "refused",
}


@dataclass(slots=True)
class _PendingIntent:
    intent: OrderIntent
    made_at: float
    retry_at: float


class OrderPlanner:
    """Decides what to append, send and read, for the holder of the lease.

    Args:
        fold: The order fold of this process.
        timeout: An order's deadline, in seconds.
        settle: Seconds after its deadline when an order may still take effect.
        retry: Seconds after which an unconfirmed append or read is repeated.
        maximum_intent_age: Seconds after which a late intent is not sent.
        maximum_wishes: Wishes that are kept.

    Example:
        >>> planner = OrderPlanner(OrderFold())
        >>> planner.request([OrderWish("start", "bench-a", "desk")])
        1
        >>> action = planner.decide(0.0, Term(4), term_since=0.0, wall_now=0.0)[0]
        >>> action.record.order_id
        'scale/bench-a/desk/0'
    """

    def __init__(
        self,
        fold: OrderFold,
        *,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        settle: float = DEFAULT_SETTLE_SECONDS,
        retry: float = DEFAULT_RETRY_SECONDS,
        maximum_intent_age: float = DEFAULT_MAXIMUM_INTENT_AGE_SECONDS,
        maximum_wishes: int = DEFAULT_MAXIMUM_WISHES,
    ) -> None:
        self.fold = fold
        self.timeout = timeout
        self.settle = settle
        self.retry = retry
        self.maximum_intent_age = maximum_intent_age
        self.maximum_wishes = maximum_wishes
        self._wishes: dict[OrderScope, OrderWish] = {}
        self._pending: dict[OrderScope, _PendingIntent] = {}
        self._made_at: dict[OrderId, float] = {}
        self._in_flight: set[OrderId] = set()
        self._send_at: dict[OrderId, float] = {}
        self._unknown_until: dict[OrderId, float] = {}
        self._outcomes: dict[OrderId, OrderOutcome] = {}
        self._outcome_retry_at: dict[OrderId, float] = {}
        self._read_at = float("-inf")

    @property
    def wish_count(self) -> int:
        """How many wishes wait."""
        return len(self._wishes)

    @property
    def is_idle(self) -> bool:
        """Whether no order is in flight."""
        return not self._in_flight

    def request(self, wishes: Iterable[OrderWish]) -> int:
        """Replaces the wishes that have not become intents yet.

        Args:
            wishes: At most one counts in each scope; the last one wins. Those in
                a scope with an open order are dropped: the planner that made
                them did not know of it.

        Returns:
            How many wishes were taken.

        Example:
            >>> wish = OrderWish("start", "bench-a", "desk")
            >>> OrderPlanner(OrderFold()).request([wish, wish])
            1
        """
        self._wishes = {}
        for wish in wishes:
            scope = make_scope(
                wish.action, wish.failure_domain, wish.service, wish.upstream
            )
            busy = self.fold.is_open(scope) or scope in self._pending
            if not busy and len(self._wishes) < self.maximum_wishes:
                self._wishes[scope] = wish
        return len(self._wishes)

    def decide(
        self, now: float, term: Term, *, term_since: float, wall_now: float
    ) -> list[OrderAction]:
        """Decides what to do now.

        Args:
            now: Monotonic seconds.
            term: This process's term; the caller has checked that it is live.
            term_since: When this process read its accepted claim.
            wall_now: Seconds since the epoch, for the record only.

        Returns:
            At most :data:`MAX_ACTIONS` actions.

        Example:
            >>> planner = OrderPlanner(OrderFold())
            >>> planner.decide(0.0, Term(1), term_since=0.0, wall_now=0.0)
            []
        """
        self._forget_closed()
        actions: list[OrderAction] = []
        must_read = False
        for order in list(self.fold.open_orders.values()):
            if len(actions) >= MAX_ACTIONS:
                return actions
            action = self._decide_open(order, now, term, term_since)
            if action is not None:
                actions.append(action)
            elif self._needs_list(order, now, term):
                must_read = True
        if must_read and now >= self._read_at + self.retry:
            self._read_at = now
            actions.append(ReadOrders())
        actions.extend(self._append_intents(now, term, wall_now))
        return actions[:MAX_ACTIONS]

    def on_answer(self, order_id: OrderId, answer: OrderAnswer, now: float) -> None:
        """Learns how an attempt to send an order ended.

        Args:
            order_id: The order.
            answer: How it ended.
            now: Monotonic seconds.

        Example:
            >>> planner = OrderPlanner(OrderFold())
            >>> planner.on_answer(OrderId("o"), OrderAnswer.DONE, 0.0)
        """
        self._in_flight.discard(order_id)
        order = self.fold.open_orders.get(order_id)
        if order is None:
            return
        if answer is OrderAnswer.NOT_SENT:
            self._send_at[order_id] = now + self.retry
            return
        if answer is OrderAnswer.UNKNOWN and order.intent.action != "load_version":
            # The read must begin when the order can no longer take effect.
            self._unknown_until[order_id] = now + self.timeout + self.settle
            return
        self._set_outcome(order, answer)

    def on_orders_listed(
        self,
        order_ids: Collection[OrderId],
        term: Term,
        *,
        started_at: float,
        term_since: float,
    ) -> None:
        """Learns what the platform has carried out.

        Args:
            order_ids: The platform's answer.
            term: This process's term.
            started_at: When the read began.
            term_since: When this process read its accepted claim.

        Example:
            >>> planner = OrderPlanner(OrderFold())
            >>> planner.on_orders_listed((), Term(1), started_at=1.0, term_since=0.0)
        """
        carried_out = frozenset(order_ids)
        for order_id, order in self.fold.open_orders.items():
            if order_id in self._in_flight or order.intent.action == "load_version":
                continue
            settled_at = self._unknown_until.get(order_id)
            if settled_at is None:
                if order.intent.term == term:
                    continue
                # An earlier holder's last order may have left just before its end.
                settled_at = term_since + self.settle
            if started_at < settled_at:
                continue
            done = order_id in carried_out
            answer = OrderAnswer.DONE if done else OrderAnswer.NOT_SENT
            self._set_outcome(order, answer)

    def _decide_open(
        self, order: OpenOrder, now: float, term: Term, term_since: float
    ) -> OrderAction | None:
        intent = order.intent
        order_id = intent.order_id
        if order_id in self._in_flight:
            return None
        if order_id in self._outcomes:
            return self._append_outcome(order_id, now, term)
        if order_id in self._unknown_until:
            return None
        if intent.term != term:
            if intent.action != "load_version":
                return None
            # Agents refuse the older term, and loading a version is idempotent.
            self._set_outcome(order, OrderAnswer.NOT_SENT)
            return self._append_outcome(order_id, now, term)
        if now - self._made_at.get(order_id, float("-inf")) > self.maximum_intent_age:
            self._set_outcome(order, OrderAnswer.NOT_SENT)
            return self._append_outcome(order_id, now, term)
        if now < self._send_at.get(order_id, now):
            return None
        self._in_flight.add(order_id)
        return _make_send(intent, self.timeout)

    def _needs_list(self, order: OpenOrder, now: float, term: Term) -> bool:
        order_id = order.intent.order_id
        if order_id in self._in_flight or order_id in self._outcomes:
            return False
        settled_at = self._unknown_until.get(order_id)
        if settled_at is not None:
            return now >= settled_at
        return order.intent.term != term

    def _append_intents(
        self, now: float, term: Term, wall_now: float
    ) -> list[OrderAction]:
        actions: list[OrderAction] = []
        for scope in [s for s in self._wishes if not self.fold.is_open(s)]:
            if scope not in self._pending:
                wish = self._wishes.pop(scope)
                intent = self._make_intent(scope, wish, term, wall_now)
                self._pending[scope] = _PendingIntent(intent, now, float("-inf"))
                self._made_at[intent.order_id] = now
        for scope, pending in list(self._pending.items()):
            expected = self.fold.make_next_id(scope)
            is_current = (
                pending.intent.term == term and pending.intent.order_id == expected
            )
            if not is_current or now - pending.made_at > self.maximum_intent_age:
                del self._pending[scope]
            elif now >= pending.retry_at:
                pending.retry_at = now + self.retry
                actions.append(AppendOrderRecord(pending.intent))
        return actions

    def _make_intent(
        self, scope: OrderScope, wish: OrderWish, term: Term, wall_now: float
    ) -> OrderIntent:
        return OrderIntent(
            order_id=self.fold.make_next_id(scope),
            term=term,
            action=wish.action,
            failure_domain=wish.failure_domain,
            service=wish.service,
            upstream=wish.upstream,
            count=wish.count,
            version=wish.version,
            started=wall_now,
        )

    def _set_outcome(self, order: OpenOrder, answer: OrderAnswer) -> None:
        order_id = order.intent.order_id
        self._unknown_until.pop(order_id, None)
        self._outcomes[order_id] = OrderOutcome(
            order_id=order_id,
            term=order.intent.term,
            outcome=_OUTCOMES.get(answer, "abandoned"),
        )

    def _append_outcome(
        self, order_id: OrderId, now: float, term: Term
    ) -> OrderAction | None:
        if now < self._outcome_retry_at.get(order_id, float("-inf")):
            return None
        self._outcome_retry_at[order_id] = now + self.retry
        outcome = self._outcomes[order_id].model_copy(update={"term": term})
        return AppendOrderRecord(outcome)

    def _forget_closed(self) -> None:
        open_ids = self.fold.open_orders.keys()
        pending_ids = {pending.intent.order_id for pending in self._pending.values()}
        _keep_only(self._outcomes, open_ids)
        _keep_only(self._outcome_retry_at, open_ids)
        _keep_only(self._unknown_until, open_ids)
        _keep_only(self._send_at, open_ids)
        _keep_only(self._made_at, open_ids | pending_ids)
        self._in_flight &= open_ids


def _keep_only(table: dict[OrderId, _Value], order_ids: Set[OrderId]) -> None:
    for order_id in [key for key in table if key not in order_ids]:
        del table[order_id]


def _make_send(
    intent: OrderIntent, timeout: float
) -> SendUpstreamOrder | SendAgentOrder:
    if intent.action == "load_version":
        return SendAgentOrder(
            upstream=intent.upstream,
            order_id=intent.order_id,
            term=intent.term,
            action=intent.action,
            version=intent.version,
            timeout=timeout,
        )
    order = UpstreamOrder(
        order_id=intent.order_id,
        term=intent.term,
        action=intent.action,
        failure_domain=intent.failure_domain,
        service=intent.service,
        count=intent.count,
        upstream=intent.upstream,
    )
    return SendUpstreamOrder(order, timeout)
