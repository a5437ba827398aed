"""Detects upstreams that ended while they ran a request, and refuses such requests.

The load that this answers is a request that comes again and again: each send of it
takes an upstream, with all that runs there, out of service for seconds.
"""

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.gateway._crash_log import CrashLog
from buckthornstile.gateway._fingerprint import compute_fingerprint
from buckthornstile.gateway._quarantine import make_crash
from buckthornstile.http_client import ConnectionPool
from buckthornstile.messages import RoutedCall
from buckthornstile.topology import Upstream

PROBE_TIMEOUT = 0.15
"""Seconds in which an upstream that has ended must refuse a connection."""
BROKEN_CONNECTION_CODES = (ErrorCode.UPSTREAM_FAILED, ErrorCode.ANSWER_TRUNCATED)


class CrashDetector:
    """Decides which requests crash upstreams.

    A connection that breaks during a request proves no crash: answers get lost, and
    connections are reset. The upstream must also refuse a new connection.

    Args:
        crash_log: Records crashes, also those that other entries detected.
        pool: Opens the connections that tell whether an upstream has ended.
    """

    def __init__(self, crash_log: CrashLog, pool: ConnectionPool) -> None:
        self.crash_log = crash_log
        self.pool = pool

    def is_suspect(self, call: RoutedCall) -> bool:
        """Whether an upstream has ended under a request, so that it is not hedged."""
        quarantine = self.crash_log.quarantine
        if call.is_item_call or quarantine.is_empty():
            return False
        return quarantine.is_suspect(compute_fingerprint(call))

    def get_remaining_time(self, call: RoutedCall) -> float:
        """Returns the seconds for which a request is refused, or 0."""
        if call.is_item_call or self.crash_log.quarantine.is_empty():
            return 0.0
        return self.crash_log.get_remaining_time(compute_fingerprint(call))

    def check_allowed(self, call: RoutedCall) -> None:
        """Checks that a request may be sent.

        Raises:
            BuckthornstileError: Upstreams crashed while they ran the same request.
        """
        remaining = self.get_remaining_time(call)
        if remaining:
            raise BuckthornstileError(
                ErrorCode.QUARANTINED,
                "upstreams that ran the same request have crashed; it is refused for "
                f"{remaining:.1f} s",
                retry_after=remaining,
            )

    async def record_failure(
        self, call: RoutedCall, upstream: Upstream, error: BaseException | None
    ) -> None:
        """Records the failure of an attempt, if the upstream has ended under it."""
        if call.is_item_call or not isinstance(error, BuckthornstileError):
            return
        if error.verdict is not Verdict.MAY_HAVE_RUN:
            return
        if error.code not in BROKEN_CONNECTION_CODES:
            return
        if await self.pool.refuses_connections(upstream.address, PROBE_TIMEOUT):
            self.crash_log.record_crash(
                make_crash(compute_fingerprint(call), upstream),
                upstream=upstream.id,
                request_id=call.request.id,
            )

    def record_response(self, call: RoutedCall) -> None:
        """Records that an upstream has run a request and still responds."""
        if self.is_suspect(call):
            self.crash_log.record_success(compute_fingerprint(call))
