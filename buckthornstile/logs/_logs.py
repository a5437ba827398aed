"""Set-up of logbook and the one function that writes a line."""

import json
import re
import sys
from enum import Enum
from typing import TextIO

import logbook

from buckthornstile.base import ErrorCode, ProcessName
from buckthornstile.settings import LogFormat

HIDDEN = "(hidden)"
MAX_TEXT_LENGTH = 2000
KEY_PATTERN = re.compile(r"(bk_|[Bb]earer\s+)[A-Za-z0-9_\-.~+/=]{8,}")
LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
_LOGGER = logbook.Logger("buckthornstile")


class _LineHandler(logbook.StreamHandler):
    """Writes lines and never lets a broken stream stop the process."""

    def emit(self, record: logbook.LogRecord) -> None:
        try:
            super().emit(record)
        except (OSError, ValueError):
            # A closed or full stream: the counters still tell what happened.
            return


def set_up_logs(
    log_format: LogFormat,
    *,
    process: ProcessName,
    level: str = "info",
    stream: TextIO | None = None,
) -> logbook.Handler:
    """Sets up the process's log lines.

    Args:
        log_format: Human or JSON lines.
        process: The name that each line carries.
        level: The least level that is written.
        stream: Where to write, or None for stderr.

    Returns:
        The handler, which is in force until its ``pop_application()``.

    Example:
        >>> import sys
        >>> handler = set_up_logs(LogFormat.HUMAN, process="e1", stream=sys.stdout)
        >>> log_change("lease.taken", "holds the lease", term=4)  # doctest: +ELLIPSIS
        20... info e1 lease.taken: holds the lease term=4
        >>> handler.pop_application()
    """
    handler = _LineHandler(
        stream if stream is not None else sys.stderr, level=LEVELS[level]
    )
    render = _render_json if log_format is LogFormat.JSON else _render_human

    def format_record(record: logbook.LogRecord, _: logbook.Handler) -> str:
        return render(record, process)

    handler.formatter = format_record
    handler.push_application()
    return handler


def log_change(
    code: ErrorCode | str, message: str, *, level: str = "info", **fields: object
) -> None:
    """Writes one line about a change of state.

    Args:
        code: What changed, as a stable code.
        message: One sentence for a person.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        **fields: What it concerns, such as ``request_id`` or ``lot``.

    Example:
        >>> log_change(ErrorCode.QUEUE_FULL, "sheds load", level="debug")
    """
    text = code.value if isinstance(code, ErrorCode) else code
    extra = {"code": text, "fields": fields}
    _LOGGER.log(LEVELS[level], "{}", message, extra=extra)


def hide_keys(text: str) -> str:
    """Hides whatever looks like a key.

    Args:
        text: Any text.

    Returns:
        The text with each key replaced, and cut to a bounded length.

    Example:
        >>> hide_keys("got bk_0123456789abcdef from 127.0.0.9")
        'got (hidden) from 127.0.0.9'
    """
    return KEY_PATTERN.sub(HIDDEN, text[:MAX_TEXT_LENGTH])


def _read_fields(record: logbook.LogRecord) -> dict[str, str]:
    fields = record.extra["fields"] or {}
    return {name: hide_keys(_show(value)) for name, value in fields.items()}


def _show(value: object) -> str:
    return str(value.value) if isinstance(value, Enum) else str(value)


def _render_json(record: logbook.LogRecord, process: ProcessName) -> str:
    # The line's own fields come last, so that no other field can replace them.
    line = _read_fields(record) | {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "process": process,
        "code": str(record.extra["code"] or "log"),
        "message": hide_keys(record.message),
    }
    return json.dumps(line, ensure_ascii=False)


def _render_human(record: logbook.LogRecord, process: ProcessName) -> str:
    time = record.time.isoformat(sep=" ", timespec="milliseconds")
    code = record.extra["code"] or "log"
    fields = "".join(f" {name}={text}" for name, text in _read_fields(record).items())
    line = f"{time} {record.level_name.lower()} {process} {code}: "
    text = line + hide_keys(record.message) + fields
    return text.replace("\r", r"\r").replace("\n", r"\n")
