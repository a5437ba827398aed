"""Start-time fair queueing by client account, within classes with a floor."""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from heapq import heappop, heappush

from buckthornstile.base import AccountId, ErrorCode, RequestClass, RequestId
from buckthornstile.queueing._account_queue import AccountQueue
from buckthornstile.queueing._items import PushResult, QueueItem

_CLASSES = tuple(RequestClass)
_MAX_UNCHARGED = 65_536


@dataclass(slots=True)
class QueueCounters:
    """Counts of what the queue did since it was made.

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
    """Start tags of accounts over all classes, to tell who is over its share."""

    def __init__(self, burst: float, credit: float) -> None:
        self.burst = burst
        self.credit = credit
        self.virtual_time = 0.0
        self._tags: dict[AccountId, float] = {}
        self._heap: list[tuple[float, AccountId]] = []

    def activate(self, account: AccountId) -> None:
        # An account that had less than its share before, as a trainer between
        # two lots, may catch up on a bounded part of it.
        tag = max(self._tags.get(account, 0.0), self.virtual_time - self.credit)
        self._tags[account] = tag
        heappush(self._heap, (tag, account))

    def add(self, account: AccountId, work: float) -> None:
        if account in self._tags:
            self._tags[account] += work
            heappush(self._heap, (self._tags[account], account))

    def advance(self, waiting: Mapping[AccountId, int]) -> None:
        """Moves virtual time to the least tag of an account that waits."""
        while self._heap:
            tag, account = self._heap[0]
            if account in waiting and self._tags.get(account) == tag:
                self.virtual_time = max(self.virtual_time, tag)
                return
            heappop(self._heap)
            if account not in waiting and tag <= self.virtual_time - self.credit:
                self._tags.pop(account, None)

    def get_release(self, account: AccountId) -> float:
        """Gives the virtual time from which the account is within its share."""
        return self._tags.get(account, 0.0) - self.burst


class _ClassQueue:
    """The lanes of one class, served by least start tag."""

    def __init__(self, request_class: RequestClass, tags: _AccountTags) -> None:
        self.request_class = request_class
        self.tags = tags
        self.virtual_time = 0.0
        self.credit = 0.0
        self.lanes: dict[AccountId, AccountQueue] = {}
        self._heap: list[tuple[float, int, AccountId]] = []
        self._parked: list[tuple[float, int, AccountId]] = []

    def activate(self, lane: AccountQueue, account: AccountId, sequence: int) -> None:
        heappush(self._heap, (lane.start_tag, sequence, account))

    def find_lane(self) -> AccountQueue | None:
        """Gives the lane that is served next; accounts over their share wait."""
        self._release_parked()
        while self._heap:
            tag, sequence, account = self._heap[0]
            lane = self.lanes.get(account)
            if lane is not None and lane.items and lane.start_tag == tag:
                release = self._get_release(account)
                if release <= self.tags.virtual_time:
                    return lane
                heappush(self._parked, (release, sequence, account))
            heappop(self._heap)
        if not self._parked:
            self.credit = 0.0
        return None

    def _get_release(self, account: AccountId) -> float:
        # Trainers keep their precedence over work that nobody waits on, even
        # beyond their share: their lots bound what they can ask for.
        if self.request_class is not RequestClass.INTERACTIVE:
            return self.tags.virtual_time
        return self.tags.get_release(account)

    def _release_parked(self) -> None:
        while self._parked and self._parked[0][0] <= self.tags.virtual_time:
            _, sequence, account = heappop(self._parked)
            lane = self.lanes.get(account)
            if lane is not None and lane.items:
                # It must not make up at once for what it missed as a penalty.
                lane.start_tag = max(lane.start_tag, self.virtual_time)
                self.activate(lane, account, sequence)

    def discard_idle(self) -> None:
        """Forgets idle accounts that owe nothing for work already done."""
        for account in [
            account
            for account, lane in self.lanes.items()
            if not lane.items and lane.start_tag <= self.virtual_time
        ]:
            del self.lanes[account]


class FairQueue:
    """A bounded queue that is fair by client account in tokens of work.

    Classes are served in the order of :class:`RequestClass`. A lower class
    that has items earns ``floor`` tokens for each token of work served above
    it, and is served as soon as it has earned its next item. Within a class,
    start-time fair queueing keeps two accounts that both have items within one
    largest item each of their weighted shares.

    An account's waited-on calls have their precedence only while it is within
    its share of all work: while it is more than ``burst`` tokens (by weight 1)
    ahead of the waiting account that has had least, these calls wait, so that a
    flood of them does not starve other accounts' lower classes.

    Each call takes O(log n), but
    for a push into a full queue, which is linear in the accounts that wait.

    Args:
        maximum_items: Items that may wait in all.
        maximum_items_per_account: Items that may wait for one account.
        floor: The least share of work of each lower class, from 0 to 1.
        burst: Work by which waited-on calls may be ahead, in tokens.
        credit: Work on which an account that had less may catch up, in tokens.

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
        maximum_items: int = 2048,
        maximum_items_per_account: int = 1024,
        floor: float = 0.05,
        burst: float = 300.0,
        credit: float = 4000.0,
    ) -> None:
        self.maximum_items = maximum_items
        self.maximum_items_per_account = maximum_items_per_account
        self.floor = floor
        self.burst = burst
        self.counters = QueueCounters()
        self.credit = credit
        self._tags = _AccountTags(burst, credit)
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
        """The work that waits, in tokens."""
        return sum(
            lane.cost
            for queue in self._classes.values()
            for lane in queue.lanes.values()
        )

    def compute_work_ahead(self, request_class: RequestClass) -> tuple[int, float]:
        """Computes what waits in a class and those served before it.

        Args:
            request_class: The class.

        Returns:
            The number of items, and their work in tokens.
        """
        names = _CLASSES[: _CLASSES.index(request_class) + 1]
        lanes = [lane for name in names for lane in self._classes[name].lanes.values()]
        return sum(len(lane.items) for lane in lanes), sum(lane.cost for lane in lanes)

    def push(self, item: QueueItem, now: float) -> PushResult:
        """Queues an item, or refuses it.

        A full queue sheds the last item of the account that has most work
        waiting for its weight; if that is the caller's own, it is refused.

        Args:
            item: The item; its id must not be in the queue.
            now: The clock reading, in seconds.

        Returns:
            Whether it was accepted, and which items were shed for it.

        Raises:
            ValueError: The id waits already.
        """
        if item.request_id in self._items:
            raise ValueError(f"request {item.request_id} is in the queue already")
        self._expire(now)
        waiting = self._account_items.get(item.account, 0)
        if waiting >= self.maximum_items_per_account:
            return self._refuse()
        shed: tuple[QueueItem, ...] = ()
        if len(self._items) >= self.maximum_items:
            victim = self._choose_victim(item)
            if victim is None:
                return self._refuse()
            self._take(victim.request_id)
            self.counters.shed += 1
            shed = (victim,)
        self._add(item, now)
        return PushResult(accepted=True, shed=shed)

    def pop(self, now: float) -> QueueItem | None:
        """Takes the item to be served next.

        Items past their deadline are dropped; see :meth:`pop_expired`.

        Args:
            now: The clock reading, in seconds.

        Returns:
            The item, or None if none waits.
        """
        self._expire(now)
        self._tags.advance(self._account_items)
        chosen = self._choose_class()
        if chosen is None:
            return None
        queue, lane = chosen
        item = lane.peek()
        queue.virtual_time = max(queue.virtual_time, lane.start_tag)
        lane.start_tag += item.cost / item.weight
        self._tags.add(item.account, item.cost / item.weight)
        self._take(item.request_id)
        if lane.items:
            self._sequence += 1
            queue.activate(lane, item.account, self._sequence)
        self._earn_credit(queue, item.cost)
        self._uncharged[item.request_id] = item
        while len(self._uncharged) > _MAX_UNCHARGED:
            self._uncharged.popitem(last=False)
        self.counters.popped += 1
        return item

    def remove(self, request_id: RequestId) -> QueueItem | None:
        """Removes an item that waits.

        Args:
            request_id: The request.

        Returns:
            The item, or None if it does not wait here.
        """
        if request_id not in self._items:
            return None
        self.counters.removed += 1
        return self._take(request_id)

    def charge(self, request_id: RequestId, cost: float) -> None:
        """Corrects an account's share once the true work of an item is known.

        Args:
            request_id: A request that was popped; others are ignored.
            cost: The true work, in tokens.
        """
        item = self._uncharged.pop(request_id, None)
        if item is None:
            return
        queue = self._classes[item.request_class]
        self._tags.add(item.account, (cost - item.cost) / item.weight)
        lane = queue.lanes.get(item.account)
        if lane is None:
            return
        lane.start_tag += (cost - item.cost) / item.weight
        if lane.items:
            self._sequence += 1
            queue.activate(lane, item.account, self._sequence)

    def pop_expired(self) -> tuple[QueueItem, ...]:
        """Gives the items dropped at their deadline since the last call."""
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
            account: The item's account.
            request_class: The item's class.
            tokens_per_second: The upstream's speed.
            weight: The account's weight.

        Returns:
            The wait in seconds, as if nothing else came.
        """
        ahead = 0.0
        own = self._classes[request_class].lanes.get(account)
        share = (own.cost if own else 0.0) / weight
        for name in _CLASSES:
            lanes: Iterable[AccountQueue] = self._classes[name].lanes.values()
            if name is request_class:
                ahead += sum(min(lane.cost, share * lane.weight) for lane in lanes)
                break
            ahead += sum(lane.cost for lane in lanes)
        return ahead / max(tokens_per_second, 1.0)

    def _refuse(self) -> PushResult:
        self.counters.refused += 1
        return PushResult(accepted=False, code=ErrorCode.QUEUE_FULL)

    def _add(self, item: QueueItem, now: float) -> None:
        self._sequence += 1
        queue = self._classes[item.request_class]
        lane = queue.lanes.get(item.account)
        if lane is None:
            queue.discard_idle()
            lane = queue.lanes[item.account] = AccountQueue(item.request_class)
        if not lane.items:
            lane.start_tag = max(lane.start_tag, queue.virtual_time)
            queue.activate(lane, item.account, self._sequence)
        lane.add(item, self._sequence, now)
        self._items[item.request_id] = item
        if item.account not in self._account_items:
            self._tags.activate(item.account)
        self._account_items[item.account] = self._account_items.get(item.account, 0) + 1
        heappush(self._deadlines, (item.deadline, self._sequence, item.request_id))
        self.counters.pushed += 1

    def _take(self, request_id: RequestId) -> QueueItem:
        item = self._items.pop(request_id)
        self._classes[item.request_class].lanes[item.account].remove(request_id)
        left = self._account_items[item.account] - 1
        if left:
            self._account_items[item.account] = left
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
            lane = queue.find_lane()
            if lane is None:
                continue
            if queue.credit > 0.0 and queue.credit >= lane.peek().cost:
                return queue, lane
            chosen = queue, lane
        return chosen

    def _earn_credit(self, served: _ClassQueue, cost: float) -> None:
        served.credit = max(0.0, served.credit - cost)
        below = False
        for name in _CLASSES:
            queue = self._classes[name]
            if below and queue.find_lane() is not None:
                queue.credit += self.floor * cost
            below = below or queue is served

    def _choose_victim(self, item: QueueItem) -> QueueItem | None:
        work: dict[AccountId, float] = {item.account: item.cost / item.weight}
        for queue in self._classes.values():
            for account, lane in queue.lanes.items():
                work[account] = work.get(account, 0.0) + lane.cost / lane.weight
        account = max(work, key=lambda name: work[name])
        if account == item.account:
            return None
        for name in reversed(_CLASSES):
            lane_of_class = self._classes[name].lanes.get(account)
            if lane_of_class is not None and lane_of_class.items:
                return lane_of_class.find_last()
        return None
