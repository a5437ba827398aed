"""The platform's settings file of one process."""

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from buckthornstile.base import (
    BuckthornstileError,
    ErrorCode,
    FailureDomain,
    ProcessName,
)

SETTINGS_VARIABLE = "BUCKTHORNSTILE_CONFIG"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What the platform tells one process at its start; times in seconds.

    Addresses are ``IP:port``; metrics are served on the first of the ports between
    processes. ``stop_grace`` is the time between SIGTERM and SIGKILL, ``key_bound``
    the time within which a withdrawn key must stop working, ``turn_bound`` the span
    in which the holder of a duty may not change there and back.
    """

    name: ProcessName
    zone: FailureDomain
    client_address: str
    ready_address: str
    metrics_address: str
    store_address: str
    store_parts: int
    max_record_bytes: int
    max_append_bytes: int
    duty_address: str
    heartbeat: float
    stop_grace: float
    key_bound: float
    fails_closed: bool
    turn_bound: float
    usage_window: float
    usage_due: float
    result_lifetime: float
    cold_overage: float
    cold_slack: float


def read_node_settings(path: str | None = None) -> NodeSettings:
    """Reads and checks the settings file.

    Args:
        path: The file, or None for the one that the environment names.

    Returns:
        The settings.

    Raises:
        BuckthornstileError: The file is missing, is no JSON or lacks a field.
    """
    name = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return decode_node_settings(json.loads(Path(name).read_text()))
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise BuckthornstileError(
            ErrorCode.SETTING_INVALID,
            f"settings file {name!r} cannot be used: {type(error).__name__}: {error}",
        ) from error


def decode_node_settings(data: dict[str, Any]) -> NodeSettings:
    """Translates the file's content; unknown fields are left out."""
    bounds = data.get("bounds") or {}
    listen = data.get("listen") or {}
    store = data["platform"]
    cloud = data.get("cloud") or {}
    ports = data.get("internalPorts") or [0]
    return NodeSettings(
        name=ProcessName(data["node"]),
        zone=FailureDomain(data["zone"]),
        client_address=listen.get("front", ""),
        ready_address=listen.get("ready", ""),
        metrics_address=f"{data.get('ip', '127.0.0.1')}:{ports[0]}",
        store_address=store["address"],
        store_parts=int(store.get("parts", 1)),
        max_record_bytes=int(store.get("recordBytes", 262144)),
        max_append_bytes=int(store.get("callBytes", 2097152)),
        duty_address=cloud.get("address", ""),
        heartbeat=data.get("heartbeatMs", 1000) / 1000,
        stop_grace=float(bounds.get("graceS", 8)),
        key_bound=bounds.get("revokeMs", 5000) / 1000,
        fails_closed=bool(bounds.get("failClosed", True)),
        turn_bound=bounds.get("leaseMs", 3000) / 1000,
        usage_window=float(bounds.get("usageWindowS", 5)),
        usage_due=float(bounds.get("usageLateS", 10)),
        # The name says "status"; it is how long results must stay readable.
        result_lifetime=float(bounds.get("statusS", 120)),
        cold_overage=float(bounds.get("coldOverage", 1.0)),
        cold_slack=float(bounds.get("coldSlack", 0)),
    )
