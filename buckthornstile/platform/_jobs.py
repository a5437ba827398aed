"""Batch jobs as clients send and read them."""

import base64
import json
from collections.abc import Sequence

from buckthornstile.base import AccountId, BuckthornstileError, ErrorCode
from buckthornstile.jobs import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ScoreCall,
)
from buckthornstile.platform._protocol_names import (
    CONNECTION_HEADERS,
    EXPECTED_TOKENS,
    OWN_HEADERS,
)
from buckthornstile.topology import ModelName, Route

MAX_ID_LENGTH = 64
MAX_RESULT_BYTES = 1_000_000
NOT_FORWARDED = CONNECTION_HEADERS | OWN_HEADERS | {"host", "request-id"}


def decode_job(
    job_id: str, body: bytes, *, account: AccountId, route: Route, submitted_at: float
) -> JobSpecification:
    """Decodes and checks a submitted batch job.

    Raises:
        BuckthornstileError: It is malformed; the message names the field.
    """
    if not _is_id(job_id):
        raise _make_error(f"the job's id has {len(job_id)} characters or holds a slash")
    try:
        data = json.loads(body)
        items = tuple(_decode_item(one, route) for one in data["items"])
        model = data.get("model")
        specification = JobSpecification(
            id=JobId(job_id),
            account=account,
            host=route.host,
            path_prefix=route.path_prefix,
            submitted_at=submitted_at,
            items=items,
            model=ModelName(model) if model else None,
            minimum_version=int(data.get("minVersion") or 0),
            # The name says "count"; it counts whole groups, not items.
            wanted_groups=int(data.get("desiredCount") or 0),
            step=int(data.get("step", -1)),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise _make_error(f"{type(error).__name__}: {error}") from error
    if len({item.id for item in items}) != len(items):
        raise _make_error("two items have the same id")
    return specification


def _decode_item(data: dict, route: Route) -> JobItem:
    name = data["id"]
    if not _is_id(name):
        raise ValueError(f"item id {str(name)[:MAX_ID_LENGTH]!r} is not allowed")
    if not data["path"].startswith(route.path_prefix):
        raise ValueError(f"item {name!r} has a path outside its route")
    headers = tuple(
        (header, str(value))
        for header, value in (data.get("headers") or {}).items()
        if header.lower() not in NOT_FORWARDED
    )
    scorer = data.get("scorer")
    call = None
    if scorer:
        call = ScoreCall(
            scorer["id"],
            scorer["hostname"].lower(),
            scorer["path"],
            base64.b64decode(scorer.get("body") or "", validate=True),
        )
    return JobItem(
        id=ItemId(name),
        path=data["path"],
        headers=headers,
        body=base64.b64decode(data.get("body") or "", validate=True),
        tokens=int(data.get("tokens") or 0),
        group=str(data.get("group") or ""),
        score_call=call,
        expected_tokens=_read_expected_tokens(headers),
    )


def encode_results(results: Sequence[ItemResult], total: int, start: int) -> bytes:
    """Renders a job's results from a position on, bounded in bytes."""
    rendered: list[dict[str, object]] = []
    room = MAX_RESULT_BYTES
    for result in results[start:]:
        room -= len(result.text.encode()) + 300
        if rendered and room < 0:
            break
        one: dict[str, object] = {
            "id": result.item,
            "state": result.state.value,
            "text": result.text,
        }
        if result.versions:
            one["versions"] = list(result.versions)
        if result.score:
            one["score"] = result.score
        rendered.append(one)
    # The name says "token"; it is the next position.
    data = {"total": total, "results": rendered, "nextToken": start + len(rendered)}
    return json.dumps(data).encode()


def _read_expected_tokens(headers: Sequence[tuple[str, str]]) -> int:
    for name, value in headers:
        if name.lower() == EXPECTED_TOKENS.lower() and value.isdigit():
            return int(value)
    return 0


def _is_id(value: object) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_ID_LENGTH
        and value.isprintable()
        and "/" not in value
    )


def _make_error(message: str) -> BuckthornstileError:
    return BuckthornstileError(ErrorCode.LOT_INVALID, f"batch job: {message}")
