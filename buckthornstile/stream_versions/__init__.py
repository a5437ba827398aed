"""Software versions of streams: which version began a stream, and how it is known."""

from buckthornstile.stream_versions._batches import (
    BatchAppend,
    RecordBatches,
    Ticket,
    compute_batch_interval,
)
from buckthornstile.stream_versions._observations import (
    VersionCounts,
    VersionObservations,
    needs_record,
    plan_defaults,
)
from buckthornstile.stream_versions._records import (
    decode_batch,
    decode_default,
    encode_batch,
    encode_default,
    encode_route_key,
    is_route_key,
)
from buckthornstile.stream_versions._table import MAX_STREAMS, StreamVersionTable
from buckthornstile.stream_versions._types import (
    DefaultChange,
    Resolution,
    ResolutionState,
    RouteDefault,
    RoutePrefix,
    StreamDigest,
    StreamRecord,
    compute_stream_digest,
)

__all__ = [
    "MAX_STREAMS",
    "BatchAppend",
    "DefaultChange",
    "RecordBatches",
    "Resolution",
    "ResolutionState",
    "RouteDefault",
    "RoutePrefix",
    "StreamDigest",
    "StreamRecord",
    "StreamVersionTable",
    "Ticket",
    "VersionCounts",
    "VersionObservations",
    "compute_batch_interval",
    "compute_stream_digest",
    "decode_batch",
    "decode_default",
    "encode_batch",
    "encode_default",
    "encode_route_key",
    "is_route_key",
    "needs_record",
    "plan_defaults",
]
