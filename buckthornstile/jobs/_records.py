"""How batch jobs are kept in the store.

A key is ``kind/job/item/part.parts``. A value longer than a record holds is split;
all parts are appended in one call. What an item's runs have made so far is appended
piece by piece: there the part is the number of its first event.
"""

import json
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from buckthornstile.base import AccountId, KeyId, ProcessName
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
KEY_ROOM = 256
"""Bytes of a record that its key may take."""


@dataclass(frozen=True, slots=True)
class JobRecord:
    """A key and a value of the topic of batch jobs."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Which process runs a batch job, and with which epoch it appends."""

    owner: ProcessName
    epoch: int


@dataclass(frozen=True, slots=True)
class RecordKey:
    """A record's key, taken apart."""

    kind: str
    job: JobId
    item: ItemId | None
    chunk_index: int
    chunk_count: int


def parse_key(key: str) -> RecordKey:
    """Takes a record's key apart.

    Raises:
        ValueError: It is no key of a batch job's record.

    Example:
        >>> parse_key("r/j1/i1/0.1").item
        'i1'
    """
    words = key.split("/")
    if len(words) != 4 or words[0] not in KINDS:
        raise ValueError(f"key {key!r} names no record of a batch job")
    part, _, parts = words[3].partition(".")
    item = ItemId(words[2]) if words[2] else None
    return RecordKey(words[0], JobId(words[1]), item, int(part), int(parts))


def _split(prefix: str, value: bytes, room: int) -> Iterator[JobRecord]:
    parts = max(1, -(-len(value) // room))
    for part in range(parts):
        piece = value[part * room : (part + 1) * room]
        yield JobRecord(f"{prefix}/{part}.{parts}", piece)


def encode_specification(
    specification: JobSpecification, max_record_bytes: int
) -> list[JobRecord]:
    """Encodes an accepted batch job."""
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
    return list(_split(prefix, value, max_record_bytes - KEY_ROOM))


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
    """Decodes an accepted batch job."""
    data = json.loads(zlib.decompress(value))
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
    name, path, headers, body, tokens, group, score, expected = data
    call = None
    if score:
        call = ScoreCall(score[0], score[1], score[2], bytes.fromhex(score[3]))
    return JobItem(
        id=ItemId(name),
        path=path,
        headers=tuple((one, other) for one, other in headers),
        body=bytes.fromhex(body),
        tokens=tokens,
        group=group,
        score_call=call,
        expected_tokens=expected,
    )


def encode_result(
    job: JobId, result: ItemResult, max_record_bytes: int
) -> list[JobRecord]:
    """Encodes a result."""
    runs = [[run.version, run.events] for run in result.version_spans]
    data = [result.state.value, result.text, runs, result.score]
    value = json.dumps(data).encode()
    prefix = f"{RESULT}/{job}/{result.item}"
    return list(_split(prefix, value, max_record_bytes - KEY_ROOM))


def decode_result(item: ItemId, value: bytes) -> ItemResult:
    """Decodes a result."""
    state, text, runs, score = json.loads(value)
    version_spans = tuple(VersionSpan(version, events) for version, events in runs)
    return ItemResult(item, ResultState(state), text, version_spans, score)


def encode_progress(
    job: JobId, item: ItemId, first: int, events: Sequence[StreamEvent]
) -> JobRecord:
    """Encodes events of an item; ``first`` is the number of the first one."""
    data = [[event.id, event.data, event.version] for event in events]
    key = f"{PROGRESS}/{job}/{item}/{first}.1"
    return JobRecord(key, json.dumps(data).encode())


def decode_progress(value: bytes) -> list[StreamEvent]:
    """Decodes events of an item."""
    return [StreamEvent(*fields) for fields in json.loads(value)]


def encode_claim(job: JobId, claim: OwnerClaim) -> JobRecord:
    """Encodes who runs a batch job."""
    value = json.dumps([claim.owner, claim.epoch]).encode()
    return JobRecord(f"{OWNER}/{job}//0.1", value)


def decode_claim(value: bytes) -> OwnerClaim:
    """Decodes who runs a batch job."""
    owner, epoch = json.loads(value)
    return OwnerClaim(ProcessName(owner), epoch)


def encode_end(job: JobId) -> JobRecord:
    """Encodes that a batch job was ended by its client."""
    return JobRecord(f"{END}/{job}//0.1", b"1")
