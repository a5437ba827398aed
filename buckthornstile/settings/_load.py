"""Loads settings and reports all invalid settings in one error."""

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
    get_unit,
)
from buckthornstile.settings._entry import EntrySettings
from buckthornstile.settings._operator import OperatorSettings

SettingsT = TypeVar("SettingsT", bound=CommonSettings)

MAX_SHOWN_LENGTH = 80
"""Maximum length of a value in an error text, in characters."""
SETTINGS_CLASSES: tuple[type[CommonSettings], ...] = (
    EntrySettings,
    OperatorSettings,
)


def load_settings(
    settings_class: type[SettingsT], flags: Mapping[str, object] | None = None
) -> SettingsT:
    """Loads settings from flags, environment variables and defaults.

    A flag overrides an environment variable, which overrides the default.

    Args:
        settings_class: Class of the settings.
        flags: Values from the command line, by setting name.

    Returns:
        The validated settings.

    Raises:
        BuckthornstileError: With ``SETTING_INVALID``; the message has one line
            for each invalid setting.

    Example:
        >>> load_settings(OperatorSettings, {"store_timeout": "0"})
        Traceback (most recent call last):
        buckthornstile.base._errors.BuckthornstileError: store_timeout is '0'; it
        must be from 0.05 s to 60 s
    """
    try:
        values: dict[str, Any] = dict(flags or {})
        return settings_class(**values)
    except ValidationError as error:
        lines = [_describe_error(settings_class, item) for item in error.errors()]
    raise BuckthornstileError(ErrorCode.SETTING_INVALID, "\n".join(lines)) from None


def describe_settings(settings: CommonSettings) -> dict[str, str]:
    """Returns the values of settings as texts, with their units.

    Args:
        settings: Settings to describe.

    Returns:
        Value and unit of each setting, by name.

    Example:
        >>> describe_settings(load_settings(OperatorSettings))["store_timeout"]
        '2.0 s'
    """
    described = {}
    for name, info in type(settings).model_fields.items():
        value = getattr(settings, name)
        unit = get_unit(info.json_schema_extra)
        text = _format_value(value)
        has_unit = unit and isinstance(value, int | float)
        described[name] = f"{text} {unit}" if has_unit else text
    return described


def list_unknown_variables() -> tuple[str, ...]:
    """Lists environment variables that have the prefix but belong to no setting.

    Returns:
        Names of the variables, sorted.

    Example:
        >>> "BUCKTHORNSTILE_PROCESS" in list_unknown_variables()
        False
    """
    known = {
        name
        for settings_class in SETTINGS_CLASSES
        for name in settings_class.model_fields
    }
    return tuple(
        sorted(
            name
            for name in os.environ
            if name.upper().startswith(ENVIRONMENT_PREFIX)
            and name[len(ENVIRONMENT_PREFIX) :].lower() not in known
        )
    )


def describe_range(info: FieldInfo) -> str:
    """Describes the allowed values of a setting, with its unit.

    Args:
        info: Field of the setting.

    Returns:
        A phrase such as ``from 0.05 s to 60 s``, or an empty string for a field
        without bounds or choices.

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
    unit = get_unit(info.json_schema_extra)
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


def _describe_error(settings_class: type[CommonSettings], item: ErrorDetails) -> str:
    name = str(item["loc"][0]) if item["loc"] else "settings"
    info = settings_class.model_fields.get(name)
    if info is None:
        return f"{name} is not a setting of this command"
    variable = ENVIRONMENT_PREFIX + name.upper()
    allowed = describe_range(info)
    if item["type"] == "missing":
        expected = f" ({allowed})" if allowed else ""
        return f"{name} is not set; set --{name} or {variable}{expected}"
    formatted = _format_input(item["input"])
    if item["type"] == "value_error":
        reason = str(item["ctx"]["error"])
        # The text of check_name already starts with the setting's name.
        is_sentence = reason.startswith(name)
        return reason if is_sentence else f"{name} is {formatted}; it {reason}"
    unit = get_unit(info.json_schema_extra)
    expected = allowed or (f"{_describe_type(info)}" + (f" in {unit}" if unit else ""))
    return f"{name} is {formatted}; it must be {expected}"


def _describe_type(info: FieldInfo) -> str:
    descriptions = {int: "an integer", float: "a number", str: "a string"}
    return descriptions.get(info.annotation, "valid")  # type: ignore[arg-type]


def _format_input(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_SHOWN_LENGTH:
        return text[:MAX_SHOWN_LENGTH] + "…"
    return text


def _format_value(value: object) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    return str(value)
