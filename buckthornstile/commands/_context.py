"""What the operators' commands share: flags, output and the end of a change."""

import json
import secrets
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

from buckthornstile.base import BuckthornstileError, ChangeId, ErrorCode
from buckthornstile.commands._clients import make_store_client
from buckthornstile.commands._exit_codes import ExitCode
from buckthornstile.commands._propagation import (
    PropagationStatus,
    wait_until_propagated,
)
from buckthornstile.commands._submit import ConfigurationClient, SubmitResult
from buckthornstile.settings import OperatorSettings, load_settings

CHANGE_ID_BYTES = 8
TRUE_TEXTS = ("true", "yes", "1", "")
FALSE_TEXTS = ("false", "no", "0")


class CommandExit(Exception):  # noqa: N818
    """Ends a command with an exit code after its output.

    Args:
        exit_code: The exit code.
    """

    def __init__(self, exit_code: ExitCode) -> None:
        super().__init__(exit_code.name)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class Context:
    """An operator's command's settings and form of output."""

    settings: OperatorSettings
    as_json: bool

    def show(self, data: dict[str, Any], lines: Sequence[str]) -> None:
        """Prints the result: one JSON object, or lines for a person."""
        if self.as_json:
            print(json.dumps({"ok": True} | data, ensure_ascii=False))
        else:
            print("\n".join(lines))


def make_context(flags: dict[str, object], as_json: object) -> Context:
    """Makes a command's context, or refuses what it does not know.

    Args:
        flags: Flags beyond the command's parameters; settings.
        as_json: The flag ``--json``.

    Returns:
        The context.

    Raises:
        BuckthornstileError: A flag is unknown.

    Example:
        >>> make_context({}, "True").as_json
        True
    """
    settings = load_settings(OperatorSettings, flags)
    return Context(settings, parse_flag("json", as_json))


def make_reader(context: Context) -> ConfigurationClient:
    """Makes the reader of the configuration in the store.

    Raises:
        BuckthornstileError: ``store_address`` is not set.
    """
    settings = context.settings
    return ConfigurationClient(
        make_store_client(settings), timeout=settings.store_timeout
    )


def parse_flag(name: str, value: object) -> bool:
    """Parses a flag that is given or not.

    Args:
        name: The flag's name.
        value: Its value, or its text on the command line.

    Returns:
        Whether it is set.

    Raises:
        BuckthornstileError: The text is neither true nor false.

    Example:
        >>> parse_flag("json", "True"), parse_flag("json", False)
        (True, False)
    """
    text = str(value).lower()
    if text not in TRUE_TEXTS + FALSE_TEXTS:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"{name} is {value!r}; it must be true or false"
        )
    return text in TRUE_TEXTS


def make_change_id() -> ChangeId:
    """Makes an id for one change, kept on all its retries.

    Example:
        >>> len(make_change_id())
        16
    """
    return ChangeId(secrets.token_hex(CHANGE_ID_BYTES))


async def wait_and_report_change(
    context: Context,
    result: SubmitResult,
    *,
    what: str,
    data: dict[str, Any] | None = None,
    lines: Sequence[str] = (),
) -> None:
    """Waits until a change is in force and shows what became of it.

    Args:
        context: The command's context.
        result: What became of the change.
        what: What was done, for a person.
        data: More for the JSON object.
        lines: More lines for a person, shown first.

    Raises:
        CommandExit: It is not yet in force everywhere.
    """
    entries = context.settings.list_entries()
    in_force = PropagationStatus()
    if entries:
        in_force = await wait_until_propagated(
            entries, result, timeout=context.settings.wait_timeout
        )
    state = "accepted" if result.changed else "nothing to change"
    shown = [*lines, f"{what}: {state}, revision {result.revision}"]
    shown.append(_describe(in_force))
    context.show(
        (data or {})
        | {
            "changed": result.changed,
            "revision": result.revision,
            "offset": result.offset,
            "in_force": asdict(in_force),
        },
        shown,
    )
    if in_force.behind:
        raise CommandExit(ExitCode.NOT_IN_FORCE)


def _describe(in_force: PropagationStatus) -> str:
    if not in_force.asked:
        return "no entries were asked whether it is in force (see --entries)"
    if not in_force.behind:
        return f"in force on all after {in_force.waited:.1f} s"
    names = ", ".join(in_force.behind)
    return f"not yet in force on {len(in_force.behind)}: {names}"
