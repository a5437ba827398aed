"""Shared code of the operators' commands: flags, output and reports on changes."""

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
    """Raised to end a command with an exit code after it has printed its result.

    Args:
        exit_code: Exit code of the process.
    """

    def __init__(self, exit_code: ExitCode) -> None:
        super().__init__(exit_code.name)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Settings and output format of an operator's command."""

    settings: OperatorSettings
    as_json: bool

    def print_result(self, data: dict[str, Any], lines: Sequence[str]) -> None:
        """Prints the result as one JSON object or as lines of text."""
        if self.as_json:
            print(json.dumps({"ok": True} | data, ensure_ascii=False))
        else:
            print("\n".join(lines))


def make_context(flags: dict[str, object], as_json: object) -> CommandContext:
    """Creates the context of a command from its flags.

    Args:
        flags: Settings, given as flags that are not parameters of the command.
        as_json: Value of the flag ``--json``.

    Returns:
        The context.

    Raises:
        BuckthornstileError: A flag is unknown or has an invalid value.

    Example:
        >>> make_context({}, "True").as_json
        True
    """
    settings = load_settings(OperatorSettings, flags)
    return CommandContext(settings, parse_flag("json", as_json))


def make_configuration_client(context: CommandContext) -> ConfigurationClient:
    """Creates a client of the configuration in the store.

    Raises:
        BuckthornstileError: ``store_address`` is not set.
    """
    settings = context.settings
    return ConfigurationClient(
        make_store_client(settings), timeout=settings.store_timeout
    )


def parse_flag(name: str, value: object) -> bool:
    """Parses a boolean flag.

    Args:
        name: Name of the flag.
        value: Value of the flag, or its text on the command line.

    Returns:
        Whether the flag is set.

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
    """Generates the id of a change, which stays the same on all retries.

    Example:
        >>> len(make_change_id())
        16
    """
    return ChangeId(secrets.token_hex(CHANGE_ID_BYTES))


async def wait_and_report_change(
    context: CommandContext,
    result: SubmitResult,
    *,
    description: str,
    data: dict[str, Any] | None = None,
    lines: Sequence[str] = (),
) -> None:
    """Waits until a change is in effect, or until a timeout, and prints its result.

    It does not wait if the settings name no entries.

    Args:
        context: Context of the command.
        result: Result of submitting the change.
        description: Description of the change, for operators.
        data: Additional fields of the JSON object.
        lines: Additional lines of text, which are printed first.

    Raises:
        CommandExit: The change is not yet in effect on every entry.
    """
    entries = context.settings.list_entries()
    status = PropagationStatus()
    if entries:
        status = await wait_until_propagated(
            entries, result, timeout=context.settings.wait_timeout
        )
    state = "accepted" if result.changed else "no change needed"
    output_lines = [*lines, f"{description}: {state}, revision {result.revision}"]
    output_lines.append(_describe_propagation(status))
    context.print_result(
        (data or {})
        | {
            "changed": result.changed,
            "revision": result.revision,
            "offset": result.offset,
            "in_force": asdict(status),
        },
        output_lines,
    )
    if status.behind:
        raise CommandExit(ExitCode.NOT_IN_FORCE)


def _describe_propagation(status: PropagationStatus) -> str:
    if not status.asked:
        return "not checked whether it is in effect: no entries are set (see --entries)"
    if not status.behind:
        return f"in effect on all entries after {status.waited:.1f} s"
    names = ", ".join(status.behind)
    return f"not yet in effect on {len(status.behind)}: {names}"
