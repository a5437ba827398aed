"""Encoding of batch jobs as records of the store.

A key has the form ``kind/job/item/index.count``. A value that is too long for one
record is split into ``count`` chunks, which are appended in one call. Events that an
item has generated so far are appended as progress records, whose ``index`` is the
number of their first event.
"""

import json
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from buckthornstile.base import (
    AccountId,
    KeyId,
    ProcessName,
    SoftwareVersion,
    parse_json,
)
from buckthornstile.jobs._types import (
    ItemId,
    ItemResult,
    JobId,
    JobItem,
    JobSpecification,
    ResultState,
    ScoreCall,
    StoredProgress,
    VersionSpan,
)
from buckthornstile.messages import StreamEvent
from buckthornstile.topology import ModelName

SPECIFICATION, OWNER, RESULT, END, PROGRESS = "s", "o", "r", "e", "p"
KINDS = frozenset({SPECIFICATION, OWNER, RESULT, END, PROGRESS})
ITEMS_START = '"items": ['
"""Start of the items in the text of a specification, which holds them last. Within a
JSON string, its quotes would be escaped."""
ITEM_SEPARATOR = ", "
COMPRESSED_SLICE_BYTES = 16 << 10
PIECE_BYTES = 64 << 10
"""Size of the pieces in which the text of a specification is handled."""
PROGRESS_END = b"]}"
MAX_KEY_BYTES = 256
"""Bytes of a record that are reserved for its key."""

_DECODER = json.JSONDecoder()


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
        "configuration": specification.configuration_version,
        "items": [],
    }
    # The text is compressed in pieces: it takes twice the memory of the items, and
    # joined and encoded four times as much.
    compressor = zlib.compressobj(1)
    head = json.dumps(data).removesuffix("]}")
    pieces = [compressor.compress(head.encode())]
    for number, item in enumerate(specification.items):
        if number:
            pieces.append(compressor.compress(ITEM_SEPARATOR.encode()))
        pieces += [
            compressor.compress(piece.encode()) for piece in _iterate_item_text(item)
        ]
    pieces += [compressor.compress(b"]}"), compressor.flush()]
    value = b"".join(pieces)
    prefix = f"{SPECIFICATION}/{specification.id}/"
    return list(_split(prefix, value, max_record_bytes - MAX_KEY_BYTES))


def _iterate_item_text(item: JobItem) -> Iterator[str]:
    """Yields the JSON text of an item, with bodies as hexadecimal strings."""
    yield _join_values(item.id, item.path, list(item.headers))
    yield from _iterate_hex(item.body)
    yield f", {item.tokens}, {json.dumps(item.group)}, "
    call = item.score_call
    if call is None:
        yield "null"
    else:
        yield _join_values(call.id, call.host, call.path)
        yield from _iterate_hex(call.body)
        yield "]"
    yield f", {item.expected_tokens}]"


def _join_values(*values: object) -> str:
    """Returns the start of a JSON array that goes on after these values."""
    return json.dumps(values).removesuffix("]") + ", "


def _iterate_hex(body: bytes) -> Iterator[str]:
    yield '"'
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES].hex()
    yield '"'


def decode_specification(job: JobId, value: bytes) -> JobSpecification:
    """Decodes the specification of an accepted batch job."""
    data, items = _decode_in_pieces(value)
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
        # Earlier releases do not state it.
        configuration_version=data.get("configuration", 0),
        items=items,
    )


def _decode_in_pieces(value: bytes) -> tuple[dict[str, Any], tuple[JobItem, ...]]:
    """Decodes a specification without holding the text of all its items at once.

    Raises:
        ValueError: The value is not an encoded specification.
    """
    pieces = _decompress(value)
    text = ""
    while ITEMS_START not in text:
        text = _read_more(text, pieces)
    head, _, text = text.partition(ITEMS_START)
    items = []
    while not text.startswith("]"):
        try:
            item, end = _DECODER.raw_decode(text)
        except ValueError:
            text = _read_more(text, pieces)
            continue
        # Dropped first, as a single item may be as large as the largest body.
        text = text[end:]
        items.append(_decode_item(item))
        while len(text) < len(ITEM_SEPARATOR):
            text = _read_more(text, pieces)
        text = text.removeprefix(ITEM_SEPARATOR)
    return parse_json(f"{head}{ITEMS_START}]}}"), tuple(items)


