"""Implements the read-only commands ``status``, ``explain`` and ``usage``."""

import asyncio
from typing import Any
from urllib.parse import quote

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.clock import read_boottime
from buckthornstile.commands._clients import fetch_json, make_store_client
from buckthornstile.commands._context import (
    CommandContext,
    CommandExit,
    make_context,
    parse_flag,
)
from buckthornstile.commands._event_search import (
    find_related_events,
    format_event,
    get_event_time,
    read_events,
)
from buckthornstile.commands._exit_codes import ExitCode
from buckthornstile.duties import (
    DUTY_TOPIC,
    DutyState,
    SealRecord,
    decode_duty_record,
)
from buckthornstile.platform import OffsetOutOfRangeError, StoreClient

QUERY_TIMEOUT_S = 5.0
"""Timeout of a request to an entry, in seconds."""


def show_status(*, json: object = False, **flags: object) -> None:
    """Shows the status that each entry given in ``--entries`` reports.

    Args:
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    _show_responses(make_context(flags, json), "/v1/status")


def explain(
    subject: str = "",
    *,
    logs: object = "",
    context: object = False,
    json: object = False,
    **flags: object,
) -> None:
    """Shows the events of a request, job, item, upstream or lot.

    Reads event lines from log files, or fetches the latest ones from each entry given
    in ``--entries``.

    Args:
        subject: An id or, without ``--logs``, the start of an event's name, such as
            ``lease``; all events if left out.
        logs: Paths of log files with event lines, separated by commas; ``-`` is
            standard input.
        context: Also show the events of the store, the lease and the configuration in
            each process that handled the subject, from 10 s before the first event of
            the subject in that process to the last. Only with ``--logs``.
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    command_context = make_context(flags, json)
    if logs:
        lines = list(read_events(str(logs).split(",")))
        _show_events(
            command_context, lines, subject, parse_flag("context", context), {}
        )
        return
    query = f"?subject={quote(subject)}" if subject else ""
    responses, errors = _query_entries(command_context, f"/v1/explain{query}")
    lines = [line for response in responses.values() for line in response["lines"]]
    _show_events(command_context, lines, "", False, errors)


def show_usage(*, json: object = False, **flags: object) -> None:
    """Shows the usage windows in the store and whether each is reported.

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
        state = "reported" if window["reported"] else "not yet reported"
        lines.append(f"window {window['window']}: {state}")
        counts = window["counts"]
        assert isinstance(counts, dict)
        lines += [f"  {account}: {count}" for account, count in sorted(counts.items())]
    context.print_result(
        {"windows": windows}, lines or ["the store holds no sealed windows"]
    )


async def _read_seals(store: StoreClient) -> dict[int, SealRecord]:
    state = DutyState(read_boottime)
    next_offset = 0
    while True:
        try:
            data = await store.read(DUTY_TOPIC, 0, next_offset)
        except OffsetOutOfRangeError as error:
            next_offset = error.first_offset
            continue
        for offset, record in data.records:
            state.apply(offset, decode_duty_record(record))
        next_offset = data.next_offset
        if next_offset >= data.end_offset:
            return state.seals


def _show_events(
    context: CommandContext,
    lines: list[dict[str, Any]],
    subject: str,
    with_context: bool,
    errors: dict[str, str],
) -> None:
    """Shows events in order of time."""
    sorted_lines = sorted(lines, key=get_event_time)
    selected = sorted_lines
    if subject:
        selected = find_related_events(sorted_lines, subject, with_context=with_context)
    if not selected and not errors:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID, f"no event matches {subject!r}"
        )
    start_time = get_event_time(selected[0]) if selected else 0.0
    shown = [format_event(line, start_time) for line in selected]
    shown += [f"request to {url} failed: {reason}" for url, reason in errors.items()]
    context.print_result({"events": selected, "errors": errors}, shown)
    if errors:
        raise CommandExit(ExitCode.PLATFORM_UNAVAILABLE)


def _query_entries(
    context: CommandContext, path: str
) -> tuple[dict[str, Any], dict[str, str]]:
    entries = context.settings.list_entries()
    if not entries:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "entries is not set; set --entries or BUCKTHORNSTILE_ENTRIES",
        )
    return asyncio.run(_fetch_all(entries, path))


def _show_responses(context: CommandContext, path: str) -> None:
    responses, errors = _query_entries(context, path)
    lines: list[str] = []
    for url in context.settings.list_entries():
        lines.append(url)
        if url in errors:
            lines.append(f"  request failed: {errors[url]}")
        else:
            lines += _format_value(responses[url], depth=1)
    context.print_result({"entries": responses, "errors": errors}, lines)
    if errors:
        raise CommandExit(ExitCode.PLATFORM_UNAVAILABLE)


async def _fetch_all(
    entries: tuple[str, ...], path: str
) -> tuple[dict[str, Any], dict[str, str]]:
    results = await asyncio.gather(
        *(fetch_json(url + path, QUERY_TIMEOUT_S) for url in entries),
        return_exceptions=True,
    )
    responses: dict[str, Any] = {}
    errors: dict[str, str] = {}
    for url, response in zip(entries, results, strict=True):
        if isinstance(response, BuckthornstileError):
            errors[url] = response.message
        elif isinstance(response, BaseException):
            raise response
        else:
            responses[url] = response
    return responses, errors


def _format_value(value: object, *, depth: int) -> list[str]:
    indent = "  " * depth
    if isinstance(value, dict):
        lines = []
        for name, inner in value.items():
            if isinstance(inner, dict | list) and inner:
                lines += [f"{indent}{name}:", *_format_value(inner, depth=depth + 1)]
            else:
                lines.append(f"{indent}{name}: {_format_scalar(inner)}")
        return lines
    if isinstance(value, list):
        return [f"{indent}- {_format_list_item(item)}" for item in value]
    return [f"{indent}{_format_scalar(value)}"]


def _format_list_item(item: object) -> str:
    return _describe_fields(item) if isinstance(item, dict) else _format_scalar(item)


def _describe_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={_format_scalar(value)}" for name, value in fields.items())


def _format_scalar(value: object) -> str:
    return "none" if value in (None, [], {}) else str(value)
