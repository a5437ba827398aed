"""Generates tokens that depend on the request alone.

A test can therefore compute the expected text, and detect a truncated stream or the
response to another request.
"""

import hashlib
import json
from typing import Any

TOKEN_LENGTH = 6  # characters


def generate_token(prompt: str, seed: int, index: int) -> str:
    """Returns one token of the response to a prompt, the same on every worker.

    Example:
        >>> generate_token("set a tooth", 7, 0) == generate_token("set a tooth", 8, 0)
        False
    """
    text = f"{prompt}\x00{seed}\x00{index}".encode()
    return hashlib.blake2b(text).hexdigest()[:TOKEN_LENGTH]


def generate_tokens(prompt: str, seed: int, count: int) -> list[str]:
    """Returns the first tokens of the response to a prompt."""
    return [generate_token(prompt, seed, index) for index in range(count)]


def parse_prompt_request(body: bytes) -> dict[str, Any] | None:
    """Decodes a request body that has a prompt; returns None for any other body."""
    try:
        data = json.loads(body)
    except ValueError:
        return None
    return data if isinstance(data, dict) and "prompt" in data else None
