"""Exit codes of the commands and their mapping from error codes."""

from enum import IntEnum

from buckthornstile.base import ErrorCode


class ExitCode(IntEnum):
    """Exit code of a command.

    - ``OK``: The command succeeded, or there was nothing to do.
    - ``INTERNAL``: The program has a fault, or the command was interrupted.
    - ``BAD_INPUT``: A flag, a setting, the sheet or a name is invalid.
    - ``CONFLICT``: Another operator's change was accepted first.
    - ``PLATFORM_UNAVAILABLE``: The platform or an entry did not respond; a change may
      have taken effect.
    - ``NOT_IN_FORCE``: The change is accepted, but it is not yet in effect on every
      entry that was queried.
    - ``REFUSED``: The change requires an explicit flag.
    """

    OK = 0
    INTERNAL = 1
    BAD_INPUT = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    NOT_IN_FORCE = 5
    REFUSED = 6


_EXIT_CODES = {
    ErrorCode.SETTING_INVALID: ExitCode.BAD_INPUT,
    ErrorCode.SHEET_INVALID: ExitCode.BAD_INPUT,
    ErrorCode.CONFIGURATION_INVALID: ExitCode.BAD_INPUT,
    ErrorCode.CONFIGURATION_CONFLICT: ExitCode.CONFLICT,
    ErrorCode.CONFIGURATION_MISSING: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.PLATFORM_UNAVAILABLE: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.CONNECTION_LOST: ExitCode.PLATFORM_UNAVAILABLE,
    ErrorCode.REMOVAL_TOO_LARGE: ExitCode.REFUSED,
}


def get_exit_code(code: ErrorCode) -> ExitCode:
    """Returns the exit code for an error code.

    Args:
        code: Code of the error.

    Returns:
        The exit code; ``INTERNAL`` for error codes that no command is expected to
        raise.

    Example:
        >>> int(get_exit_code(ErrorCode.CONFIGURATION_CONFLICT))
        3
    """
    return _EXIT_CODES.get(code, ExitCode.INTERNAL)
