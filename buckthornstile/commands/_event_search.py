"""Reads event lines from logs and finds those that are related to an id."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from buckthornstile.base import BuckthornstileError, ErrorCode

ID_FIELDS = ("request", "job", "item", "items", "upstream")
"""Fields of an event line that hold one id, or several separated by commas."""

CONTEXT_SECONDS = 10.0
"""Time before the first event of an id from which context is shown, in seconds."""

OMITTED_FIELDS = ("time", "process", "event")
"""Fields that are not repeated in the list of an event's fields."""


def read_events(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Reads event lines from files and skips all other lines.

    An event line may have a prefix, such as a time and the name of a process.
    """
    for path in paths:
        if path == "-":
            yield from _parse_events(sys.stdin)
            continue
        try:
            with Path(path).open(errors="replace") as stream:
                yield from _parse_events(stream)
        except OSError as error:
            raise BuckthornstileError(
                ErrorCode.SETTING_INVALID,
                f"cannot read log file {path!r}: {error.strerror}",
            ) from error


def find_related_events(
    lines: list[dict[str, Any]], subject: str, *, with_context: bool = False
) -> list[dict[str, Any]]:
    """Returns the event lines that hold an id, optionally with their context.

    The context of a process is the lines that it logged from ``CONTEXT_SECONDS`` before
    its first event of the id to its last, and that have no id of a request, job or
    item, such as lines about the store, the lease and the configuration.

    Example:
        >>> lines = [{"time": "1", "event": "a", "job": "j1", "process": "e1"}]
        >>> [line["event"] for line in find_related_events(lines, "j1")]
        ['a']
    """
    matches = [line for line in lines if _has_id(line, subject)]
    if not matches or not with_context:
        return matches
    spans: dict[str, tuple[float, float]] = {}
    for line in matches:
        event_time, process = get_event_time(line), str(line.get("process"))
        first, last = spans.get(process, (event_time, event_time))
        spans[process] = (min(first, event_time), max(last, event_time))
    return [
        line
        for line in lines
        if _has_id(line, subject)
        or (_is_context_event(line) and _is_in_time_span(line, spans))
    ]


def _parse_events(stream: Iterable[str]) -> Iterator[dict[str, Any]]:
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line


def _has_id(line: dict[str, Any], subject: str) -> bool:
    return any(
        subject in str(line[field]).split(",") for field in ID_FIELDS if field in line
    )


def _is_context_event(line: dict[str, Any]) -> bool:
    return not any(field in line for field in ID_FIELDS if field != "upstream")


def _is_in_time_span(
    line: dict[str, Any], spans: dict[str, tuple[float, float]]
) -> bool:
    first, last = spans.get(str(line.get("process")), (1.0, 0.0))
    return first - CONTEXT_SECONDS <= get_event_time(line) <= last


def get_event_time(line: dict[str, Any]) -> float:
    """Returns the time of an event, in seconds since the epoch; 0 if it is invalid."""
    try:
        return float(line["time"])
    except (TypeError, ValueError):
        return 0.0


def format_event(line: dict[str, Any], start_time: float) -> str:
    """Formats an event as text, with its time in seconds after a start time."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in OMITTED_FIELDS
    )
    elapsed = get_event_time(line) - start_time
    return f"+{elapsed:8.3f} s {line.get('process')} {line['event']}: {fields}"
