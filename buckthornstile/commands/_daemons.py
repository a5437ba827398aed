"""The commands that run daemons, and ``settings check|document``."""

import dataclasses
import json as json_codec

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._context import parse_flag
from buckthornstile.commands._ports import load_daemon
from buckthornstile.platform import SETTINGS_VARIABLE, read_node_settings
from buckthornstile.settings import (
    AgentSettings,
    CommonSettings,
    EntrySettings,
    OperatorSettings,
    describe_settings,
    list_unknown_variables,
    load_settings,
    render_settings_page,
)

GATEWAY = "gateway"
ROLES: dict[str, type[CommonSettings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "operator": OperatorSettings,
}


def run_entry(**flags: object) -> None:
    """Runs an entry until it is told to stop.

    Args:
        **flags: Settings; see ``settings check entry`` and docs/SETTINGS.md.
    """
    settings = load_settings(EntrySettings, flags)
    load_daemon("entry", "run_entry")(settings)


def run_agent(**flags: object) -> None:
    """Runs an agent beside its upstream until it is told to stop.

    Args:
        **flags: Settings; see ``settings check agent`` and docs/SETTINGS.md.
    """
    settings = load_settings(AgentSettings, flags)
    load_daemon("agent", "run_agent")(settings)


def run_platform_gateway() -> None:
    """Runs a gateway on the users' platform until it is told to stop."""
    load_daemon("gateway", "run_gateway")(read_node_settings())


def check_settings(role: str, *, json: object = False, **flags: object) -> None:
    """Checks a role's settings and prints them with secrets hidden.

    Args:
        role: ``entry``, ``agent`` or ``operator``; ``gateway`` checks the file that
            the platform gives a gateway, named by BUCKTHORNSTILE_CONFIG.
        json: Print one JSON object.
        **flags: Settings.
    """
    as_json = parse_flag("json", json)
    if role == GATEWAY:
        settings = dataclasses.asdict(read_node_settings())
        _show_settings({name: str(value) for name, value in settings.items()}, as_json)
        return
    if role not in ROLES:
        allowed = ", ".join([*ROLES, GATEWAY])
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
