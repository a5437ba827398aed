"""Reads the errors that entries answer with."""

import json

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict

_CODES = {code.value: code for code in ErrorCode}
_VERDICTS = {verdict.value: verdict for verdict in Verdict}
_SEVERITY = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


def parse_error(body: bytes | str) -> BuckthornstileError | None:
    """Reads an entry's error body.

    Args:
        body: ``{"error": {"code", "message", "verdict", "retry_after"}}``.

    Returns:
        The error, or None if the body is something else, such as the answer of
        an upstream. A code that this library does not know becomes
        ``INTERNAL``; its verdict counts all the same.

    Example:
        >>> parse_error('{"error": {"code": "x", "verdict": "not_run"}}').verdict
        <Verdict.NOT_RUN: 'not_run'>
        >>> parse_error("<html>") is None
        True
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    error = value.get("error") if isinstance(value, dict) else None
    if not isinstance(error, dict):
        return None
    verdict = _VERDICTS.get(str(error.get("verdict")))
    if verdict is None:
        return None
    retry_after = error.get("retry_after")
    has_hint = isinstance(retry_after, int | float) and retry_after > 0
    return BuckthornstileError(
        _CODES.get(str(error.get("code")), ErrorCode.INTERNAL),
        str(error.get("message", "")),
        verdict=verdict,
        retry_after=float(retry_after) if has_hint else None,  # type: ignore[arg-type]
    )


def get_worst_verdict(first: Verdict, second: Verdict) -> Verdict:
    """Gives the verdict over two attempts of one call.

    Args:
        first: One attempt's verdict.
        second: The other's.

    Example:
        >>> get_worst_verdict(Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN).value
        'may_have_run'
    """
    return max(first, second, key=_SEVERITY.index)


def make_lost(message: str) -> BuckthornstileError:
    """Makes the error for a connection that broke after something was sent.

    Args:
        message: What happened.

    Example:
        >>> make_lost("closed").verdict.value
        'may_have_run'
    """
    return BuckthornstileError(
        ErrorCode.CONNECTION_LOST, message, verdict=Verdict.MAY_HAVE_RUN
    )


def make_truncated(message: str) -> BuckthornstileError:
    """Makes the error for an answer that is not whole.

    Args:
        message: What is missing.

    Example:
        >>> make_truncated("too short").code.value
        'upstream.answer_truncated'
    """
    return BuckthornstileError(
        ErrorCode.ANSWER_TRUNCATED, message, verdict=Verdict.MAY_HAVE_RUN
    )
