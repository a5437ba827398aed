"""Identifiers that processes, accounts and requests are known by."""

from enum import Enum
from typing import NewType

AccountId = NewType("AccountId", str)
"""A client account, as operators name it."""

KeyId = NewType("KeyId", str)
"""The public name of a client account's key; never the key itself."""

OPEN_ROUTE_KEY = KeyId("")
"""The key id of a request that came through an open route."""

FailureDomain = NewType("FailureDomain", str)
"""A part of the platform that fails as a whole."""

UpstreamId = NewType("UpstreamId", str)
"""One back end: a model engine or a plain service on its VM."""

ServiceName = NewType("ServiceName", str)
"""A group of upstreams that serve the same requests."""

ProcessName = NewType("ProcessName", str)
"""The name of one daemon, unique in a deployment."""

Incarnation = NewType("Incarnation", str)
"""One life of a process or engine: changes at each start."""

RequestId = NewType("RequestId", str)
"""An entry's incarnation and a counter, joined by a slash."""

IdempotencyKey = NewType("IdempotencyKey", str)
"""A caller's own name for one call, the same on every attempt."""

TrainerId = NewType("TrainerId", str)
LotId = NewType("LotId", str)
"""One training step's order of samples, named by its trainer."""

WeightVersion = NewType("WeightVersion", int)
"""A number that grows with each published set of weights."""

UNKNOWN_VERSION = WeightVersion(-1)
"""The version of an engine that has not reported one."""

Offset = NewType("Offset", int)
"""A position in the platform's log; the first record has offset 0."""

NO_OFFSET = Offset(-1)
"""The position before the first record."""

Term = NewType("Term", int)
"""The offset of an accepted lease claim; serves as the fencing number."""

NO_TERM = Term(-1)

Revision = NewType("Revision", int)
"""The number of accepted configuration changes so far."""

ChangeId = NewType("ChangeId", str)
"""An operator's own name for one configuration change."""

OrderId = NewType("OrderId", str)
WindowStart = NewType("WindowStart", int)
"""The start of a usage window, in seconds since the epoch."""


class Role(Enum):
    """What a process of the system does."""

    ENTRY = "entry"
    AGENT = "agent"


class RequestClass(Enum):
    """Who waits on a request; the order of members is the order of service."""

    INTERACTIVE = "waited"
    TRAINER = "trainer"
    BACKGROUND = "background"


def make_request_id(incarnation: Incarnation, counter: int) -> RequestId:
    """Joins an entry's incarnation and its request counter.

    Args:
        incarnation: The entry's incarnation, without a slash.
        counter: The entry's own request number, from 0.

    Returns:
        The id, unique over all entries and their restarts.

    Example:
        >>> make_request_id(Incarnation("e1-07"), 12)
        'e1-07/12'
    """
    return RequestId(f"{incarnation}/{counter}")


def split_request_id(request_id: RequestId) -> tuple[Incarnation, int]:
    """Splits a request id into the entry's incarnation and counter.

    Args:
        request_id: An id made by :func:`make_request_id`.

    Returns:
        The incarnation and the counter.

    Raises:
        ValueError: The text is not a request id.

    Example:
        >>> split_request_id(RequestId("e1-07/12"))
        ('e1-07', 12)
    """
    incarnation, _, counter = request_id.rpartition("/")
    if not incarnation:
        raise ValueError(f"request id {request_id!r} has no incarnation")
    return Incarnation(incarnation), int(counter)
