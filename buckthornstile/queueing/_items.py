"""Item and result types of the fair queue."""

from dataclasses import dataclass
from math import inf

from buckthornstile.base import AccountId, ErrorCode, RequestClass, RequestId


@dataclass(frozen=True, slots=True)
class QueueItem:
    """A request that waits for an upstream.

    Args:
        request_id: Id of the request.
        account: The client account of the request.
        request_class: The request class, which sets the order of service.
        weight: The account's weight relative to other accounts.
        cost: The expected work in tokens.
        slack: Seconds for which the lot of a sample can be delayed; used only for
            items of the class ``TRAINER``.
        deadline: Monotonic time in seconds after which the response is not needed.

    Example:
        >>> QueueItem("e1/0", "mill-7", RequestClass.INTERACTIVE).cost
        1.0
    """

    request_id: RequestId
    account: AccountId
    request_class: RequestClass
    weight: float = 1.0
    cost: float = 1.0
    slack: float = 0.0
    deadline: float = inf


@dataclass(frozen=True, slots=True)
class PushResult:
    """The outcome of a push.

    Args:
        accepted: Whether the item was queued.
        code: The error code if the item was refused, or None.
        shed: Items that were evicted from a full queue to make room; they were not
            served.

    Example:
        >>> PushResult(True).shed
        ()
    """

    accepted: bool
    code: ErrorCode | None = None
    shed: tuple[QueueItem, ...] = ()
