"""Redaction of API keys in log and error texts."""

import re

REDACTED_TEXT = "(hidden)"
MAX_TEXT_LENGTH = 2000
"""Number of characters to which a text is truncated."""
KEY_PATTERN = re.compile(r"(bk_|[Bb]earer\s+)[A-Za-z0-9_\-.~+/=]{8,}")


def redact_keys(text: str) -> str:
    """Truncates a text and replaces everything in it that looks like an API key.

    Args:
        text: Any text.

    Returns:
        The first ``MAX_TEXT_LENGTH`` characters, with each key replaced.

    Example:
        >>> redact_keys("got bk_0123456789abcdef from 127.0.0.9")
        'got (hidden) from 127.0.0.9'
    """
    return KEY_PATTERN.sub(REDACTED_TEXT, text[:MAX_TEXT_LENGTH])
