"""Values that go into and come out of the fair queue."""

from dataclasses import dataclass
from math import inf

from buckthornstile.base import AccountId, ErrorCode, RequestClass, RequestId


@dataclass(frozen=True, slots=True)
class QueueItem:
    """One request that waits for its upstream.

    Args:
        request_id: The request.
        account: The client account that it is queued under.
        request_class: Who waits on it.
        weight: The account's share, relative to other accounts.
        cost: The expected work, in tokens.
        slack: For a lot's sample, seconds that the lot can spare.
        deadline: The clock reading after which nobody wants the answer.

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
    """What became of a push.

    Args:
        accepted: Whether the item is queued.
        code: Why it was refused, or None.
        shed: Items that were put out of a full queue to make room; they have
            not run.

    Example:
        >>> PushResult(True).shed
        ()
    """

    accepted: bool
    code: ErrorCode | None = None
    shed: tuple[QueueItem, ...] = ()
