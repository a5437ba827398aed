"""The command line of daemons and operators."""

from buckthornstile.commands._exit import ExitCode, get_exit_code
from buckthornstile.commands._main import main
from buckthornstile.commands._submit import (
    ConfigurationReader,
    SubmitResult,
    submit_change,
)

__all__ = [
    "ConfigurationReader",
    "ExitCode",
    "SubmitResult",
    "get_exit_code",
    "main",
    "submit_change",
]