def _read_more(text: str, pieces: Iterator[str]) -> str:
    """Returns a text with the pieces that follow it, of about twice its length.

    Doubling it keeps the number of attempts to decode a long item low.

    Raises:
        ValueError: No piece follows.
    """
    parts = [text, next(pieces, "")]
    size = len(text) + len(parts[-1])
    while parts[-1] and size < 2 * len(text):
        parts.append(next(pieces, ""))
        size += len(parts[-1])
    if size == len(text):
        raise ValueError("the specification of a job is incomplete")
    return "".join(parts)


def _decompress(value: bytes) -> Iterator[str]:
    """Yields the decompressed text, which is ASCII, in pieces that are not empty."""
    decompressor = zlib.decompressobj()
    # Fed in slices, as the decompressor copies what it has not consumed.
    for start in range(0, len(value), COMPRESSED_SLICE_BYTES):
        data = value[start : start + COMPRESSED_SLICE_BYTES]
        while piece := decompressor.decompress(data, PIECE_BYTES):
            data = decompressor.unconsumed_tail
            yield piece.decode()
    if not decompressor.eof:
        raise ValueError("the specification of a job is cut off")


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
    job: JobId, item: ItemId, first: int, progress: StoredProgress
) -> JobRecord:
    """Encodes events that an item has generated.

    Releases that don't know software versions can't decode the record, and don't go on
    from it.

    Args:
        job: Id of the job.
        item: Id of the item.
        first: Number of the first event, counted from 0.
        progress: The events, which are consecutive.
    """
    key = f"{PROGRESS}/{job}/{item}/{first}.1"
    events = b",".join(map(_encode_event, progress.events))
    start = _encode_progress_start(progress.software_version)
    return JobRecord(key, start + events + PROGRESS_END)


def _encode_progress_start(software_version: SoftwareVersion | None) -> bytes:
    return b'{"software": ' + _encode_json(software_version) + b', "events": ['


def count_events_for_record(progress: StoredProgress, max_bytes: int) -> int:
    """Returns how many of the first events fit into one progress record.

    Args:
        progress: The events.
        max_bytes: Maximum size of the record.
    """
    events = progress.events
    size = MAX_KEY_BYTES + len(PROGRESS_END)
    size += len(_encode_progress_start(progress.software_version))
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


def decode_progress(value: bytes) -> StoredProgress:
    """Decodes generated events of an item.

    In a record of an earlier release, which is a list, the software version is unknown.
    """
    data = parse_json(value)
    if isinstance(data, list):
        data = {"software": None, "events": data}
    events = tuple(StreamEvent(*fields) for fields in data["events"])
    return StoredProgress(events, data["software"])


def encode_claim(job: JobId, claim: OwnerClaim) -> JobRecord:
    """Encodes the claim of the process that runs a batch job."""
    value = json.dumps([claim.owner, claim.epoch]).encode()
    return JobRecord(f"{OWNER}/{job}//0.1", value)


def decode_claim(value: bytes) -> OwnerClaim:
    """Decodes the claim of the process that runs a batch job."""
    owner, epoch = parse_json(value)
    return OwnerClaim(ProcessName(owner), epoch)


def encode_end(job: JobId, ended_at: float) -> JobRecord:
    """Encodes the record that ends a batch job before all items have a result.

    Args:
        job: The job.
        ended_at: Time of the client's request in seconds since the epoch.
    """
    return JobRecord(f"{END}/{job}//0.1", f"{ended_at:.3f}".encode())


def decode_end(value: bytes) -> float | None:
    """Decodes the time at which a job was ended, or None if the record has none."""
    # Before the time was added, the value was 1.
    if value == b"1":
        return None
    try:
        return float(value)
    except ValueError:
        return None
