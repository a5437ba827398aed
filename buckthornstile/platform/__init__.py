"""All that knows the platform's names, formats and calls.

It translates between them and the product's own types, and decides nothing.
"""

from buckthornstile.platform._duties import DutyClient
from buckthornstile.platform._jobs import decode_job, render_results
from buckthornstile.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    JOB_TOPIC,
    OPERATOR_TOPIC,
    TRAINER_TOPIC,
    UPSTREAM_TOPIC,
    VERSION_PREFIX,
)
from buckthornstile.platform._node_settings import (
    SETTINGS_VARIABLE,
    read_node_settings,
)
from buckthornstile.platform._operator import (
    decode_configuration,
    decode_named_version,
    decode_upstream,
)
from buckthornstile.platform._requests import (
    Subject,
    decode_forwarded,
    decode_request,
    encode_forward,
    encode_reply,
    find_subject,
)
from buckthornstile.platform._store import (
    AppendRefusedError,
    HistoryDroppedError,
    LogSlice,
    NewestPages,
    Producer,
    StoreClient,
    StoredRecord,
    decode_keyed_record,
    encode_keyed_record,
    is_store_call,
)
from buckthornstile.platform._upstreams import (
    EventReader,
    decode_head,
    decode_order_answer,
    decode_report,
    encode_call,
    encode_event,
    encode_generation,
    encode_order,
    encode_report_call,
)

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "CONFIGURATION_TOPIC",
    "JOB_TOPIC",
    "TRAINER_TOPIC",
    "OPERATOR_TOPIC",
    "SETTINGS_VARIABLE",
    "UPSTREAM_TOPIC",
    "VERSION_PREFIX",
    "AppendRefusedError",
    "DutyClient",
    "EventReader",
    "HistoryDroppedError",
    "NewestPages",
    "LogSlice",
    "Producer",
    "StoreClient",
    "StoredRecord",
    "Subject",
    "decode_configuration",
    "decode_forwarded",
    "decode_head",
    "decode_job",
    "decode_keyed_record",
    "decode_named_version",
    "decode_order_answer",
    "decode_report",
    "decode_request",
    "decode_upstream",
    "encode_call",
    "encode_event",
    "encode_forward",
    "encode_generation",
    "encode_keyed_record",
    "encode_order",
    "encode_reply",
    "encode_report_call",
    "find_subject",
    "is_store_call",
    "read_node_settings",
    "render_results",
]
