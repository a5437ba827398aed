"""Keys and values of the records on software versions in the store."""

import hashlib
import json

from buckthornstile.base import SoftwareVersion, parse_json
from buckthornstile.stream_versions._types import (
    RouteDefault,
    RoutePrefix,
    StreamDigest,
    StreamRecord,
)

ROUTE_PREFIX = "route/"
RECORD_OVERHEAD_BYTES = 48
"""Upper bound of the size of an encoded record without its version."""
ROUTE_DIGEST_BYTES = 12


def encode_route_key(route: RoutePrefix) -> str:
    """Returns the key of a route's default version; names may exceed a key's size."""
    digest = hashlib.blake2b(route.encode(), digest_size=ROUTE_DIGEST_BYTES)
    return ROUTE_PREFIX + digest.hexdigest()


def is_route_key(key: str) -> bool:
    """Whether a key is that of a default version, not of a batch of records."""
    return key.startswith(ROUTE_PREFIX)


def encode_default(default: RouteDefault) -> bytes:
    """Encodes the default version of a route."""
    return json.dumps([default.route, default.version, default.is_retired]).encode()


def decode_default(value: bytes) -> RouteDefault:
    """Decodes the default version of a route.

    Raises:
        ValueError: The record is malformed.
    """
    try:
        route, version, is_retired = parse_json(value)
    except TypeError as error:
        raise ValueError(f"default version: {error}") from error
    if not isinstance(route, str) or not isinstance(version, str):
        raise ValueError("default version: a text field has another type")
    return RouteDefault(RoutePrefix(route), SoftwareVersion(version), bool(is_retired))


def encode_batch(records: list[StreamRecord]) -> bytes:
    """Encodes records, grouped by version."""
    by_version: dict[str, list[list[object]]] = {}
    for record in records:
        pair: list[object] = [record.stream, round(record.lifetime, 1)]
        by_version.setdefault(record.version, []).append(pair)
    return json.dumps(by_version, separators=(",", ":")).encode()


def decode_batch(value: bytes) -> list[StreamRecord]:
    """Decodes records.

    Raises:
        ValueError: A record is malformed.
    """
    try:
        return [
            StreamRecord(
                StreamDigest(str(stream)), SoftwareVersion(version), float(lifetime)
            )
            for version, pairs in parse_json(value).items()
            for stream, lifetime in pairs
        ]
    except (TypeError, AttributeError) as error:
        raise ValueError(f"records of streams: {error}") from error


def estimate_size(record: StreamRecord) -> int:
    """Returns an upper bound of the size of a record in a batch, in bytes."""
    return RECORD_OVERHEAD_BYTES + len(json.dumps(record.version))
