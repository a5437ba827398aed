"""Checks of parameters, with the name and the allowed range in the error text."""

import json
from typing import Any

MAX_INTEGER_DIGITS = 18
"""Longest integer in a message; int() raises ValueError from a few thousand digits."""


def check_range(
    name: str,
    value: float,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    unit: str = "",
) -> None:
    """Checks that a number is within a closed range.

    Args:
        name: Name of the parameter.
        value: Value of the parameter.
        minimum: Smallest allowed value, or None for no bound.
        maximum: Largest allowed value, or None for no bound.
        unit: Unit of the value, for the error text.

    Raises:
        ValueError: The value is out of range.

    Example:
        >>> check_range("lease_duration", 3, minimum=5, unit="s")
        Traceback (most recent call last):
        ValueError: lease_duration is 3 s; it must be at least 5 s
    """
    suffix = f" {unit}" if unit else ""
    if minimum is not None and value < minimum:
        raise ValueError(
            f"{name} is {value}{suffix}; it must be at least {minimum}{suffix}"
        )
    if maximum is not None and value > maximum:
        raise ValueError(
            f"{name} is {value}{suffix}; it must be at most {maximum}{suffix}"
        )


def check_name(name: str, value: str, *, maximum_length: int = 128) -> None:
    """Checks that a string is a printable name without spaces or slashes.

    Args:
        name: Name of the parameter.
        value: Value of the parameter.
        maximum_length: Maximum length, in characters.

    Raises:
        ValueError: The string is empty, too long or contains a forbidden character.

    Example:
        >>> check_name("account", "mill-7")
    """
    if not value:
        raise ValueError(
            f"{name} is empty; it must have 1 to {maximum_length} characters"
        )
    if len(value) > maximum_length:
        raise ValueError(
            f"{name} has {len(value)} characters; it may have at most {maximum_length}"
        )
    if not value.isprintable() or "/" in value or " " in value:
        raise ValueError(
            f"{name} is {value!r}; it must be printable, without spaces or slashes"
        )


def parse_json(data: bytes | bytearray | str) -> Any:
    """Parses JSON from outside the process.

    Raises:
        ValueError: The data is not valid JSON, or is nested too deeply.

    Example:
        >>> parse_json(b"[1, null]")
        [1, None]
        >>> parse_json("[" * 100_000)
        Traceback (most recent call last):
        ValueError: the JSON text is nested too deeply
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON text is nested too deeply") from error


def parse_integer(value: str | None) -> int | None:
    """Returns a text as a non-negative integer, or None if it is not one.

    Args:
        value: Text from outside the process, or None.

    Example:
        >>> parse_integer("7"), parse_integer("\u00b2"), parse_integer("9" * 5000)
        (7, None, None)
    """
    if not value or len(value) > MAX_INTEGER_DIGITS or not value.isascii():
        return None
    return int(value) if value.isdigit() else None
