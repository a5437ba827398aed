"""The core of an entry: calls, streams, batch jobs, duties and what they rest on."""

from buckthornstile.gateway._calls import CallSender
from buckthornstile.gateway._control import Control
from buckthornstile.gateway._fleet import Fleet
from buckthornstile.gateway._followers import Followers
from buckthornstile.gateway._handlers import (
    KEY_BOUND_SHARE,
    ClientHandlers,
    HandlerTools,
    make_error_reply,
)
from buckthornstile.gateway._item_work import JobTools
from buckthornstile.gateway._job_owner import JobOwner
from buckthornstile.gateway._job_store import JobStore
from buckthornstile.gateway._lease_keeper import LeaseKeeper
from buckthornstile.gateway._load_orders import LoadOrders
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._peers import PeerClient
from buckthornstile.gateway._presence import (
    PRESENCE_PERIOD,
    PRESENCE_TOPIC,
    PresenceRecord,
    PresenceTable,
    Versions,
    decode_presence,
)
from buckthornstile.gateway._relay import StreamRelay
from buckthornstile.gateway._store_path import StorePath, StoreRelay
from buckthornstile.gateway._streams import StreamRunner
from buckthornstile.gateway._usage_reports import UsageReports
from buckthornstile.gateway._watch import Watch

__all__ = [
    "KEY_BOUND_SHARE",
    "PRESENCE_PERIOD",
    "PRESENCE_TOPIC",
    "CallSender",
    "ClientHandlers",
    "Control",
    "Fleet",
    "Followers",
    "GatewayMetrics",
    "HandlerTools",
    "JobOwner",
    "JobStore",
    "JobTools",
    "LeaseKeeper",
    "LoadOrders",
    "PeerClient",
    "PresenceRecord",
    "PresenceTable",
    "StreamRelay",
    "StreamRunner",
    "StorePath",
    "StoreRelay",
    "UsageReports",
    "Versions",
    "Watch",
    "decode_presence",
    "make_error_reply",
]
