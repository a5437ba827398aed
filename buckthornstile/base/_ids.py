"""Types of identifiers, offsets and versions, and the priority classes of requests."""

from enum import Enum
from typing import NewType

AccountId = NewType("AccountId", str)
"""Name of a client account, set by operators."""

KeyId = NewType("KeyId", str)
"""Public id of a client account's API key; never the key itself."""

OPEN_ROUTE_KEY_ID = KeyId("")
"""Key id of a request through a route that allows anonymous requests."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a part of the platform that fails as a whole."""

UpstreamId = NewType("UpstreamId", str)
"""Id of an upstream: a model engine or a plain service on its VM."""

ServiceName = NewType("ServiceName", str)
"""Name of a group of upstreams that serve the same requests."""

ProcessName = NewType("ProcessName", str)
"""Name of a process, unique in a deployment."""

Incarnation = NewType("Incarnation", str)
"""Id of one run of a process or engine, which changes at each start."""

RequestId = NewType("RequestId", str)
"""Id of a request: an entry's incarnation and a counter, joined by a slash."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""Id that a caller sets for one call, the same for every attempt."""

TrainerId = NewType("TrainerId", str)
"""Name of a trainer."""

LotId = NewType("LotId", str)
"""Name of a lot, the samples that a trainer requests for one training step."""

WeightVersion = NewType("WeightVersion", int)
"""Version number, which increases with each published set of weights."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software that an upstream runs, whatever weights it holds."""

UNKNOWN_VERSION = WeightVersion(-1)
"""Weight version of an engine that has not reported one."""

Offset = NewType("Offset", int)
"""Position in the platform's log; the first record has offset 0."""

NO_OFFSET = Offset(-1)
"""Offset before the first record."""

Term = NewType("Term", int)
"""Offset of an accepted lease claim, which is used as the fencing token."""

NO_TERM = Term(-1)
"""Term before the first accepted lease claim."""

Revision = NewType("Revision", int)
"""Number of configuration changes accepted so far."""

ChangeId = NewType("ChangeId", str)
"""Id of one configuration change, the same for every attempt."""

OrderId = NewType("OrderId", str)
"""Id of an order to load weights."""

WindowStart = NewType("WindowStart", int)
"""Start of a usage window, in seconds since the epoch."""


class Role(Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class RequestClass(Enum):
    """Priority class of a request; the members are in the order of precedence."""

    INTERACTIVE = "waited"
    TRAINER = "trainer"
    BACKGROUND = "background"


def make_request_id(incarnation: Incarnation, counter: int) -> RequestId:
    """Returns the request id for an entry's incarnation and request counter.

    Args:
        incarnation: Incarnation of the entry, without a slash.
        counter: Number of the request in the entry, from 0.

    Returns:
        The request id, unique among all entries and their restarts.

    Example:
        >>> make_request_id(Incarnation("e1-07"), 12)
        'e1-07/12'
    """
    return RequestId(f"{incarnation}/{counter}")


def parse_request_id(request_id: RequestId) -> tuple[Incarnation, int]:
    """Parses a request id into the entry's incarnation and request counter.

    Args:
        request_id: Id returned by :func:`make_request_id`.

    Returns:
        The incarnation and the counter.

    Raises:
        ValueError: The string is not a request id.

    Example:
        >>> parse_request_id(RequestId("e1-07/12"))
        ('e1-07', 12)
    """
    incarnation, _, counter = request_id.rpartition("/")
    if not incarnation:
        raise ValueError(f"request id {request_id!r} has no incarnation")
    return Incarnation(incarnation), int(counter)
