"""What event lines tell of one id."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from buckthornstile.base import BuckthornstileError, ErrorCode

NAMING_FIELDS = ("request", "job", "item", "items", "upstream")
CONTEXT_SECONDS = 10.0
"""Seconds before an id's first line in which a process's beliefs may explain it."""
HIDDEN_FIELDS = ("time", "process", "event")


def read_events(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Reads event lines; other lines are passed over.

    A line may stand behind a prefix, such as a time and a process's name.
    """
    for path in paths:
        if path == "-":
            yield from _parse(sys.stdin)
            continue
        try:
            with Path(path).open(errors="replace") as stream:
                yield from _parse(stream)
        except OSError as error:
            raise BuckthornstileError(
                ErrorCode.SETTING_INVALID, f"logs {path!r}: {error.strerror}"
            ) from error


def find_related_events(
    lines: list[dict[str, Any]], subject: str, *, with_context: bool = False
) -> list[dict[str, Any]]:
    """Finds the lines that name an id, and if asked those around them.

    Example:
        >>> lines = [{"time": "1", "event": "a", "job": "j1", "process": "e1"}]
        >>> [line["event"] for line in find_related_events(lines, "j1")]
        ['a']
    """
    named = [line for line in lines if _names(line, subject)]
    if not named or not with_context:
        return named
    spans: dict[str, tuple[float, float]] = {}
    for line in named:
        at, process = get_time(line), str(line.get("process"))
        first, last = spans.get(process, (at, at))
        spans[process] = (min(first, at), max(last, at))
    return [
        line
        for line in lines
        if _names(line, subject) or (_is_belief(line) and _is_within(line, spans))
    ]


def _parse(stream: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in stream:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            line = json.loads(text[begin:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line


def _names(line: dict[str, Any], subject: str) -> bool:
    return any(
        subject in str(line[field]).split(",")
        for field in NAMING_FIELDS
        if field in line
    )


def _is_belief(line: dict[str, Any]) -> bool:
    return not any(field in line for field in NAMING_FIELDS if field != "upstream")


def _is_within(line: dict[str, Any], spans: dict[str, tuple[float, float]]) -> bool:
    first, last = spans.get(str(line.get("process")), (1.0, 0.0))
    return first - CONTEXT_SECONDS <= get_time(line) <= last


def get_time(line: dict[str, Any]) -> float:
    """Reads an event line's time, in seconds since the epoch."""
    try:
        return float(line["time"])
    except (TypeError, ValueError):
        return 0.0


def render_line(line: dict[str, Any], start: float) -> str:
    """Renders an event line, with the seconds since a start."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in HIDDEN_FIELDS
    )
    after = get_time(line) - start
    return f"+{after:8.3f} s {line.get('process')} {line['event']}: {fields}"
