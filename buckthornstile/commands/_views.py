"""The commands ``status``, ``explain`` and ``usage``, which only read."""

import asyncio
from typing import Any
from urllib.parse import quote

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.commands._context import CommandEnd, Context, make_context
from buckthornstile.commands._exit import ExitCode
from buckthornstile.commands._log_reader import LogReader
from buckthornstile.commands._ports import fetch_json, make_log_port
from buckthornstile.records import UsageSeal

FETCH_TIMEOUT = 5.0
"""Time to wait for an entry's answer, in seconds."""


def show_status(*, json: object = False, **flags: object) -> None:
    """Shows what each entry given in ``--entries`` knows of the deployment.

    Args:
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    _show_answers(make_context(flags, json), "/v1/status")


def explain(subject: str = "", *, json: object = False, **flags: object) -> None:
    """Shows the decisions of each entry given in ``--entries``, and why.

    Args:
        subject: A process, upstream, lot or code, or a code's first part, such as
            ``load``; all if left out.
        json: Print one JSON object.
        **flags: Settings: entries.
    """
    query = f"?subject={quote(subject)}" if subject else ""
    _show_answers(make_context(flags, json), f"/v1/explain{query}")


def show_usage(*, json: object = False, **flags: object) -> None:
    """Shows the usage windows that the log still holds, and which are reported.

    Args:
        json: Print one JSON object.
        **flags: Settings: platform_url, platform_timeout.
    """
    context = make_context(flags, json)
    reader = LogReader(make_log_port(context.settings))
    asyncio.run(reader.read_to_end())
    seals: dict[int, UsageSeal] = {}
    for seal in reader.seals:
        seals.setdefault(seal.window, seal)
    reported = {record.window for record in reader.reported}
    windows = [
        seal.model_dump(mode="json") | {"reported": window in reported}
        for window, seal in sorted(seals.items())
    ]
    lines: list[str] = []
    for window in windows:
        state = "reported" if window["reported"] else "not reported yet"
        lines.append(f"window {window['window']} of {window['duration']} s: {state}")
        lines += [f"  {_describe_fields(line)}" for line in window["lines"]]
    context.show({"windows": windows}, lines or ["the log holds no sealed window"])


def _show_answers(context: Context, path: str) -> None:
    entries = context.settings.list_entries()
    if not entries:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            "entries is not set; give --entries or BUCKTHORNSTILE_ENTRIES",
        )
    answers, errors = asyncio.run(_fetch_all(entries, path))
    lines: list[str] = []
    for url in entries:
        lines.append(url)
        if url in errors:
            lines.append(f"  no answer: {errors[url]}")
        else:
            lines += _render(answers[url], depth=1)
    context.show({"entries": answers, "errors": errors}, lines)
    if errors:
        raise CommandEnd(ExitCode.PLATFORM_UNAVAILABLE)


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
