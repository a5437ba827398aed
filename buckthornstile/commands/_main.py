"""Finds the command, lets fire bind its words, runs it, and gives the exit code.

Left to itself, fire runs a function before it complains of words that it could not
use, and pages its help through another program. Here it only binds the words; the
command runs once all of them are used, and help is printed plainly.
"""

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

NAME = "buckthornstile"
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
    """Runs one command.

    Args:
        arguments: The words of the command line, or None for the process's own.

    Returns:
        The exit code; see :class:`ExitCode`.

    Example:
        >>> main(["settings", "check", "operator", "--json"])
        {"ok": true, "settings": {...}, "unknown_variables": []}
        0
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    name = find_command(words)
    if name is None:
        return _show_commands(words)
    rest = words[len(name.split()) :]
    if any(word in HELP_FLAGS for word in rest):
        print(_render_help(name))
        return int(ExitCode.OK)
    return int(_run_command(name, rest))


def _run_command(name: str, words: Sequence[str]) -> ExitCode:
    as_json = any(word.startswith("--json") for word in words)
    try:
        _bind_words(name, words)()
    except BuckthornstileError as error:
        _show_error(error, as_json=as_json)
        return get_exit_code(error.code)
    except CommandExit as end:
        return end.exit_code
    except KeyboardInterrupt:
        return ExitCode.INTERNAL
    return ExitCode.OK


def _bind_words(name: str, words: Sequence[str]) -> Callable[[], None]:
    """Binds words to a command's parameters, all as texts."""
    command = COMMANDS[name]
    bound: list[Callable[[], None]] = []

    @functools.wraps(command)
    def record(*values: str, **flags: str) -> None:
        bound.append(functools.partial(command, *values, **flags))

    # Fire would read "007" as a number.
    parsing = SetParseFn(str)(record)
    complaint = io.StringIO()
    try:
        with contextlib.redirect_stderr(complaint):
            fire.Fire(parsing, command=_prepare(words), name=f"{NAME} {name}")
    except SystemExit:
        bound.clear()
    if not bound:
        reason = complaint.getvalue().partition("\n")[0].removeprefix("ERROR: ")
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"{reason}\n{_render_usage(name)}"
        )
    return bound[0]


def find_command(words: Sequence[str]) -> str | None:
    """Finds the command that a command line begins with.

    Args:
        words: The words of the command line.

    Returns:
        The command's name, or None.

    Example:
        >>> find_command(["config", "plan", "sheet.csv"])
        'config plan'
    """
    for count in (2, 1):
        name = " ".join(words[:count])
        if len(words) >= count and name in COMMANDS:
            return name
    return None


def _prepare(words: Sequence[str]) -> list[str]:
    """Makes words safe for fire."""
    prepared = []
    for word in words:
        if word in ("-", "--"):
            raise BuckthornstileError(
                ErrorCode.SETTING_INVALID, f"the command does not take {word!r}"
            )
        flag = "--" + word[2:].replace("-", "_") if word.startswith("--") else word
        # Without a value of its own the flag would take the next word as one.
        prepared.append(f"{flag}=True" if flag in BOOLEAN_FLAGS else word)
    return prepared


def _render_usage(name: str) -> str:
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
    return " ".join(["usage:", NAME, name, *words])


def _render_help(name: str) -> str:
    text = inspect.getdoc(COMMANDS[name]) or ""
    return f"{_render_usage(name)}\n\n{text.replace('**flags: ', '')}"


def _show_commands(words: Sequence[str]) -> int:
    names = [word for word in words if word not in HELP_FLAGS]
    group = names[0] if names else ""
    listed = [name for name in COMMANDS if name.split()[0] == group] or list(COMMANDS)
    is_known = not names or (len(names) == 1 and group in listed[0].split())
    stream = sys.stdout if is_known else sys.stderr
    if not is_known:
        print(f"{' '.join(names[:2])!r} is no command", file=stream)
    for name in listed:
        summary = (COMMANDS[name].__doc__ or "").splitlines()[0]
        print(f"{NAME} {name:18} {summary}", file=stream)
    asked_help = len(names) < len(words) or not words
    is_fine = is_known and asked_help
    return int(ExitCode.OK if is_fine else ExitCode.BAD_INPUT)


def _show_error(error: BuckthornstileError, *, as_json: bool) -> None:
    message = redact_keys(error.message)
    if as_json:
        print(json.dumps({"ok": False, "code": error.code.value, "message": message}))
    else:
        print(f"{error.code.value}: {message}", file=sys.stderr)
