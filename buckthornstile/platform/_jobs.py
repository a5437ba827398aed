"""Decodes the batch jobs that clients submit, and encodes the results they read."""

import base64
import json
from collections.abc import Sequence

from buckthornstile.base import (
    AccountId,
    BuckthornstileError,
    ErrorCode,
    parse_integer,
    parse_json,
)
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
    EXPECTED_TOKENS_HEADER,
    INTERNAL_HEADERS,
)
from buckthornstile.topology import ModelName, Route

MAX_ID_LENGTH = 64
MAX_RESULT_BYTES = 1_000_000
"""Maximum size of the results in one response, in bytes. A larger result is sent
alone."""
UNFORWARDED_HEADERS = CONNECTION_HEADERS | INTERNAL_HEADERS | {"host", "request-id"}


def decode_job(
    job_id: str,
    body: bytes,
    *,
    account: AccountId,
    route: Route,
    submitted_at: float,
    configuration_version: int = 0,
) -> JobSpecification:
    """Decodes and checks a submitted batch job.

    Raises:
        BuckthornstileError: The job is malformed; the message says what is wrong.
    """
    if not _is_valid_id(job_id):
        raise _make_error(
            f"the job's id is empty, too long ({len(job_id)} characters), not "
            "printable or contains a slash"
        )
    try:
        data = parse_json(body)
        items = _decode_items(data["items"], route)
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
            # Despite its name, "desiredCount" counts whole groups, not items.
            wanted_groups=int(data.get("desiredCount") or 0),
            step=int(data.get("step", -1)),
            configuration_version=configuration_version,
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise _make_error(f"{type(error).__name__}: {error}") from error
    if len({item.id for item in items}) != len(items):
        raise _make_error("two items have the same id")
    return specification


def _decode_items(encoded: list, route: Route) -> tuple[JobItem, ...]:
    """Decodes the items, and drops the encoded form of each for which this is done."""
    encoded.reverse()
    items = []
    while encoded:
        items.append(_decode_item(encoded.pop(), route))
    return tuple(items)


def _decode_item(data: dict, route: Route) -> JobItem:
    name = data["id"]
    if not _is_valid_id(name):
        raise ValueError(
            f"item id {str(name)[:MAX_ID_LENGTH]!r} is empty, too long, not "
            "printable or contains a slash"
        )
    if not data["path"].startswith(route.path_prefix):
        raise ValueError(f"the path of item {name!r} is outside the job's route")
    headers = tuple(
        (header, str(value))
        for header, value in (data.get("headers") or {}).items()
        if header.lower() not in UNFORWARDED_HEADERS
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
        expected_tokens=_parse_expected_tokens(headers),
    )


def encode_results(
    results: Sequence[ItemResult], total: int, first_index: int
) -> bytes:
    """Encodes a page of a job's results.

    Args:
        results: All results so far, in the order in which clients read them.
        total: Number of items of the job.
        first_index: Index of the page's first result.

    Returns:
        The page as JSON, with the index of the next page's first result.
    """
    encoded: list[dict[str, object]] = []
    remaining_bytes = MAX_RESULT_BYTES
    for result in results[first_index:]:
        # 300 bytes are allowed for the other fields of a result.
        remaining_bytes -= len(result.text.encode()) + 300
        if encoded and remaining_bytes < 0:
            break
        encoded_result: dict[str, object] = {
            "id": result.item,
            "state": result.state.value,
            "text": result.text,
        }
        if result.versions:
            encoded_result["versions"] = list(result.versions)
        if result.score:
            encoded_result["score"] = result.score
        encoded.append(encoded_result)
    # Despite its name, "nextToken" is an index: that of the next page's first result.
    data = {"total": total, "results": encoded, "nextToken": first_index + len(encoded)}
    return json.dumps(data).encode()


def _parse_expected_tokens(headers: Sequence[tuple[str, str]]) -> int:
    for name, value in headers:
        if name.lower() == EXPECTED_TOKENS_HEADER.lower():
            return parse_integer(value) or 0
    return 0


def _is_valid_id(value: object) -> bool:
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_ID_LENGTH
        and value.isprintable()
        and "/" not in value
    )


def _make_error(message: str) -> BuckthornstileError:
    return BuckthornstileError(ErrorCode.LOT_INVALID, f"batch job: {message}")
