"""Command-line interface for operators and for starting processes."""

from buckthornstile.commands._exit_codes import ExitCode, get_exit_code
from buckthornstile.commands._main import main
from buckthornstile.commands._submit import (
    ConfigurationClient,
    SubmitResult,
    submit_change,
)

__all__ = [
    "ConfigurationClient",
    "ExitCode",
    "SubmitResult",
    "get_exit_code",
    "main",
    "submit_change",
]
