"""Folds order intents and outcomes.

At most one order is open in a scope: a failure domain and service for starts and
stops, an upstream for swaps of its weights. An order's id names the offset of the
scope's last intent, so of two intents made from the same view only the first is
accepted, and an id is never used again.
"""

from typing import NewType

from pydantic import BaseModel, ConfigDict

from buckthornstile.base import (
    NO_OFFSET,
    FailureDomain,
    Offset,
    OrderId,
    ServiceName,
    Term,
    UpstreamId,
    WeightVersion,
)
from buckthornstile.records import OrderIntent, OrderOutcome

OrderRecord = OrderIntent | OrderOutcome
OrderScope = NewType("OrderScope", str)
"""What at most one order is open for."""

DEFAULT_MAXIMUM_SCOPES = 4_096


class OpenOrder(BaseModel):
    """An accepted intent without an outcome.

    Example:
        >>> intent = OrderIntent(order_id="o", term=1, action="start")
        >>> OpenOrder(offset=3, intent=intent).offset
        3
    """

    model_config = ConfigDict(frozen=True)
    offset: Offset
    intent: OrderIntent


class OrderState(BaseModel):
    """All that an order fold needs to go on from an offset.

    Example:
        >>> OrderState().open_orders
        ()
    """

    model_config = ConfigDict(frozen=True)
    open_orders: tuple[OpenOrder, ...] = ()
    last_intents: tuple[tuple[OrderScope, Offset], ...] = ()
    forgotten_through: Offset = NO_OFFSET
    weight_targets: tuple[tuple[ServiceName, WeightVersion], ...] = ()


def make_scope(
    action: str,
    failure_domain: FailureDomain,
    service: ServiceName,
    upstream: UpstreamId,
) -> OrderScope:
    """Makes the scope within which one order is open at a time.

    Args:
        action: ``start``, ``stop`` or ``load_version``.
        failure_domain: Where upstreams start or stop.
        service: For which service.
        upstream: The upstream to swap; starts and stops ignore it.

    Returns:
        The scope.

    Example:
        >>> make_scope("start", "bench-a", "desk", "")
        'scale/bench-a/desk'
    """
    if action == "load_version":
        return OrderScope(f"load/{upstream}")
    return OrderScope(f"scale/{failure_domain}/{service}")


def make_order_id(scope: OrderScope, follows: Offset) -> OrderId:
    """Makes the id of the next order in a scope.

    Args:
        scope: The scope.
        follows: The offset of the scope's last intent.

    Returns:
        The id, the same in every process that has the same view.

    Example:
        >>> make_order_id(OrderScope("load/u1"), Offset(7))
        'load/u1/8'
    """
    return OrderId(f"{scope}/{follows + 1}")


def get_intent_scope(intent: OrderIntent) -> OrderScope:
    """Gives an intent's scope."""
    return make_scope(
        intent.action, intent.failure_domain, intent.service, intent.upstream
    )


class OrderFold:
    """Folds order records in offset order.

    Args:
        maximum_scopes: Scopes whose last intent is remembered one by one.

    Attributes:
        open_orders: Accepted intents without an outcome, by order id.
        weight_targets: The newest version ordered, by service.

    Example:
        >>> fold = OrderFold()
        >>> intent = OrderIntent(
        ...     order_id=fold.make_next_id(OrderScope("load/u1")),
        ...     term=1,
        ...     action="load_version",
        ...     upstream="u1",
        ...     version=3,
        ... )
        >>> fold.apply(Offset(5), intent, term=Term(1))
        True
        >>> fold.apply(Offset(6), intent, term=Term(1))
        False
    """

    def __init__(self, *, maximum_scopes: int = DEFAULT_MAXIMUM_SCOPES) -> None:
        self.maximum_scopes = maximum_scopes
        self.open_orders: dict[OrderId, OpenOrder] = {}
        self.weight_targets: dict[ServiceName, WeightVersion] = {}
        self._last_intents: dict[OrderScope, Offset] = {}
        self._forgotten_through = NO_OFFSET
        self._open_scopes: set[OrderScope] = set()

    def is_open(self, scope: OrderScope) -> bool:
        """Tells whether an order is open in a scope.

        Example:
            >>> OrderFold().is_open(OrderScope("load/u1"))
            False
        """
        return scope in self._open_scopes

    def make_next_id(self, scope: OrderScope) -> OrderId:
        """Makes the only id that the fold accepts next in a scope.

        Example:
            >>> OrderFold().make_next_id(OrderScope("load/u1"))
            'load/u1/0'
        """
        follows = self._last_intents.get(scope, self._forgotten_through)
        return make_order_id(scope, follows)

    def apply(self, offset: Offset, record: OrderRecord, *, term: Term) -> bool:
        """Applies the record at an offset.

        Args:
            offset: Its offset; greater than that of any record before.
            record: The record.
            term: The lease's term at this offset.

        Returns:
            Whether the record was accepted; the same for every reader.

        Example:
            >>> outcome = OrderOutcome(order_id="o", term=1, outcome="done")
            >>> OrderFold().apply(Offset(0), outcome, term=Term(1))
            False
        """
        if record.term != term:
            return False
        if isinstance(record, OrderOutcome):
            return self._apply_outcome(record)
        scope = get_intent_scope(record)
        if self.is_open(scope) or record.order_id != self.make_next_id(scope):
            return False
        self.open_orders[record.order_id] = OpenOrder(offset=offset, intent=record)
        self._open_scopes.add(scope)
        self._remember_intent(scope, offset)
        if record.action == "load_version":
            known = self.weight_targets.get(record.service, record.version)
            self.weight_targets[record.service] = max(known, record.version)
        return True

    def make_state(self) -> OrderState:
        """Makes a snapshot's state.

        Example:
            >>> OrderFold().make_state().forgotten_through
            -1
        """
        return OrderState(
            open_orders=tuple(self.open_orders.values()),
            last_intents=tuple(self._last_intents.items()),
            forgotten_through=self._forgotten_through,
            weight_targets=tuple(self.weight_targets.items()),
        )

    def load_state(self, state: OrderState) -> None:
        """Starts from a snapshot's state.

        Example:
            >>> fold = OrderFold()
            >>> fold.load_state(OrderState(forgotten_through=6))
            >>> fold.make_next_id(OrderScope("load/u1"))
            'load/u1/7'
        """
        self.open_orders = {o.intent.order_id: o for o in state.open_orders}
        self.weight_targets = dict(state.weight_targets)
        self._last_intents = dict(state.last_intents)
        self._forgotten_through = state.forgotten_through
        self._open_scopes = {get_intent_scope(o.intent) for o in state.open_orders}

    def _apply_outcome(self, outcome: OrderOutcome) -> bool:
        order = self.open_orders.pop(outcome.order_id, None)
        if order is None:
            return False
        self._open_scopes.discard(get_intent_scope(order.intent))
        return True

    def _remember_intent(self, scope: OrderScope, offset: Offset) -> None:
        self._last_intents.pop(scope, None)
        self._last_intents[scope] = offset
        while len(self._last_intents) > self.maximum_scopes:
            oldest = next(iter(self._last_intents))
            # Ids of forgotten scopes go on after this offset, so none repeats.
            self._forgotten_through = self._last_intents.pop(oldest)
