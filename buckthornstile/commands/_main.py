"""Runs the command that the command line names and returns its exit code.

By default, fire runs a function before it reports arguments that it could not use,
and shows help through a pager. Here fire only binds the arguments: the command runs
after fire has used all of them, and help is printed directly.
"""

import asyncio
import contextlib
import functools
import inspect
import io
import json
import sys
from collections.abc import Callable, Sequence

import fire
from fire.decorators import SetParseFn

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._config import (
    apply_sheet,
    show_configuration,
    show_history,
    show_plan,
)
from buckthornstile.commands._context import CommandExit
from buckthornstile.commands._exit_codes import ExitCode, get_exit_code
from buckthornstile.commands._keys import add_key, drain, restore, withdraw_key
from buckthornstile.commands._processes import (
    check_settings,
    document_settings,
    run_entry,
    run_platform_entry,
)
from buckthornstile.commands._queries import explain, show_status, show_usage
from buckthornstile.logs import redact_keys

PROGRAM_NAME = "buckthornstile"
HELP_FLAGS = ("-h", "--help")
BOOLEAN_FLAGS = ("--json", "--allow_removal", "--context")

Command = Callable[..., None]
COMMANDS: dict[str, Command] = {
    "config plan": show_plan,
    "config apply": apply_sheet,
    "config show": show_configuration,
    "config history": show_history,
    "keys add": add_key,
    "keys withdraw": withdraw_key,
    "drain": drain,
    "restore": restore,
    "status": show_status,
    "explain": explain,
    "usage": show_usage,
    "settings check": check_settings,
    "settings document": document_settings,
    "entry": run_entry,
    "platform entry": run_platform_entry,
}


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command that the arguments name.

    Args:
        arguments: Arguments of the command line; those of the process if None.

    Returns:
        The exit code; see :class:`ExitCode`.

    Example:
        >>> main(["settings", "check", "operator", "--json"])
        {"ok": true, "settings": {...}, "unknown_variables": []}
        0
    """
    command_line = list(sys.argv[1:] if arguments is None else arguments)
    name = find_command(command_line)
    if name is None:
        return _show_commands(command_line)
    command_arguments = command_line[len(name.split()) :]
    if any(argument in HELP_FLAGS for argument in command_arguments):
        print(_format_help(name))
        return int(ExitCode.OK)
    return int(_run_command(name, command_arguments))


def _run_command(name: str, arguments: Sequence[str]) -> ExitCode:
    as_json = any(argument.startswith("--json") for argument in arguments)
    try:
        _bind_arguments(name, arguments)()
    except BuckthornstileError as error:
        _show_error(error, as_json=as_json)
        return get_exit_code(error.code)
    except CommandExit as command_exit:
        return command_exit.exit_code
    except (KeyboardInterrupt, asyncio.CancelledError):
        # asyncio.run raises the latter if the signal arrives while it starts.
        return ExitCode.INTERNAL
    return ExitCode.OK


def _bind_arguments(name: str, arguments: Sequence[str]) -> Callable[[], None]:
    """Binds command-line arguments to a command's parameters, all as strings."""
    command = COMMANDS[name]
    bound: list[Callable[[], None]] = []

    @functools.wraps(command)
    def bind(*values: str, **flags: str) -> None:
        bound.append(functools.partial(command, *values, **flags))

    # Without this, fire would parse "007" as a number.
    text_command = SetParseFn(str)(bind)
    fire_errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(fire_errors):
            fire.Fire(
                text_command,
                command=_prepare_arguments(arguments),
                name=f"{PROGRAM_NAME} {name}",
            )
    except SystemExit:
        bound.clear()
    if not bound:
        reason = fire_errors.getvalue().partition("\n")[0].removeprefix("ERROR: ")
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"{reason}\n{_format_usage(name)}"
        )
    return bound[0]


def find_command(arguments: Sequence[str]) -> str | None:
    """Returns the command whose name a command line starts with.

    Args:
        arguments: Arguments of the command line.

    Returns:
        The name of the command, or None if there is no such command.

    Example:
        >>> find_command(["config", "plan", "sheet.csv"])
        'config plan'
    """
    for count in (2, 1):
        name = " ".join(arguments[:count])
        if len(arguments) >= count and name in COMMANDS:
            return name
    return None


def _prepare_arguments(arguments: Sequence[str]) -> list[str]:
    """Prepares arguments for fire and rejects the separators of fire."""
    prepared = []
    for argument in arguments:
        if argument in ("-", "--"):
            raise BuckthornstileError(
                ErrorCode.SETTING_INVALID, f"argument {argument!r} is not allowed"
            )
        flag = (
            "--" + argument[2:].replace("-", "_")
            if argument.startswith("--")
            else argument
        )
        # Without an explicit value, fire would use the next argument as the value.
        prepared.append(f"{flag}=True" if flag in BOOLEAN_FLAGS else argument)
    return prepared


def _format_usage(name: str) -> str:
    parameters = inspect.signature(COMMANDS[name]).parameters.values()
    words = []
    for parameter in parameters:
        if parameter.kind is parameter.VAR_KEYWORD:
            words.append("[--SETTING=VALUE ...]")
        elif parameter.kind is parameter.KEYWORD_ONLY:
            flag = f"--{parameter.name}"
            value = "" if flag in BOOLEAN_FLAGS else "=VALUE"
            words.append(f"[{flag}{value}]")
        elif parameter.default is parameter.empty:
            words.append(parameter.name.upper())
        else:
            words.append(f"[{parameter.name.upper()}]")
    return " ".join(["usage:", PROGRAM_NAME, name, *words])


def _format_help(name: str) -> str:
    text = inspect.getdoc(COMMANDS[name]) or ""
    return f"{_format_usage(name)}\n\n{text.replace('**flags: ', '')}"


def _show_commands(arguments: Sequence[str]) -> int:
    names = [argument for argument in arguments if argument not in HELP_FLAGS]
    group = names[0] if names else ""
    listed = [name for name in COMMANDS if name.split()[0] == group] or list(COMMANDS)
    is_known = not names or (len(names) == 1 and group in listed[0].split())
    stream = sys.stdout if is_known else sys.stderr
    if not is_known:
        print(f"{' '.join(names[:2])!r} is not a command", file=stream)
    for name in listed:
        summary = (COMMANDS[name].__doc__ or "").splitlines()[0]
        print(f"{PROGRAM_NAME} {name:18} {summary}", file=stream)
    is_help_requested = len(names) < len(arguments) or not arguments
    is_success = is_known and is_help_requested
    return int(ExitCode.OK if is_success else ExitCode.BAD_INPUT)


def _show_error(error: BuckthornstileError, *, as_json: bool) -> None:
    message = redact_keys(error.message)
    if as_json:
        print(json.dumps({"ok": False, "code": error.code.value, "message": message}))
    else:
        print(f"{error.code.value}: {message}", file=sys.stderr)
