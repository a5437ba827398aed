"""Writes the settings' reference page from the models."""

from enum import Enum

from pydantic.fields import FieldInfo

from buckthornstile.settings._agent import AgentSettings
from buckthornstile.settings._common import CommonSettings, DaemonSettings, find_unit
from buckthornstile.settings._entry import EntrySettings
from buckthornstile.settings._load import describe_range
from buckthornstile.settings._operator import OperatorSettings

INTRODUCTION = """# Settings

This page is made from the models by `python -m buckthornstile settings document`.

A flag goes over an environment variable, and that over the default. The setting
`peer_port` is the flag `--peer_port` and the variable `BUCKTHORNSTILE_PEER_PORT`.
`python -m buckthornstile settings check entry` (or `agent`, `operator`) names
everything that is wrong at once.
"""
HEAD = (
    "| setting | default | allowed | unit | meaning |\n| --- | --- | --- | --- | --- |"
)
SECTIONS: tuple[tuple[str, type[CommonSettings], type[CommonSettings] | None], ...] = (
    ("All commands", CommonSettings, None),
    ("Entries and agents", DaemonSettings, CommonSettings),
    ("Entries", EntrySettings, DaemonSettings),
    ("Agents", AgentSettings, DaemonSettings),
    ("Operators' commands", OperatorSettings, CommonSettings),
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
    for title, kind, base in SECTIONS:
        inherited = base.model_fields if base is not None else {}
        names = [name for name in kind.model_fields if name not in inherited]
        rows = "\n".join(_render_row(name, kind.model_fields[name]) for name in names)
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
