"""Asks an engine for a stream where the caller wants a whole answer.

A stream shows when the first token came and how fast tokens follow, by which the
concurrency limit is steered; a whole answer shows neither.
"""

import json

EVENT_STREAM = "text/event-stream"
JSON = "application/json"


def ask_for_stream(body: bytes) -> bytes | None:
    """Turns a request for a whole completion into one for a stream.

    Args:
        body: The request's body.

    Returns:
        The body to send, or None if this is no request for a completion.

    Example:
        >>> ask_for_stream(b'{"prompt": "p"}')
        b'{"prompt": "p", "stream": true}'
        >>> ask_for_stream(b"[]") is None
        True
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or "prompt" not in fields:
        return None
    return json.dumps({**fields, "stream": True}).encode()
