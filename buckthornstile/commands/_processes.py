"""Implements the commands that run an entry, and ``settings check|document``."""

import json as json_codec

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._context import parse_flag
from buckthornstile.entry import run_entry as run_entry_process
from buckthornstile.platform import SETTINGS_VARIABLE, read_node_settings
from buckthornstile.settings import (
    CommonSettings,
    EntrySettings,
    OperatorSettings,
    describe_settings,
    list_unknown_variables,
    load_settings,
    render_settings_page,
)

PLATFORM_ROLE = "platform"
SETTINGS_BY_ROLE: dict[str, type[CommonSettings]] = {
    "entry": EntrySettings,
    "operator": OperatorSettings,
}


def run_entry(**flags: object) -> None:
    """Runs an entry until it receives a signal to stop.

    Args:
        **flags: Settings; ``settings check entry`` and docs/SETTINGS.md list them.
    """
    run_entry_process(load_settings(EntrySettings, flags))


def run_platform_entry() -> None:
    """Runs an entry with the settings file that the users' platform provides."""
    run_entry_process(read_node_settings())


def check_settings(role: str, *, json: object = False, **flags: object) -> None:
    """Checks and prints the settings of a role.

    Args:
        role: ``entry`` or ``operator``; ``platform`` checks the settings file that the
            users' platform provides to an entry, at the path in
            BUCKTHORNSTILE_CONFIG.
        json: Print one JSON object.
        **flags: Settings of the role.
    """
    as_json = parse_flag("json", json)
    if role == PLATFORM_ROLE:
        _show_settings(describe_settings(read_node_settings()), as_json)
        return
    if role not in SETTINGS_BY_ROLE:
        allowed = ", ".join([*SETTINGS_BY_ROLE, PLATFORM_ROLE])
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"role is {role!r}; it must be one of {allowed}"
        )
    setting_texts = describe_settings(load_settings(SETTINGS_BY_ROLE[role], flags))
    _show_settings(setting_texts, as_json)


def _show_settings(setting_texts: dict[str, str], as_json: bool) -> None:
    unknown = [name for name in list_unknown_variables() if name != SETTINGS_VARIABLE]
    if as_json:
        data = {"ok": True, "settings": setting_texts, "unknown_variables": unknown}
        print(json_codec.dumps(data))
        return
    for name, text in setting_texts.items():
        print(f"{name} = {text}")
    for name in unknown:
        print(f"{name} is set, but is not a setting of any role")


def document_settings() -> None:
    """Prints the contents of docs/SETTINGS.md, generated from the settings classes."""
    print(render_settings_page(), end="")
