"""Encoding of batch jobs as records of the store.

A key has the form ``kind/job/item/index.count``. A value that is too long for one
record is split into ``count`` chunks, which are appended in one call. Events that an
item has generated so far are appended as progress records, whose ``index`` is the
number of their first event.
"""

import json
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from buckthornstile.base import AccountId, KeyId, ProcessName, parse_json
from buckthornstile.jobs._types import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
    ScoreCall,
    VersionSpan,
)
from buckthornstile.messages import StreamEvent
from buckthornstile.topology import ModelName

SPECIFICATION, OWNER, RESULT, END, PROGRESS = "s", "o", "r", "e", "p"
KINDS = frozenset({SPECIFICATION, OWNER, RESULT, END, PROGRESS})
MAX_KEY_BYTES = 256
"""Bytes of a record that are reserved for its key."""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """Key and value of one record in the topic of batch jobs."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """The process that runs a batch job, and the epoch of its appends."""

    owner: ProcessName
    epoch: int


@dataclass(frozen=True, slots=True)
class RecordKey:
    """The parsed key of a record.

    ``chunk_index`` of a progress record is the number of its first event.
    """

    kind: str
    job: JobId
    item: ItemId | None
    chunk_index: int
    chunk_count: int


def parse_key(key: str) -> RecordKey:
    """Parses the key of a record.

    Raises:
        ValueError: The key is not the key of a batch job record.

    Example:
        >>> parse_key("r/j1/i1/0.1").item
        'i1'
    """
    parts = key.split("/")
    if len(parts) != 4 or parts[0] not in KINDS:
        raise ValueError(f"key {key!r} is not the key of a batch job record")
    index, _, count = parts[3].partition(".")
    item = ItemId(parts[2]) if parts[2] else None
    return RecordKey(parts[0], JobId(parts[1]), item, int(index), int(count))


def list_value_keys(key: str) -> list[str]:
    """Returns the keys of all chunks of the value to which a key belongs.

    Example:
        >>> list_value_keys("r/j1/i1/1.2")
        ['r/j1/i1/0.2', 'r/j1/i1/1.2']
    """
    count = parse_key(key).chunk_count
    if count == 1:
        return [key]
    prefix = key.rpartition("/")[0]
    return [f"{prefix}/{index}.{count}" for index in range(count)]


def _split(prefix: str, value: bytes, chunk_bytes: int) -> Iterator[JobRecord]:
    count = max(1, -(-len(value) // chunk_bytes))
    for index in range(count):
        chunk = value[index * chunk_bytes : (index + 1) * chunk_bytes]
        yield JobRecord(f"{prefix}/{index}.{count}", chunk)


def encode_specification(
    specification: JobSpecification, max_record_bytes: int
) -> list[JobRecord]:
    """Encodes the specification of an accepted batch job."""
    data = {
        "account": specification.account,
        "host": specification.host,
        "prefix": specification.path_prefix,
        "at": specification.submitted_at,
        "model": specification.model,
        "minimum": specification.minimum_version,
        "wanted": specification.wanted_groups,
        "step": specification.step,
        "limit": specification.time_limit,
        "key": specification.key,
        "items": [_encode_item(item) for item in specification.items],
    }
    value = zlib.compress(json.dumps(data).encode(), 1)
    prefix = f"{SPECIFICATION}/{specification.id}/"
    return list(_split(prefix, value, max_record_bytes - MAX_KEY_BYTES))


def _encode_item(item: JobItem) -> list[object]:
    call = item.score_call
    score = [call.id, call.host, call.path, call.body.hex()] if call else None
    return [
        item.id,
        item.path,
        list(item.headers),
        item.body.hex(),
        item.tokens,
        item.group,
        score,
        item.expected_tokens,
    ]


def decode_specification(job: JobId, value: bytes) -> JobSpecification:
    """Decodes the specification of an accepted batch job."""
    data = parse_json(zlib.decompress(value))
    return JobSpecification(
        id=job,
        account=AccountId(data["account"]),
        host=data["host"],
        path_prefix=data["prefix"],
        submitted_at=data["at"],
        model=ModelName(data["model"]) if data["model"] else None,
        minimum_version=data["minimum"],
        wanted_groups=data["wanted"],
        step=data["step"],
        time_limit=data["limit"],
        key=KeyId(data["key"]),
        items=tuple(_decode_item(item) for item in data["items"]),
    )


def _decode_item(data: list) -> JobItem:
    item, path, headers, body, tokens, group, score, expected = data
    call = None
    if score:
        call = ScoreCall(score[0], score[1], score[2], bytes.fromhex(score[3]))
    return JobItem(
        id=ItemId(item),
        path=path,
        headers=tuple((name, value) for name, value in headers),
        body=bytes.fromhex(body),
        tokens=tokens,
        group=group,
        score_call=call,
        expected_tokens=expected,
    )


def encode_result(
    job: JobId, result: ItemResult, max_record_bytes: int
) -> list[JobRecord]:
    """Encodes the result of an item."""
    spans = [[span.version, span.events] for span in result.version_spans]
    value = _encode_json([result.state.value, result.text, spans, result.score])
    prefix = f"{RESULT}/{job}/{result.item}"
    return list(_split(prefix, value, max_record_bytes - MAX_KEY_BYTES))


def decode_result(item: ItemId, value: bytes) -> ItemResult:
    """Decodes the result of an item."""
    state, text, spans, score = parse_json(value)
    version_spans = tuple(VersionSpan(version, events) for version, events in spans)
    return ItemResult(item, ResultState(state), text, version_spans, score)


def encode_progress(
    job: JobId, item: ItemId, first: int, events: Sequence[StreamEvent]
) -> JobRecord:
    """Encodes events that an item has generated.

    Args:
        job: Id of the job.
        item: Id of the item.
        first: Number of the first event, counted from 0.
        events: The events, which are consecutive.
    """
    key = f"{PROGRESS}/{job}/{item}/{first}.1"
    return JobRecord(key, b"[" + b",".join(map(_encode_event, events)) + b"]")


def count_events_for_record(events: Sequence[StreamEvent], max_bytes: int) -> int:
    """Returns how many of the first events fit into one progress record.

    Args:
        events: The events.
        max_bytes: Maximum size of the record.
    """
    size = MAX_KEY_BYTES
    for count, event in enumerate(events):
        size += len(_encode_event(event)) + 1
        if size > max_bytes:
            return count
    return len(events)


def _encode_event(event: StreamEvent) -> bytes:
    return _encode_json([event.id, event.data, event.version])


def _encode_json(value: object) -> bytes:
    # Escaped, a character of two bytes would take six. Lone surrogates are kept.
    return json.dumps(value, ensure_ascii=False).encode(errors="surrogatepass")


def decode_progress(value: bytes) -> list[StreamEvent]:
    """Decodes generated events of an item."""
    return [StreamEvent(*fields) for fields in parse_json(value)]


def encode_claim(job: JobId, claim: OwnerClaim) -> JobRecord:
    """Encodes the claim of the process that runs a batch job."""
    value = json.dumps([claim.owner, claim.epoch]).encode()
    return JobRecord(f"{OWNER}/{job}//0.1", value)


def decode_claim(value: bytes) -> OwnerClaim:
    """Decodes the claim of the process that runs a batch job."""
    owner, epoch = parse_json(value)
    return OwnerClaim(ProcessName(owner), epoch)


def encode_end(job: JobId) -> JobRecord:
    """Encodes the record that ends a batch job before all items have a result."""
    return JobRecord(f"{END}/{job}//0.1", b"1")
