"""Error codes, and verdicts on whether a request has run."""

from enum import Enum


class Verdict(Enum):
    """Whether an upstream may have run a request.

    ``NOT_RUN`` guarantees that no upstream has started the request or will ever
    start it under the same request id. ``RAN`` means that a complete response
    exists.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class ErrorCode(Enum):
    """Stable codes of all errors that a process returns."""

    # Requests
    BODY_TOO_LARGE = "request.body_too_large"
    HEADERS_TOO_LARGE = "request.headers_too_large"
    BODY_MALFORMED = "request.body_malformed"
    BODY_TOO_SLOW = "request.body_too_slow"
    HEADER_INVALID = "request.header_invalid"
    ROUTE_UNKNOWN = "request.route_unknown"
    DEADLINE_PASSED = "request.deadline_passed"
    CANCELLED = "request.cancelled"
    DUPLICATE_IN_FLIGHT = "request.duplicate_in_flight"
    # Upstreams that ran the same request have crashed.
    QUARANTINED = "request.quarantined"
    # Keys
    KEY_MISSING = "key.missing"
    KEY_UNKNOWN = "key.unknown"
    KEY_WITHDRAWN = "key.withdrawn"
    ACCOUNT_NOT_ALLOWED = "key.account_not_allowed"
    # Load
    QUEUE_FULL = "load.queue_full"
    NO_UPSTREAM = "load.no_upstream"
    # Too much is held for clients to read the request to its end.
    MEMORY_FULL = "load.memory_full"
    # Processes
    CONFIGURATION_OLD = "process.configuration_old"
    CONFIGURATION_MISSING = "process.configuration_missing"
    # The key was assigned to another account, or a route changed, during the request.
    CONFIGURATION_CHANGED = "process.configuration_changed"
    # It is not known whether the job of an item still runs in this process.
    JOB_UNVERIFIED = "process.job_unverified"
    DRAINING = "process.draining"
    LEASE_LOST = "process.lease_lost"
    CONNECTION_LOST = "process.connection_lost"
    # Upstreams
    UPSTREAM_FAILED = "upstream.failed"
    ANSWER_TRUNCATED = "upstream.answer_truncated"
    ANSWER_TOO_LARGE = "upstream.answer_too_large"
    # The response belongs to another request.
    ANSWER_CROSSED = "upstream.answer_crossed"
    VERSION_UNVERIFIABLE = "upstream.version_unverifiable"
    # Samples
    # The trainer has attached to the lot again since.
    ATTACH_OLD = "sample.attach_old"
    LOT_UNKNOWN = "sample.lot_unknown"
    LOT_INVALID = "sample.lot_invalid"
    # The platform
    PLATFORM_UNAVAILABLE = "platform.unavailable"
    # Operators
    CONFIGURATION_CONFLICT = "configuration.conflict"
    CONFIGURATION_INVALID = "configuration.invalid"
    REMOVAL_TOO_LARGE = "configuration.removal_too_large"
    SHEET_INVALID = "sheet.invalid"
    SETTING_INVALID = "setting.invalid"
    INTERNAL = "internal"


class BuckthornstileError(Exception):
    """An error with a stable code and a verdict.

    Args:
        code: Code of the error.
        message: Text of the error in one sentence; never contains an API key.
        verdict: Whether the request may have run.
        retry_after: Seconds after which a retry may succeed, or None if unknown.

    Example:
        >>> error = BuckthornstileError(ErrorCode.QUEUE_FULL, "the queue is full")
        >>> error.code.value, error.verdict.value
        ('load.queue_full', 'not_run')
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str = "",
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message or code.value)
        self.code = code
        self.message = message or code.value
        self.verdict = verdict
        self.retry_after = retry_after


class PlatformUnavailableError(BuckthornstileError):
    """A call to the platform failed or timed out.

    Args:
        message: Text of the error in one sentence.
        may_have_taken_effect: Whether the platform may have executed the call.

    Example:
        >>> PlatformUnavailableError("timed out").may_have_taken_effect
        True
    """

    def __init__(self, message: str, *, may_have_taken_effect: bool = True) -> None:
        super().__init__(ErrorCode.PLATFORM_UNAVAILABLE, message)
        self.may_have_taken_effect = may_have_taken_effect


HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.BODY_TOO_SLOW: 408,
    ErrorCode.BODY_MALFORMED: 400,
    ErrorCode.HEADER_INVALID: 400,
    ErrorCode.LOT_INVALID: 400,
    ErrorCode.ROUTE_UNKNOWN: 404,
    ErrorCode.LOT_UNKNOWN: 404,
    ErrorCode.KEY_MISSING: 401,
    ErrorCode.KEY_UNKNOWN: 401,
    ErrorCode.KEY_WITHDRAWN: 401,
    ErrorCode.ACCOUNT_NOT_ALLOWED: 403,
    ErrorCode.DUPLICATE_IN_FLIGHT: 409,
    ErrorCode.ATTACH_OLD: 409,
    ErrorCode.QUEUE_FULL: 429,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.ANSWER_TRUNCATED: 502,
    ErrorCode.ANSWER_TOO_LARGE: 502,
    ErrorCode.ANSWER_CROSSED: 502,
    ErrorCode.CONNECTION_LOST: 502,
    ErrorCode.INTERNAL: 500,
}
DEFAULT_HTTP_STATUS = 503


def get_http_status(code: ErrorCode) -> int:
    """Returns the HTTP status of the response for an error code.

    Args:
        code: Code of the error.

    Returns:
        The status, or 503 for a code that is not in ``HTTP_STATUS``.

    Example:
        >>> get_http_status(ErrorCode.KEY_MISSING)
        401
    """
    return HTTP_STATUS.get(code, DEFAULT_HTTP_STATUS)
