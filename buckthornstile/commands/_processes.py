"""The commands that run daemons, and ``settings check|document``."""

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

PLATFORM = "platform"
ROLES: dict[str, type[CommonSettings]] = {
    "entry": EntrySettings,
    "operator": OperatorSettings,
}


def run_entry(**flags: object) -> None:
    """Runs an entry until it is told to stop.

    Args:
        **flags: Settings; see ``settings check entry`` and docs/SETTINGS.md.
    """
    run_entry_process(load_settings(EntrySettings, flags))


def run_platform_entry() -> None:
    """Runs an entry with the settings file of the users' platform."""
    run_entry_process(read_node_settings())


def check_settings(role: str, *, json: object = False, **flags: object) -> None:
    """Checks a role's settings and prints them.

    Args:
        role: ``entry`` or ``operator``; ``platform`` checks the file that the
            users' platform gives an entry, named by BUCKTHORNSTILE_CONFIG.
        json: Print one JSON object.
        **flags: Settings.
    """
    as_json = parse_flag("json", json)
    if role == PLATFORM:
        _show_settings(describe_settings(read_node_settings()), as_json)
        return
    if role not in ROLES:
        allowed = ", ".join([*ROLES, PLATFORM])
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"role is {role!r}; it must be one of {allowed}"
        )
    described = describe_settings(load_settings(ROLES[role], flags))
    _show_settings(described, as_json)


def _show_settings(described: dict[str, str], as_json: bool) -> None:
    unknown = [name for name in list_unknown_variables() if name != SETTINGS_VARIABLE]
    if as_json:
        data = {"ok": True, "settings": described, "unknown_variables": unknown}
        print(json_codec.dumps(data))
        return
    for name, text in described.items():
        print(f"{name} = {text}")
    for name in unknown:
        print(f"{name} is set, but no role knows it")


def document_settings() -> None:
    """Prints docs/SETTINGS.md as the models say."""
    print(render_settings_page(), end="")
