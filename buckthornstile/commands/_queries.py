"""The commands ``status``, ``explain`` and ``usage``, which only read."""

import asyncio
from typing import Any
from urllib.parse import quote

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.clock import read_boottime
from buckthornstile.commands._clients import fetch_json, make_store_client
from buckthornstile.commands._context import (
    CommandExit,
    Context,
    make_context,
    parse_flag,
)
from buckthornstile.commands._event_search import (
    find_related_events,
    get_time,
    read_events,
    render_line,
)
from buckthornstile.commands._exit_codes import ExitCode
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyState,
    SealRecord,
    decode_duty_record,
)
from buckthornstile.platform import OffsetOutOfRangeError, StoreClient

FETCH_TIMEOUT = 5.0
"""Time to wait for an entry's answer, in seconds."""


def show_status(*, json: object = False, **flags: object) -> None:
    """Shows what each entry given in ``--entries`` knows of the deployment.

    Args:
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    _show_answers(make_context(flags, json), "/v1/status")


def explain(
    subject: str = "",
    *,
    logs: object = "",
    context: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Shows what was decided on a request, job, item, upstream or lot, and why.

    Reads event lines from files, or asks each entry given in ``--entries`` for its
    newest ones.

    Args:
        subject: An id, or an event's first words, such as ``lease``; all if left out.
        logs: Files of event lines, separated by commas; ``-`` is standard input.
        context: Also show what each process that handled it came to believe
            from 10 s before its first line on (store, lease, configuration).
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    command = make_context(flags, json)
    if logs:
        lines = list(read_events(str(logs).split(",")))
        _show_lines(command, lines, subject, parse_flag("context", context), {})
        return
    query = f"?subject={quote(subject)}" if subject else ""
    answers, errors = _ask_entries(command, f"/v1/explain{query}")
    lines = [line for answer in answers.values() for line in answer["lines"]]
    _show_lines(command, lines, "", False, errors)


def show_usage(*, json: object = False, **flags: object) -> None:
    """Shows the usage windows that the store still holds, and which are reported.

    Args:
        json: Print one JSON object.
        **flags: Settings: store_address, store_timeout.
    """
    context = make_context(flags, json)
    seals = asyncio.run(_read_seals(make_store_client(context.settings)))
    windows = [
        {
            "window": seal.window,
            "counts": dict(seal.counts),
            "reported": seal.is_reported,
        }
        for _, seal in sorted(seals.items())
    ]
    lines: list[str] = []
    for window in windows:
        state = "reported" if window["reported"] else "not reported yet"
        lines.append(f"window {window['window']}: {state}")
        counts = window["counts"]
        assert isinstance(counts, dict)
        lines += [f"  {account}: {count}" for account, count in sorted(counts.items())]
    context.show({"windows": windows}, lines or ["the store holds no sealed window"])


async def _read_seals(store: StoreClient) -> dict[int, SealRecord]:
    fold = DutyState(read_boottime)
    position = 0
    while True:
        try:
            data = await store.read(DUTY_TOPIC, 0, position)
        except OffsetOutOfRangeError as error:
            position = error.first_offset
            continue
        for offset, record in data.records:
            fold.apply(offset, decode_duty_record(record))
        position = data.next_offset
        if position >= data.end_offset:
            return fold.seals


def _show_lines(
    context: Context,
    lines: list[dict[str, Any]],
    subject: str,
    with_context: bool,
    errors: dict[str, str],
) -> None:
    """Shows event lines in order of time."""
    ordered = sorted(lines, key=get_time)
    chosen = ordered
    if subject:
        chosen = find_related_events(ordered, subject, with_context=with_context)
    if not chosen and not errors:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"no event line names {subject!r}"
        )
    start = get_time(chosen[0]) if chosen else 0.0
    shown = [render_line(line, start) for line in chosen]
    shown += [f"{url} gave no answer: {reason}" for url, reason in errors.items()]
    context.show({"events": chosen, "errors": errors}, shown)
    if errors:
        raise CommandExit(ExitCode.PLATFORM_UNAVAILABLE)


def _ask_entries(context: Context, path: str) -> tuple[dict[str, Any], dict[str, str]]:
    entries = context.settings.list_entries()
    if not entries:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "entries is not set; give --entries or BUCKTHORNSTILE_ENTRIES",
        )
    return asyncio.run(_fetch_all(entries, path))


def _show_answers(context: Context, path: str) -> None:
    answers, errors = _ask_entries(context, path)
    lines: list[str] = []
    for url in context.settings.list_entries():
        lines.append(url)
        if url in errors:
            lines.append(f"  no answer: {errors[url]}")
        else:
            lines += _render(answers[url], depth=1)
    context.show({"entries": answers, "errors": errors}, lines)
    if errors:
        raise CommandExit(ExitCode.PLATFORM_UNAVAILABLE)


async def _fetch_all(
    entries: tuple[str, ...], path: str
) -> tuple[dict[str, Any], dict[str, str]]:
    found = await asyncio.gather(
        *(fetch_json(url + path, FETCH_TIMEOUT) for url in entries),
        return_exceptions=True,
    )
    answers: dict[str, Any] = {}
    errors: dict[str, str] = {}
    for url, answer in zip(entries, found, strict=True):
        if isinstance(answer, BuckthornstileError):
            errors[url] = answer.message
        elif isinstance(answer, BaseException):
            raise answer
        else:
            answers[url] = answer
    return answers, errors


def _render(value: object, *, depth: int) -> list[str]:
    margin = "  " * depth
    if isinstance(value, dict):
        lines = []
        for name, inner in value.items():
            if isinstance(inner, dict | list) and inner:
                lines += [f"{margin}{name}:", *_render(inner, depth=depth + 1)]
            else:
                lines.append(f"{margin}{name}: {_render_plain(inner)}")
        return lines
    if isinstance(value, list):
        return [f"{margin}- {_render_row(row)}" for row in value]
    return [f"{margin}{_render_plain(value)}"]


def _render_row(row: object) -> str:
    return _describe_fields(row) if isinstance(row, dict) else _render_plain(row)


def _describe_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={_render_plain(value)}" for name, value in fields.items())


def _render_plain(value: object) -> str:
    return "none" if value in (None, [], {}) else str(value)
