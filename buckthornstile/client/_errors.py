"""Parses the error responses of entries and creates the client's own errors."""

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict, parse_json

_CODES = {code.value: code for code in ErrorCode}
_VERDICTS = {verdict.value: verdict for verdict in Verdict}
_VERDICTS_BY_SEVERITY = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


def parse_error(body: bytes | str) -> BuckthornstileError | None:
    """Parses the body of an entry's error response.

    Args:
        body: ``{"error": {"code", "message", "verdict", "retry_after"}}``.

    Returns:
        The error, or None if the body has another form, such as a response of
        an upstream. A code that this library does not know becomes
        ``INTERNAL``; the verdict of such an error is kept.

    Example:
        >>> parse_error('{"error": {"code": "x", "verdict": "not_run"}}').verdict
        <Verdict.NOT_RUN: 'not_run'>
        >>> parse_error("<html>") is None
        True
    """
    try:
        value = parse_json(body)
    except (ValueError, RecursionError):
        return None
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        return None
    verdict = _VERDICTS.get(str(error.get("verdict")))
    if verdict is None:
        return None
    retry_after = error.get("retry_after")
    has_retry_after = isinstance(retry_after, int | float) and retry_after > 0
    return BuckthornstileError(
        _CODES.get(str(error.get("code")), ErrorCode.INTERNAL),
        str(error.get("message", "")),
        verdict=verdict,
        retry_after=float(retry_after) if has_retry_after else None,  # type: ignore[arg-type]
    )


def get_worst_verdict(first: Verdict, second: Verdict) -> Verdict:
    """Returns the more severe verdict of two attempts of one call.

    Args:
        first: Verdict of one attempt.
        second: Verdict of the other attempt.

    Example:
        >>> get_worst_verdict(Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN).value
        'may_have_run'
    """
    return max(first, second, key=_VERDICTS_BY_SEVERITY.index)


def make_connection_lost_error(message: str) -> BuckthornstileError:
    """Creates the error for a connection lost after the client began to send.

    Args:
        message: Text of the error.

    Example:
        >>> make_connection_lost_error("closed").verdict.value
        'may_have_run'
    """
    return BuckthornstileError(
        ErrorCode.CONNECTION_LOST, message, verdict=Verdict.MAY_HAVE_RUN
    )


def make_truncated_error(message: str) -> BuckthornstileError:
    """Creates the error for an incomplete response.

    Args:
        message: Text of the error.

    Example:
        >>> make_truncated_error("too short").code.value
        'upstream.answer_truncated'
    """
    return BuckthornstileError(
        ErrorCode.ANSWER_TRUNCATED, message, verdict=Verdict.MAY_HAVE_RUN
    )
