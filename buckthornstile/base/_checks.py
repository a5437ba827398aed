"""Checks that name the parameter, its value and the allowed range."""


def check_range(
    name: str,
    value: float,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    unit: str = "",
) -> None:
    """Checks that a number lies in a closed range.

    Args:
        name: The parameter's name.
        value: Its value.
        minimum: The least allowed value, or None for no bound.
        maximum: The greatest allowed value, or None for no bound.
        unit: The unit to name in the message.

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
    """Checks that a text is a plain, printable, bounded name.

    Args:
        name: The parameter's name.
        value: Its value.
        maximum_length: The greatest allowed length, in characters.

    Raises:
        ValueError: The text is empty, too long or holds a forbidden character.

    Example:
        >>> check_name("account", "mill-7")
    """
    if not value:
        raise ValueError(f"{name} is empty; it must hold 1 to {maximum_length} letters")
    if len(value) > maximum_length:
        raise ValueError(
            f"{name} has {len(value)} characters; it must hold at most {maximum_length}"
        )
    if not value.isprintable() or "/" in value or " " in value:
        raise ValueError(
            f"{name} is {value!r}; it must be printable, without spaces or slashes"
        )
