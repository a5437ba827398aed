"""Control: what the holder of the lease does, folded from the log."""

from buckthornstile.control._actions import Append, ControlAction, SendReport
from buckthornstile.control._core import ControlCore, ControlStatus, make_control_core
from buckthornstile.control._fold import ControlFold, ControlState
from buckthornstile.control._reports import ReportPlanner
from buckthornstile.control._runner import ControlRunner, RecordListener
from buckthornstile.control._snapshots import SnapshotPlanner

__all__ = [
    "Append",
    "ControlAction",
    "ControlCore",
    "ControlFold",
    "ControlRunner",
    "ControlState",
    "ControlStatus",
    "RecordListener",
    "ReportPlanner",
    "SendReport",
    "SnapshotPlanner",
    "make_control_core",
]
