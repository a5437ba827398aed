"""Checks that an upstream has not started again since its registration was read."""

import asyncio
from enum import Enum

from buckthornstile.base import BuckthornstileError, UpstreamId
from buckthornstile.http_client import ConnectionPool
from buckthornstile.logs import log_event
from buckthornstile.platform import ReportedStart, decode_start, encode_report_request
from buckthornstile.topology import Upstream

CHECK_TIMEOUT = 0.3
"""Seconds for one request of a report. Reports need no slot."""
MAX_START_DIFFERENCE_MS = 1000
"""Milliseconds by which two statements of one start may differ: an upstream may read
its clock for each of them, while two starts are further apart."""
MAX_REPLACED = 1000
"""Number of replaced incarnations that are remembered; the oldest are dropped."""


class IncarnationState(Enum):
    """What is known of the process that serves at an upstream's address.

    Attributes:
        LISTED: It is the listed incarnation.
        REPLACED: It is another one, whose software version is not known.
        NOT_STATED: Its reports or its registration do not name its start.
        UNKNOWN: It sent no report.
    """

    LISTED = "listed"
    REPLACED = "replaced"
    NOT_STATED = "not_stated"
    UNKNOWN = "unknown"

    @property
    def may_be_listed(self) -> bool:
        """Whether nothing shows or suggests that it is not the listed incarnation."""
        return self in (IncarnationState.LISTED, IncarnationState.NOT_STATED)


class IncarnationChecker:
    """Asks upstreams for their start, and remembers which have been replaced.

    The registration that names an upstream's software version may be read late, and an
    upstream that is cut off from the store cannot write a new one. A report that is
    requested after the head of a response has arrived, and names the listed start,
    proves that the response comes from the listed incarnation.

    Args:
        pool: Connections to the upstreams.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self._replaced: dict[UpstreamId, int] = {}

    def is_replaced(self, upstream: Upstream) -> bool:
        """Whether a listed incarnation is known to have been replaced."""
        return self._replaced.get(upstream.id) == upstream.started_at_ms

    async def check(self, upstream: Upstream) -> IncarnationState:
        """Returns the state of an upstream, at a time after the call."""
        reported = await self._request_start(upstream)
        if reported is None:
            return IncarnationState.UNKNOWN
        if reported.is_other_upstream:
            return self._record_replaced(upstream, None)
        if not (reported.started_at_ms and upstream.started_at_ms):
            return IncarnationState.NOT_STATED
        difference = abs(reported.started_at_ms - upstream.started_at_ms)
        if difference > MAX_START_DIFFERENCE_MS:
            return self._record_replaced(upstream, reported.started_at_ms)
        return IncarnationState.LISTED

    async def _request_start(self, upstream: Upstream) -> ReportedStart | None:
        request = encode_report_request(upstream.id)
        # An idle connection may have lost its peer, or be closed at this moment.
        for new_connection in (False, True):
            try:
                async with asyncio.timeout(CHECK_TIMEOUT):
                    response = await self.pool.send(
                        upstream.address, request, new_connection=new_connection
                    )
            except (TimeoutError, BuckthornstileError):
                continue
            return decode_start(response)
        return None

    def _record_replaced(
        self, upstream: Upstream, started_at_ms: int | None
    ) -> IncarnationState:
        if not self.is_replaced(upstream):
            log_event(
                "upstream.replaced",
                upstream=upstream.id,
                software=upstream.software_version,
                listed_start=upstream.started_at_ms,
                reported_start=started_at_ms,
            )
        self._replaced[upstream.id] = upstream.started_at_ms
        if len(self._replaced) > MAX_REPLACED:
            del self._replaced[next(iter(self._replaced))]
        return IncarnationState.REPLACED
