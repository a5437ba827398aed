"""The core of an entry: calls, streams, batch jobs and tasks of the lease holder."""

from buckthornstile.gateway._admission_gate import AdmissionGate
from buckthornstile.gateway._admission_state import AdmissionMode
from buckthornstile.gateway._call_sender import CallSender
from buckthornstile.gateway._crash_detection import CrashDetector
from buckthornstile.gateway._crash_log import CrashLog
from buckthornstile.gateway._engine_shares import EngineShares
from buckthornstile.gateway._handlers import (
    ClientHandlers,
    HandlerDependencies,
    make_error_response,
)
from buckthornstile.gateway._incarnation_checker import (
    IncarnationChecker,
    IncarnationState,
)
from buckthornstile.gateway._item_runner import ItemRunner
from buckthornstile.gateway._job_context import JobDependencies
from buckthornstile.gateway._job_freshness import JobFreshness
from buckthornstile.gateway._job_manager import JobManager
from buckthornstile.gateway._job_store import END_BOUND_FRACTION, JobStore
from buckthornstile.gateway._key_checks import KEY_BOUND_FRACTION, KeyChecker
from buckthornstile.gateway._lease_holder_tasks import LeaseHolderTasks
from buckthornstile.gateway._lease_manager import LeaseManager
from buckthornstile.gateway._load_balancer import LoadBalancer
from buckthornstile.gateway._metrics import GatewayMetrics
from buckthornstile.gateway._model_load_dispatcher import ModelLoadDispatcher
from buckthornstile.gateway._partition_assignment import PartitionAssignment
from buckthornstile.gateway._peer_client import PeerClient
from buckthornstile.gateway._presence import (
    PRESENCE_INTERVAL,
    PRESENCE_TOPIC,
    LoadedVersions,
    PresenceRecord,
    PresenceTable,
    decode_presence,
)
from buckthornstile.gateway._proxied_stream import StreamResources
from buckthornstile.gateway._quarantine import Quarantine
from buckthornstile.gateway._rate_limits import RateLimits
from buckthornstile.gateway._rate_records import RateRecord, decode_rate_record
from buckthornstile.gateway._start_prediction import predict_start
from buckthornstile.gateway._step_scheduler import StepScheduler
from buckthornstile.gateway._store_proxy import StoreProxy, StoreProxySelector
from buckthornstile.gateway._stream_proxy import StreamProxy
from buckthornstile.gateway._stream_version_log import StreamVersionLog
from buckthornstile.gateway._topology_watcher import TopologyWatcher
from buckthornstile.gateway._usage_reporter import UsageReporter
from buckthornstile.gateway._work_placement import WorkPlacement

__all__ = [
    "END_BOUND_FRACTION",
    "KEY_BOUND_FRACTION",
    "KeyChecker",
    "PRESENCE_INTERVAL",
    "PRESENCE_TOPIC",
    "AdmissionGate",
    "AdmissionMode",
    "CallSender",
    "ClientHandlers",
    "CrashDetector",
    "CrashLog",
    "EngineShares",
    "IncarnationChecker",
    "IncarnationState",
    "LeaseHolderTasks",
    "LoadBalancer",
    "PartitionAssignment",
    "GatewayMetrics",
    "HandlerDependencies",
    "JobManager",
    "JobStore",
    "JobDependencies",
    "JobFreshness",
    "LeaseManager",
    "ModelLoadDispatcher",
    "PeerClient",
    "PresenceRecord",
    "PresenceTable",
    "Quarantine",
    "RateLimits",
    "RateRecord",
    "StepScheduler",
    "StreamProxy",
    "StreamResources",
    "StreamVersionLog",
    "ItemRunner",
    "StoreProxySelector",
    "StoreProxy",
    "UsageReporter",
    "LoadedVersions",
    "TopologyWatcher",
    "decode_presence",
    "decode_rate_record",
    "WorkPlacement",
    "make_error_response",
    "predict_start",
]
