"""Texts that follow from a request alone, so that a cut or crossed one shows."""

import hashlib
import json
from typing import Any

TOKEN_LENGTH = 6


def make_token(prompt: str, seed: int, index: int) -> str:
    """Makes one token of the answer to a prompt, the same at every worker.

    Example:
        >>> make_token("set a tooth", 7, 0) == make_token("set a tooth", 8, 0)
        False
    """
    text = f"{prompt}\x00{seed}\x00{index}".encode()
    return hashlib.blake2b(text).hexdigest()[:TOKEN_LENGTH]


def generate_tokens(prompt: str, seed: int, count: int) -> list[str]:
    """Makes all tokens of the answer to a prompt."""
    return [make_token(prompt, seed, index) for index in range(count)]


def read_prompt(body: bytes) -> dict[str, Any] | None:
    """Reads a body that names its prompt; None for any other body."""
    try:
        data = json.loads(body)
    except ValueError:
        return None
    return data if isinstance(data, dict) and "prompt" in data else None
