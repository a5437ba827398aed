"""Adapter to the platform: its names, formats and calls.

This package translates between the platform's formats and this project's own types. It
makes no decisions.
"""

from buckthornstile.platform._duties import DutyClient
from buckthornstile.platform._jobs import decode_job, encode_results
from buckthornstile.platform._node_settings import (
    SETTINGS_VARIABLE,
    read_node_settings,
)
from buckthornstile.platform._protocol_names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    JOB_TOPIC,
    OPERATOR_TOPIC,
    TRAINER_VERSION_TOPIC,
    UPSTREAM_TOPIC,
    VERSION_PREFIX,
)
from buckthornstile.platform._requests import (
    ResourceKind,
    decode_forwarded_response,
    decode_key_decision,
    decode_request,
    decode_responder,
    encode_forwarded_request,
    encode_key_decision,
    encode_response,
    identify_responder,
    parse_path,
)
from buckthornstile.platform._store import (
    MAX_READ_KILOBYTES,
    AppendConflictError,
    FetchResult,
    KeyedRecord,
    LatestRecords,
    OffsetOutOfRangeError,
    Producer,
    StoreClient,
    decode_keyed_record,
    encode_keyed_record,
    is_store_call,
)
from buckthornstile.platform._store_records import (
    decode_configuration,
    decode_named_version,
    decode_upstream,
)
from buckthornstile.platform._upstreams import (
    ReportedStart,
    UpstreamEventParser,
    decode_generation_sizes,
    decode_order_answer,
    decode_report,
    decode_response_head,
    decode_start,
    encode_event,
    encode_generation,
    encode_order,
    encode_report_request,
    encode_upstream_call,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "CONFIGURATION_TOPIC",
    "JOB_TOPIC",
    "MAX_READ_KILOBYTES",
    "TRAINER_VERSION_TOPIC",
    "OPERATOR_TOPIC",
    "SETTINGS_VARIABLE",
    "UPSTREAM_TOPIC",
    "VERSION_PREFIX",
    "AppendConflictError",
    "DutyClient",
    "ReportedStart",
    "UpstreamEventParser",
    "decode_start",
    "OffsetOutOfRangeError",
    "LatestRecords",
    "FetchResult",
    "Producer",
    "StoreClient",
    "KeyedRecord",
    "ResourceKind",
    "decode_configuration",
    "decode_forwarded_response",
    "decode_key_decision",
    "decode_responder",
    "identify_responder",
    "decode_generation_sizes",
    "decode_response_head",
    "decode_job",
    "decode_keyed_record",
    "decode_named_version",
    "decode_order_answer",
    "decode_report",
    "decode_request",
    "decode_upstream",
    "encode_upstream_call",
    "encode_event",
    "encode_forwarded_request",
    "encode_key_decision",
    "encode_generation",
    "encode_keyed_record",
    "encode_order",
    "encode_response",
    "encode_report_request",
    "parse_path",
    "is_store_call",
    "read_node_settings",
    "encode_results",
]
