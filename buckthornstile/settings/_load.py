"""Loads settings and names everything that is wrong with them at once."""

import os
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from pydantic import ValidationError
from pydantic.fields import FieldInfo
from pydantic_core import ErrorDetails

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.settings._common import (
    ENVIRONMENT_PREFIX,
    CommonSettings,
    find_unit,
)
from buckthornstile.settings._entry import EntrySettings
from buckthornstile.settings._operator import OperatorSettings

S = TypeVar("S", bound=CommonSettings)

MAX_SHOWN_VALUE = 80
ROLES: tuple[type[CommonSettings], ...] = (
    EntrySettings,
    OperatorSettings,
)


def load_settings(kind: type[S], flags: Mapping[str, object] | None = None) -> S:
    """Loads settings: flags over environment variables over defaults.

    Args:
        kind: The settings model.
        flags: Values given on the command line, by setting name.

    Returns:
        The checked settings.

    Raises:
        BuckthornstileError: With ``SETTING_INVALID``; the message has one line
            for each setting that is wrong.

    Example:
        >>> load_settings(OperatorSettings, {"store_timeout": "0"})
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: store_timeout is '0'; it
        must be from 0.05 s to 60 s
    """
    try:
        values: dict[str, Any] = dict(flags or {})
        return kind(**values)
    except ValidationError as error:
        lines = [_describe_error(kind, item) for item in error.errors()]
    raise BuckthornstileError(ErrorCode.SETTING_INVALID, "\n".join(lines)) from None


def describe_settings(settings: CommonSettings) -> dict[str, str]:
    """Describes settings.

    Args:
        settings: The settings.

    Returns:
        Each setting's value with its unit, by name.

    Example:
        >>> describe_settings(load_settings(OperatorSettings))["store_timeout"]
        '2.0 s'
    """
    described = {}
    for name, info in type(settings).model_fields.items():
        value = getattr(settings, name)
        unit = find_unit(info.json_schema_extra)
        text = _show(value)
        shows_unit = unit and isinstance(value, int | float)
        described[name] = f"{text} {unit}" if shows_unit else text
    return described


def list_unknown_variables() -> tuple[str, ...]:
    """Lists environment variables with our prefix that no role knows.

    Returns:
        Their names, sorted.

    Example:
        >>> "BUCKTHORNSTILE_PROCESS" in list_unknown_variables()
        False
    """
    known = {name for kind in ROLES for name in kind.model_fields}
    return tuple(
        sorted(
            name
            for name in os.environ
            if name.upper().startswith(ENVIRONMENT_PREFIX)
            and name[len(ENVIRONMENT_PREFIX) :].lower() not in known
        )
    )


def describe_range(info: FieldInfo) -> str:
    """Describes what values a setting may take, with its unit.

    Args:
        info: The setting's field.

    Returns:
        A phrase such as ``from 0.05 s to 60 s``, or an empty text.

    Example:
        >>> describe_range(OperatorSettings.model_fields["wait_timeout"])
        'from 0 s to 600 s'
    """
    if isinstance(info.annotation, type) and issubclass(info.annotation, Enum):
        return "one of " + ", ".join(str(m.value) for m in info.annotation)
    choices = getattr(info.annotation, "__args__", ())
    if choices:
        return "one of " + ", ".join(map(str, choices))
    bounds: dict[str, Any] = {}
    for item in info.metadata:
        for key in ("ge", "gt", "le", "min_length", "max_length"):
            if getattr(item, key, None) is not None:
                bounds[key] = getattr(item, key)
    unit = find_unit(info.json_schema_extra)
    suffix = f" {unit}" if unit else ""
    if "min_length" in bounds:
        return f"at least {bounds['min_length']}{suffix}"
    if "max_length" in bounds:
        return f"at most {bounds['max_length']}{suffix}"
    if "gt" in bounds:
        return f"above {bounds['gt']}{suffix}, up to {bounds['le']}{suffix}"
    if "ge" in bounds:
        return f"from {bounds['ge']}{suffix} to {bounds['le']}{suffix}"
    return ""


def _describe_error(kind: type[CommonSettings], item: ErrorDetails) -> str:
    name = str(item["loc"][0]) if item["loc"] else "settings"
    info = kind.model_fields.get(name)
    if info is None:
        return f"{name} is no setting of this command"
    variable = ENVIRONMENT_PREFIX + name.upper()
    allowed = describe_range(info)
    if item["type"] == "missing":
        expected = f" ({allowed})" if allowed else ""
        return f"{name} is not set; give --{name} or {variable}{expected}"
    shown = _show_input(item["input"])
    if item["type"] == "value_error":
        reason = str(item["ctx"]["error"])
        is_sentence = reason.startswith(name)
        return reason if is_sentence else f"{name} is {shown}; it {reason}"
    unit = find_unit(info.json_schema_extra)
    expected = allowed or (f"{_name_type(info)}" + (f" in {unit}" if unit else ""))
    return f"{name} is {shown}; it must be {expected}"


def _name_type(info: FieldInfo) -> str:
    names = {int: "a whole number", float: "a number", str: "a text"}
    return names.get(info.annotation, "valid")  # type: ignore[arg-type]


def _show_input(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_VALUE:
        return text[:MAX_SHOWN_VALUE] + "…"
    return text


def _show(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    return str(value)
