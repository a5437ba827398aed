"""The core of an entry: calls, streams, batch jobs, duties and what they rest on."""

from buckthornstile.gateway._calls import CallSender
from buckthornstile.gateway._control import Control
from buckthornstile.gateway._fleet import Fleet
from buckthornstile.gateway._handlers import (
    ClientHandlers,
    HandlerTools,
    make_error_reply,
)
from buckthornstile.gateway._item_work import JobTools
from buckthornstile.gateway._job_owner import JobOwner
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._presence import (
    PRESENCE_PERIOD,
    PRESENCE_TOPIC,
    PresenceRecord,
    PresenceTable,
    decode_presence,
)
from buckthornstile.gateway._relay import StreamRelay
from buckthornstile.gateway._streams import StreamRunner
from buckthornstile.gateway._watch import Watch

__all__ = [
    "PRESENCE_PERIOD",
    "PRESENCE_TOPIC",
    "CallSender",
    "ClientHandlers",
    "Control",
    "Fleet",
    "GatewayMetrics",
    "HandlerTools",
    "JobOwner",
    "JobStore",
    "JobTools",
    "PresenceRecord",
    "PresenceTable",
    "StreamRelay",
    "StreamRunner",
    "Watch",
    "decode_presence",
    "make_error_reply",
]
