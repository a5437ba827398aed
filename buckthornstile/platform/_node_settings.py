"""Reading of the settings file that the platform writes for each process."""

import json
import os
from pathlib import Path
from typing import Any

from buckthornstile.base import BuckthornstileError, ErrorCode
from buckthornstile.settings import EntrySettings, load_settings

SETTINGS_VARIABLE = "BUCKTHORNSTILE_CONFIG"
"""Environment variable that holds the path of the settings file."""

DEFAULT_MEMORY_MB = 256
BUFFERED_MEMORY_DIVISOR = 8
"""The bodies of responses may take this part of the memory: a body is copied when it
is decoded, and connections have buffers of their own."""
CLIENT_MEMORY_DIVISOR = 5
"""What is held for clients may take this part of the memory. The responses that are
read meanwhile come in addition: large bodies of 58 MB in all, with responses as large,
let a process grow by 108 MB."""
MIN_CLIENT_BYTES = 40 << 20
"""Room for one body of the largest size that operators configure (32 MB), beside the
reserve for small requests."""
DEFAULT_STORE_WRITE_RATE = 800
DEFAULT_MAX_FDS = 4100
RESERVED_FDS = 200
"""Descriptors that the platform reserves for files."""
CLIENT_FDS_DIVISOR = 2
"""Clients may take this part of the descriptors; the others are for upstreams, other
entries and the store."""
MIN_CLIENT_CONNECTIONS = 16
MIN_BUFFERED_BYTES = 4 << 20
MAX_RESPONSE_BYTES = 8 << 20


def read_node_settings(path: str | None = None) -> EntrySettings:
    """Reads and checks the settings file.

    Args:
        path: Path of the file, or None for the path in ``SETTINGS_VARIABLE``.

    Returns:
        The settings.

    Raises:
        BuckthornstileError: The file is missing or not valid JSON, or a field is
            missing or out of range.
    """
    file_name = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        return decode_node_settings(json.loads(Path(file_name).read_text()))
    except BuckthornstileError as error:
        reason = error.message
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}"
    raise BuckthornstileError(
        ErrorCode.SETTING_INVALID,
        f"settings file {file_name!r} cannot be used: {reason}",
    )


def decode_node_settings(data: dict[str, Any]) -> EntrySettings:
    """Translates the file's content to settings; unknown fields are ignored.

    The first port of the internal range serves metrics. The port after it accepts the
    requests that other entries forward.
    """
    bounds = data.get("bounds") or {}
    listen = data.get("listen") or {}
    store = data["platform"]
    cloud = data.get("cloud") or {}
    limits = data.get("limits") or {}
    memory = int(limits.get("memoryMb", DEFAULT_MEMORY_MB)) << 20
    max_fds = int(limits.get("maxFds", DEFAULT_MAX_FDS))
    max_buffered_bytes = max(MIN_BUFFERED_BYTES, memory // BUFFERED_MEMORY_DIVISOR)
    host = data.get("ip", "127.0.0.1")
    # The first and the last port of the internal range.
    ports = data.get("internalPorts") or [0]
    return load_settings(
        EntrySettings,
        {
            "process": data["node"],
            "failure_domain": data["zone"],
            "client_address": listen.get("front", ""),
            "ready_address": listen.get("ready", ""),
            "metrics_address": f"{host}:{ports[0]}",
            "peer_address": f"{host}:{ports[0] + 1}" if len(ports) > 1 else "",
            "store_address": store["address"],
            "store_parts": int(store.get("parts", 1)),
            "store_write_rate": max(
                1, store.get("writesPerS") or DEFAULT_STORE_WRITE_RATE
            ),
            "max_record_bytes": int(store.get("recordBytes", 256 << 10)),
            "max_buffered_bytes": max_buffered_bytes,
            "max_response_bytes": min(MAX_RESPONSE_BYTES, max_buffered_bytes),
            "max_client_bytes": max(MIN_CLIENT_BYTES, memory // CLIENT_MEMORY_DIVISOR),
            "max_client_connections": max(
                MIN_CLIENT_CONNECTIONS, (max_fds - RESERVED_FDS) // CLIENT_FDS_DIVISOR
            ),
            "max_append_bytes": int(store.get("callBytes", 2 << 20)),
            "duty_address": cloud.get("address", ""),
            "heartbeat": data.get("heartbeatMs", 1000) / 1000,
            "stop_grace": bounds.get("graceS", 8),
            "key_bound": bounds.get("revokeMs", 5000) / 1000,
            "fails_closed": bool(bounds.get("failClosed", True)),
            "turn_bound": bounds.get("leaseMs", 3000) / 1000,
            "usage_window": bounds.get("usageWindowS", 5),
            "usage_due": bounds.get("usageLateS", 10),
            # Despite its name, "statusS" is how long results must stay readable.
            "result_lifetime": bounds.get("statusS", 120),
            "job_end_bound": bounds.get("cancelMs", 0) / 1000,
            "cold_overage": bounds.get("coldOverage", 1.0),
            "cold_slack": bounds.get("coldSlack", 0),
        },
    )
