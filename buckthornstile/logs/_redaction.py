"""Hides keys in texts that people read."""

import re

HIDDEN = "(hidden)"
MAX_TEXT_LENGTH = 2000
KEY_PATTERN = re.compile(r"(bk_|[Bb]earer\s+)[A-Za-z0-9_\-.~+/=]{8,}")


def redact_keys(text: str) -> str:
    """Hides whatever looks like a key.

    Args:
        text: Any text.

    Returns:
        The text with each key replaced, and cut to a bounded length.

    Example:
        >>> redact_keys("got bk_0123456789abcdef from 127.0.0.9")
        'got (hidden) from 127.0.0.9'
    """
    return KEY_PATTERN.sub(HIDDEN, text[:MAX_TEXT_LENGTH])
