"""Queue of the items of one client account within one request class."""

from heapq import heappop, heappush

from buckthornstile.base import RequestClass, RequestId
from buckthornstile.queueing._items import QueueItem

_Key = tuple[float, float, int]


class AccountQueue:
    """The items of one account in service order, and the account's start tag.

    The start tag is the virtual time at which the account's next item is due, as
    start-time fair queueing defines it. The account with the lowest tag is served next.

    Args:
        request_class: The request class of the items.

    Example:
        >>> queue = AccountQueue(RequestClass.INTERACTIVE)
        >>> queue.add(QueueItem("e1/0", "a", RequestClass.INTERACTIVE), 0, 0.0)
        >>> queue.peek().request_id
        'e1/0'
    """

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self.start_tag = 0.0
        self.weight = 1.0
        self.cost = 0.0
        self.items: dict[RequestId, tuple[_Key, QueueItem]] = {}
        self._heap: list[tuple[_Key, RequestId]] = []

    def add(self, item: QueueItem, sequence: int, now: float) -> None:
        """Adds an item.

        Args:
            item: The item.
            sequence: Number of the push; it orders items that are otherwise equal.
            now: Monotonic time in seconds.
        """
        key: _Key = (0.0, 0.0, sequence)
        if self.request_class is RequestClass.TRAINER:
            # The lot with the least slack is served first. Within a lot, the longest
            # sample is served first because it would otherwise finish last.
            key = (now + item.slack, -item.cost, sequence)
        self.items[item.request_id] = (key, item)
        self.weight = item.weight
        self.cost += item.cost
        heappush(self._heap, (key, item.request_id))

    def peek(self) -> QueueItem:
        """Returns the item that is served next; the queue must not be empty."""
        while self._heap[0][1] not in self.items:
            heappop(self._heap)
        return self.items[self._heap[0][1]][1]

    def remove(self, request_id: RequestId) -> QueueItem:
        """Removes and returns an item."""
        _, item = self.items.pop(request_id)
        self.cost = self.cost - item.cost if self.items else 0.0
        if not self.items:
            self._heap.clear()
        return item

    def peek_last(self) -> QueueItem:
        """Returns the item that is served last; the queue must not be empty."""
        return max(self.items.values(), key=lambda entry: entry[0])[1]
