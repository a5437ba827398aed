"""Types for the software versions that began streams."""

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from buckthornstile.base import SoftwareVersion

StreamDigest = NewType("StreamDigest", str)
"""Digest of the id of the request that brought a stream's first event."""

RoutePrefix = NewType("RoutePrefix", str)
"""Host and path prefix of a route. Its name may pass to other requests."""

DIGEST_BYTES = 10


class ResolutionState(Enum):
    """How the version that began a stream is known.

    ``OWN`` is a stream that this entry began, ``RECORDED`` one with a record, and
    ``DEFAULT`` one without. ``AMBIGUOUS`` is an id with records of several versions,
    ``INCOMPLETE`` an id that may have a record which was not kept, and ``UNKNOWN`` one
    that may have begun at several versions.
    """

    OWN = "own"
    RECORDED = "recorded"
    DEFAULT = "default"
    AMBIGUOUS = "ambiguous"
    INCOMPLETE = "incomplete"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Resolution:
    """The version that began a stream, or None if it cannot be told."""

    state: ResolutionState
    version: SoftwareVersion | None = None


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """The version that began a stream.

    ``lifetime`` is the number of seconds for which a client may resume the stream. It
    is a duration, as the clocks of two VMs may differ.
    """

    stream: StreamDigest
    version: SoftwareVersion
    lifetime: float


@dataclass(frozen=True, slots=True)
class RouteDefault:
    """The default version of a route, or the retired one of a route without a default.

    The streams without a record that may still be resumed began at ``version``.
    """

    route: RoutePrefix
    version: SoftwareVersion
    is_retired: bool = False


@dataclass(frozen=True, slots=True)
class DefaultChange:
    """A change of a route's default; None removes its record."""

    route: RoutePrefix
    default: RouteDefault | None


def compute_stream_digest(request_id: str) -> StreamDigest:
    """Returns the digest of a request id, which clients choose at any length.

    Example:
        >>> len(compute_stream_digest("9c41d07be2a35f68"))
        20
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES)
    return StreamDigest(digest.hexdigest())
