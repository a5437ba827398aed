"""Exit codes by class of error."""

from enum import IntEnum

from buckthornstile.base import ErrorCode


class ExitCode(IntEnum):
    """How a command ended.

    ``OK``: done, or nothing to do. ``INTERNAL``: a fault of the program.
    ``BAD_INPUT``: flags, settings, sheet or names. ``CONFLICT``: another operator
    was first. ``PLATFORM_UNAVAILABLE``: the platform or an entry gave no answer; a
    change may have taken effect. ``NOT_IN_FORCE``: accepted, but not yet in force
    on every process that was asked. ``REFUSED``: needs an explicit flag.
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
    """Gives the exit code for an error's code.

    Args:
        code: The error's code.

    Returns:
        The exit code; ``INTERNAL`` for codes that no command is meant to end with.

    Example:
        >>> int(get_exit_code(ErrorCode.CONFIGURATION_CONFLICT))
        3
    """
    return _EXIT_CODES.get(code, ExitCode.INTERNAL)
