"""Types of the admission: requests, decisions and refusals."""

from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import AccountId, RequestId

Priority = tuple[int, int]
"""Priority of the account, or of the route if the account has none, and then that of
the route; lower values are more urgent."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request as the admission sees it.

    Args:
        id: Id of the request, unique in the entry.
        account: The client account.
        route: Name of the route; durations of work are learned by route.
        path: Path of the request, by which a returning caller is recognized.
        priority: See :data:`Priority`.
        deadline: Time by which its response is needed, in seconds.
        usual_work: Seconds of work assumed before any was observed.
    """

    id: RequestId
    account: AccountId
    route: str
    path: str
    priority: Priority
    deadline: float
    usual_work: float = 0.1


class Decision(Enum):
    """What happens to a request at its arrival."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class RefusalReason(Enum):
    """Why a request is refused."""

    TOO_LATE = "too_late"
    NO_UPSTREAM = "no_upstream"
    QUEUE_FULL = "queue_full"
    WAITED = "waited"
    REFUSED_BY_UPSTREAMS = "refused_by_upstreams"


@dataclass(frozen=True, slots=True)
class Forecast:
    """The outlook of a request, and the figures that it was computed from.

    Args:
        decision: What happens to the request.
        is_returning: Whether it goes before newcomers of its priority.
        predicted_start: Seconds until an upstream can start another request.
        queue_delay: Seconds that the requests before it in this entry take.
        work: Expected seconds of its own work.
        rate: Seconds of work that this entry is expected to start in a second.
        weight: Weight of its account, below 1 if it uses more than its share.
        reason: Why it is refused, or None.
    """

    decision: Decision
    is_returning: bool
    predicted_start: float
    queue_delay: float
    work: float
    rate: float
    weight: float
    reason: RefusalReason | None = None
