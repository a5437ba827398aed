"""Start-time fair queueing by client account, in classes with a minimum share."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import heappop, heappush

from buckthornstile.base import AccountId, ErrorCode, RequestClass, RequestId
from buckthornstile.queueing._account_queue import AccountQueue
from buckthornstile.queueing._items import PushResult, QueueItem

_CLASSES = tuple(RequestClass)
_MAX_UNCHARGED_ITEMS = 65_536
"""Number of popped items whose cost can still be corrected; bounds the memory."""


@dataclass(slots=True)
class QueueCounters:
    """Numbers of items by outcome since the queue was created.

    Example:
        >>> QueueCounters().pushed
        0
    """

    pushed: int = 0
    popped: int = 0
    refused: int = 0
    shed: int = 0
    expired: int = 0
    removed: int = 0


class _AccountTags:
    """Start tags of accounts across all classes.

    An account whose tag is ahead of virtual time has received more than its share.
    """

    def __init__(self, burst_tokens: float, max_catch_up_tokens: float) -> None:
        self.burst_tokens = burst_tokens
        self.max_catch_up_tokens = max_catch_up_tokens
        self.virtual_time = 0.0
        self._tags: dict[AccountId, float] = {}
        self._heap: list[tuple[float, AccountId]] = []

    def activate(self, account: AccountId) -> None:
        # An account that received less than its share before, such as a trainer
        # between two lots, may catch up by a limited amount of work.
        tag = max(
            self._tags.get(account, 0.0), self.virtual_time - self.max_catch_up_tokens
        )
        self._tags[account] = tag
        heappush(self._heap, (tag, account))

    def add(self, account: AccountId, work: float) -> None:
        if account in self._tags:
            self._tags[account] += work
            heappush(self._heap, (self._tags[account], account))

    def advance(self, waiting: Mapping[AccountId, int]) -> None:
        """Advances virtual time to the lowest tag of the accounts with queued items."""
        while self._heap:
            tag, account = self._heap[0]
            if account in waiting and self._tags.get(account) == tag:
                self.virtual_time = max(self.virtual_time, tag)
                return
            heappop(self._heap)
            if (
                account not in waiting
                and tag <= self.virtual_time - self.max_catch_up_tokens
            ):
                self._tags.pop(account, None)

    def get_release_time(self, account: AccountId) -> float:
        """Returns the virtual time from which the account is within its share."""
        return self._tags.get(account, 0.0) - self.burst_tokens


class _ClassQueue:
    """The account queues of one class, served in the order of their start tags."""

    def __init__(self, request_class: RequestClass, tags: _AccountTags) -> None:
        self.request_class = request_class
        self.tags = tags
        self.virtual_time = 0.0
        self.credit = 0.0
        self.account_queues: dict[AccountId, AccountQueue] = {}
        self._heap: list[tuple[float, int, AccountId]] = []
        self._deferred: list[tuple[float, int, AccountId]] = []

    def activate(
        self, account_queue: AccountQueue, account: AccountId, sequence: int
    ) -> None:
        heappush(self._heap, (account_queue.start_tag, sequence, account))

    def find_next_account_queue(self) -> AccountQueue | None:
        """Returns the account queue to serve next, or None.

        Accounts that exceed their share are deferred.
        """
        self._release_deferred()
        while self._heap:
            tag, sequence, account = self._heap[0]
            account_queue = self.account_queues.get(account)
            if (
                account_queue is not None
                and account_queue.items
                and account_queue.start_tag == tag
            ):
                release_time = self._get_release_time(account)
                if release_time <= self.tags.virtual_time:
                    return account_queue
                heappush(self._deferred, (release_time, sequence, account))
            heappop(self._heap)
        if not self._deferred:
            self.credit = 0.0
        return None

    def _get_release_time(self, account: AccountId) -> float:
        # Trainers keep their precedence over background work even if they exceed
        # their share, because their lots limit how much they can request.
        if self.request_class is not RequestClass.INTERACTIVE:
            return self.tags.virtual_time
        return self.tags.get_release_time(account)

    def _release_deferred(self) -> None:
        while self._deferred and self._deferred[0][0] <= self.tags.virtual_time:
            _, sequence, account = heappop(self._deferred)
            account_queue = self.account_queues.get(account)
            if account_queue is not None and account_queue.items:
                # The account must not catch up on the service that it missed while
                # it was deferred.
                account_queue.start_tag = max(
                    account_queue.start_tag, self.virtual_time
                )
                self.activate(account_queue, account, sequence)

    def discard_idle(self) -> None:
        """Removes idle accounts whose start tag is not ahead of virtual time."""
        for account in [
            account
            for account, account_queue in self.account_queues.items()
            if not account_queue.items and account_queue.start_tag <= self.virtual_time
        ]:
            del self.account_queues[account]


class FairQueue:
    """A bounded queue that shares the served tokens fairly among client accounts.

    Classes are served in the order of :class:`RequestClass`. A lower class that has
    items earns ``min_class_share`` tokens for each token of work served in a higher
    class, and is served as soon as it has earned the cost of its next item. Within a
    class, start-time fair queueing bounds unfairness: while two accounts both have
    items, the amounts of work they receive, each divided by the account's weight,
    differ by at most one largest item of each account.

    Interactive requests of an account take precedence only while the account is within
    its share of all work. They are deferred while the account is more than
    ``burst_tokens`` (at weight 1) ahead of the waiting account that has received the
    least work. A flood of interactive requests therefore does not starve the lower
    classes of other accounts.

    Pushes and pops take amortised O(log n). A push is linear in the number of accounts
    if the account is new to its class or the queue is full; a push into a full queue is
    also linear in the items of the account from which an item is evicted. The total
    cost and the estimates are linear in the number of accounts.

    Args:
        max_items: Maximum number of queued items.
        max_items_per_account: Maximum number of queued items of one account.
        min_class_share: Minimum share of work of each lower class, from 0 to 1.
        burst_tokens: Work in tokens by which an account's interactive requests may
            exceed its share.
        max_catch_up_tokens: Maximum work in tokens on which an account that received
            less than its share may catch up.

    Example:
        >>> queue = FairQueue()
        >>> item = QueueItem("e1/0", "mill-7", RequestClass.INTERACTIVE, cost=20)
        >>> queue.push(item, 0.0).accepted
        True
        >>> queue.pop(0.1).request_id
        'e1/0'
    """

    def __init__(
        self,
        *,
        max_items: int = 2048,
        max_items_per_account: int = 1024,
        min_class_share: float = 0.05,
        burst_tokens: float = 300.0,
        max_catch_up_tokens: float = 4000.0,
    ) -> None:
        self.max_items = max_items
        self.max_items_per_account = max_items_per_account
        self.min_class_share = min_class_share
        self.burst_tokens = burst_tokens
        self.counters = QueueCounters()
        self.max_catch_up_tokens = max_catch_up_tokens
        self._tags = _AccountTags(burst_tokens, max_catch_up_tokens)
        self._classes = {name: _ClassQueue(name, self._tags) for name in _CLASSES}
        self._items: dict[RequestId, QueueItem] = {}
        self._account_items: dict[AccountId, int] = {}
        self._deadlines: list[tuple[float, int, RequestId]] = []
        self._uncharged: OrderedDict[RequestId, QueueItem] = OrderedDict()
        self._expired: list[QueueItem] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._items

    @property
    def queued_cost(self) -> float:
        """Total cost of the queued items in tokens."""
        return sum(
            account_queue.cost
            for queue in self._classes.values()
            for account_queue in queue.account_queues.values()
        )

    def compute_work_ahead(self, request_class: RequestClass) -> tuple[int, float]:
        """Computes the work that is queued in a class and in the classes above it.

        Args:
            request_class: The class.

        Returns:
            The number of items, and their cost in tokens.
        """
        class_names = _CLASSES[: _CLASSES.index(request_class) + 1]
        account_queues = [
            account_queue
            for name in class_names
            for account_queue in self._classes[name].account_queues.values()
        ]
        return sum(len(account_queue.items) for account_queue in account_queues), sum(
            account_queue.cost for account_queue in account_queues
        )

    def push(self, item: QueueItem, now: float) -> PushResult:
        """Queues or refuses an item.

        A full queue evicts the last item of the account with the most queued work
        relative to its weight. If that is the account of the new item, the new item
        is refused.

        Args:
            item: The item; its id must not be in the queue.
            now: Monotonic time in seconds.

        Returns:
            Whether the item was accepted, and the items that were evicted for it.

        Raises:
            ValueError: An item with this id is in the queue already.
        """
        if item.request_id in self._items:
            raise ValueError(f"request {item.request_id} is in the queue already")
        self._expire(now)
        waiting = self._account_items.get(item.account, 0)
        if waiting >= self.max_items_per_account:
            return self._refuse()
        shed: tuple[QueueItem, ...] = ()
        if len(self._items) >= self.max_items:
            victim = self._choose_victim(item)
            if victim is None:
                return self._refuse()
            self._take(victim.request_id)
            self.counters.shed += 1
            shed = (victim,)
        self._add(item, now)
        return PushResult(accepted=True, shed=shed)

    def pop(self, now: float) -> QueueItem | None:
        """Removes and returns the item to serve next.

        Items past their deadline are removed; see :meth:`pop_expired`.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The item, or None if the queue is empty.
        """
        self._expire(now)
        self._tags.advance(self._account_items)
        chosen = self._choose_class()
        if chosen is None:
            return None
        queue, account_queue = chosen
        item = account_queue.peek()
        queue.virtual_time = max(queue.virtual_time, account_queue.start_tag)
        account_queue.start_tag += item.cost / item.weight
        self._tags.add(item.account, item.cost / item.weight)
        self._take(item.request_id)
        if account_queue.items:
            self._sequence += 1
            queue.activate(account_queue, item.account, self._sequence)
        self._earn_credit(queue, item.cost)
        self._uncharged[item.request_id] = item
        while len(self._uncharged) > _MAX_UNCHARGED_ITEMS:
            self._uncharged.popitem(last=False)
        self.counters.popped += 1
        return item

    def remove(self, request_id: RequestId) -> QueueItem | None:
        """Removes a queued item.

        Args:
            request_id: Id of the request.

        Returns:
            The item, or None if it is not in the queue.
        """
        if request_id not in self._items:
            return None
        self.counters.removed += 1
        return self._take(request_id)

    def charge(self, request_id: RequestId, cost: float) -> None:
        """Corrects the work counted for an account once an item's actual cost is known.

        Args:
            request_id: Id of a popped request; other ids are ignored.
            cost: The actual cost in tokens.
        """
        item = self._uncharged.pop(request_id, None)
        if item is None:
            return
        queue = self._classes[item.request_class]
        self._tags.add(item.account, (cost - item.cost) / item.weight)
        account_queue = queue.account_queues.get(item.account)
        if account_queue is None:
            return
        account_queue.start_tag += (cost - item.cost) / item.weight
        if account_queue.items:
            self._sequence += 1
            queue.activate(account_queue, item.account, self._sequence)

    def pop_expired(self) -> tuple[QueueItem, ...]:
        """Returns the items removed at their deadline since the last call."""
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def estimate_wait(
        self,
        account: AccountId,
        request_class: RequestClass,
        *,
        tokens_per_second: float,
        weight: float = 1.0,
    ) -> float:
        """Estimates how long a new item would wait.

        Args:
            account: The account of the item.
            request_class: The class of the item.
            tokens_per_second: Throughput of the upstream.
            weight: The weight of the account.

        Returns:
            The wait in seconds if no other items arrive.
        """
        ahead = 0.0
        own = self._classes[request_class].account_queues.get(account)
        share = (own.cost if own else 0.0) / weight
        for name in _CLASSES:
            account_queues: Iterable[AccountQueue] = self._classes[
                name
            ].account_queues.values()
            if name is request_class:
                ahead += sum(
                    min(account_queue.cost, share * account_queue.weight)
                    for account_queue in account_queues
                )
                break
            ahead += sum(account_queue.cost for account_queue in account_queues)
        return ahead / max(tokens_per_second, 1.0)

    def _refuse(self) -> PushResult:
        self.counters.refused += 1
        return PushResult(accepted=False, code=ErrorCode.QUEUE_FULL)

    def _add(self, item: QueueItem, now: float) -> None:
        self._sequence += 1
        queue = self._classes[item.request_class]
        account_queue = queue.account_queues.get(item.account)
        if account_queue is None:
            queue.discard_idle()
            account_queue = queue.account_queues[item.account] = AccountQueue(
                item.request_class
            )
        if not account_queue.items:
            account_queue.start_tag = max(account_queue.start_tag, queue.virtual_time)
            queue.activate(account_queue, item.account, self._sequence)
        account_queue.add(item, self._sequence, now)
        self._items[item.request_id] = item
        if item.account not in self._account_items:
            self._tags.activate(item.account)
        self._account_items[item.account] = self._account_items.get(item.account, 0) + 1
        heappush(self._deadlines, (item.deadline, self._sequence, item.request_id))
        self.counters.pushed += 1

    def _take(self, request_id: RequestId) -> QueueItem:
        item = self._items.pop(request_id)
        self._classes[item.request_class].account_queues[item.account].remove(
            request_id
        )
        remaining = self._account_items[item.account] - 1
        if remaining:
            self._account_items[item.account] = remaining
        else:
            del self._account_items[item.account]
        return item

    def _expire(self, now: float) -> None:
        while self._deadlines:
            deadline, _, request_id = self._deadlines[0]
            item = self._items.get(request_id)
            if item is not None and item.deadline == deadline and deadline > now:
                break
            heappop(self._deadlines)
            if item is not None and item.deadline == deadline:
                self._expired.append(self._take(request_id))
                self.counters.expired += 1

    def _choose_class(self) -> tuple[_ClassQueue, AccountQueue] | None:
        chosen: tuple[_ClassQueue, AccountQueue] | None = None
        for name in reversed(_CLASSES):
            queue = self._classes[name]
            account_queue = queue.find_next_account_queue()
            if account_queue is None:
                continue
            if queue.credit > 0.0 and queue.credit >= account_queue.peek().cost:
                return queue, account_queue
            chosen = queue, account_queue
        return chosen

    def _earn_credit(self, served: _ClassQueue, cost: float) -> None:
        served.credit = max(0.0, served.credit - cost)
        is_lower_class = False
        for name in _CLASSES:
            queue = self._classes[name]
            if is_lower_class and queue.find_next_account_queue() is not None:
                queue.credit += self.min_class_share * cost
            is_lower_class = is_lower_class or queue is served

    def _choose_victim(self, item: QueueItem) -> QueueItem | None:
        work: dict[AccountId, float] = {item.account: item.cost / item.weight}
        for queue in self._classes.values():
            for account, account_queue in queue.account_queues.items():
                work[account] = (
                    work.get(account, 0.0) + account_queue.cost / account_queue.weight
                )
        account = max(work, key=lambda name: work[name])
        if account == item.account:
            return None
        for name in reversed(_CLASSES):
            last_queue = self._classes[name].account_queues.get(account)
            if last_queue is not None and last_queue.items:
                return last_queue.peek_last()
        return None
