"""Redacts API keys in log and error texts."""

import re

REDACTED_TEXT = "(hidden)"
MAX_TEXT_LENGTH = 2000
"""Number of characters after which a text is cut off."""
KEY_PATTERN = re.compile(r"(bk_|[Bb]earer\s+)[A-Za-z0-9_\-.~+/=]{8,}")


def redact_keys(text: str) -> str:
    """Replaces everything that looks like an API key.

    Args:
        text: Any text.

    Returns:
        The text with each key replaced, after truncation to ``MAX_TEXT_LENGTH``.

    Example:
        >>> redact_keys("got bk_0123456789abcdef from 127.0.0.9")
        'got (hidden) from 127.0.0.9'
    """
    return KEY_PATTERN.sub(REDACTED_TEXT, text[:MAX_TEXT_LENGTH])
