"""Writes the settings' reference page from the models."""

from enum import Enum

from pydantic.fields import FieldInfo

from buckthornstile.settings._common import CommonSettings, find_unit
from buckthornstile.settings._entry import EntrySettings
from buckthornstile.settings._load import describe_range
from buckthornstile.settings._operator import OperatorSettings

INTRODUCTION = """# Settings

This page is made from the models by `python -m buckthornstile settings document`.

A flag goes over an environment variable, and that over the default. The setting
`stop_grace` is the flag `--stop_grace` and the variable `BUCKTHORNSTILE_STOP_GRACE`.
`python -m buckthornstile settings check entry` (or `operator`) names everything that
is wrong at once. On the users' platform an entry takes its settings from the file that
`BUCKTHORNSTILE_CONFIG` names; `settings check platform` reads and checks it.
"""
HEAD = (
    "| setting | default | allowed | unit | meaning |\n| --- | --- | --- | --- | --- |"
)
SECTIONS: tuple[tuple[str, type[CommonSettings]], ...] = (
    ("Entries", EntrySettings),
    ("Operators' commands", OperatorSettings),
)


def render_settings_page() -> str:
    """Renders ``docs/SETTINGS.md``.

    Returns:
        The page, in Markdown.

    Example:
        >>> render_settings_page().splitlines()[0]
        '# Settings'
    """
    parts = [INTRODUCTION]
    for title, kind in SECTIONS:
        fields = kind.model_fields
        rows = "\n".join(_render_row(name, fields[name]) for name in fields)
        parts.append(f"## {title}\n\n{HEAD}\n{rows}\n")
    return "\n".join(parts)


def _render_row(name: str, info: FieldInfo) -> str:
    default = "required" if info.is_required() else _render_default(info.default)
    unit = find_unit(info.json_schema_extra)
    allowed = describe_range(info)
    return f"| `{name}` | {default} | {allowed} | {unit} | {info.description} |"


def _render_default(value: object) -> str:
    text = str(value.value) if isinstance(value, Enum) else str(value)
    return f"`{text}`" if text else "empty"
