"""Decodes the records that operators, trainers and upstreams write to the store."""

import ipaddress
from typing import Any

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    ServiceName,
    SoftwareVersion,
    UpstreamId,
    WeightVersion,
    parse_integer,
    parse_json,
)
from buckthornstile.topology import (
    ClientLimits,
    ModelName,
    PlatformAccount,
    PlatformConfiguration,
    Route,
    RouteKind,
    Service,
    Upstream,
)

ROUTE_KINDS = {"safe": RouteKind.IDEMPOTENT, "rollout": RouteKind.ROLLOUT}
MAX_NUMBER = 1 << 53
"""Largest number in an upstream's record; larger ones are not exact in JSON."""
MAX_PORT = 65_535
READY_STATE, DRAINING_STATE = "ready", "draining"


def decode_configuration(value: bytes) -> PlatformConfiguration:
    """Decodes a complete configuration.

    Raises:
        ValueError: The record is malformed.
    """
    try:
        data = parse_json(value)
        limits = data.get("limits") or {}
        return PlatformConfiguration(
            version=int(data["version"]),
            routes=tuple(_decode_route(route) for route in data.get("routes") or ()),
            services={
                ServiceName(item["name"]): _decode_service(item)
                for item in data.get("services") or ()
            },
            accounts=tuple(
                PlatformAccount(
                    AccountId(item["name"]),
                    tuple(item.get("apiKeys") or ()),
                    item.get("priority"),
                )
                for item in data.get("tenants") or ()
            ),
            limits=ClientLimits(
                max_header_bytes=int(limits.get("maxHeaderBytes", 16384)),
                max_body_bytes=int(limits.get("maxBodyBytes", 32 << 20)),
                header_timeout=limits.get("headerTimeoutMs", 3000) / 1000,
                idle_timeout=limits.get("idleTimeoutMs", 15000) / 1000,
            ),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"configuration: {type(error).__name__}: {error}") from error


def _decode_route(data: dict[str, Any]) -> Route:
    traffic_split = data.get("trafficSplit") or ()
    services = tuple(
        (ServiceName(item["service"]), float(item.get("weight", 1)))
        for item in traffic_split
    )
    if not services and data.get("service"):
        services = ((ServiceName(data["service"]), 1.0),)
    return Route(
        name=data["name"],
        host=data["hostname"].lower(),
        path_prefix=data["pathPrefix"],
        kind=ROUTE_KINDS.get(data.get("kind", ""), RouteKind.AT_MOST_ONCE),
        services=services,
        timeout=data.get("timeoutMs", 10000) / 1000,
        target_latency=data.get("targetLatencyMs", 1000) / 1000,
        priority=int(data.get("priority", 5)),
        max_attempts=int(data.get("maxAttempts", 1)),
        allows_anonymous=bool(data.get("allowAnonymous", False)),
        is_streaming=bool(data.get("streaming", False)),
        is_resumable=bool(data.get("resumable", False)),
        requires_single_version=bool(data.get("singleVersion", False)),
        result_deadline=data.get("resultDeadlineMs", 0) / 1000,
        retention=float(data.get("retentionS", 0)),
    )


def _decode_service(data: dict[str, Any]) -> Service:
    models = (data.get("engine") or {}).get("models") or ()
    return Service(
        name=ServiceName(data["name"]),
        health_path=data.get("healthPath", ""),
        max_connections=int(data.get("maxConnections", 100)),
        cold_start=float(data.get("coldStartS", 0)),
        cold_rate=float(data.get("coldPerS", 0)),
        models=tuple(ModelName(item["name"]) for item in models),
    )


def decode_named_version(value: bytes) -> tuple[ModelName, int]:
    """Decodes a trainer's record that names the version to load of a model.

    Raises:
        ValueError: The record is malformed.
    """
    try:
        data = parse_json(value)
        return ModelName(data["model"]), int(data["version"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"named version: {type(error).__name__}") from error


def decode_upstream(
    upstream_id: str, value: bytes, services: set[ServiceName] | None = None
) -> Upstream:
    """Decodes the registration record that an upstream writes.

    The record's ``sequence`` counts the records that the upstream has written, not the
    load orders that it has accepted.

    Args:
        upstream_id: The upstream's id, which is the record's key and not in its value.
        value: The record.
        services: The configured services, or None if they are not known.

    Raises:
        ValueError: The record is malformed, or names an unknown state or service.
    """
    try:
        data = parse_json(value)
        state = data["state"]
        service, address, zone = data["service"], data["address"], data["zone"]
        host, _, port = address.rpartition(":")
        cold_remaining_ms, slots = data.get("coldRemainingMs", 0), data["slots"]
        started_at_ms, sequence = data.get("born", 0), data.get("sequence", 0)
        software_version = data["version"]
        models = data.get("models") or ()
        versions = {
            ModelName(item["name"]): WeightVersion(item["version"]) for item in models
        }
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"upstream record: {type(error).__name__}: {error}") from error
    numbers = (cold_remaining_ms, slots, started_at_ms, sequence, *versions.values())
    texts = (service, zone, host, software_version, *versions)
    if any(
        isinstance(item, bool) or not isinstance(item, int | float) for item in numbers
    ):
        raise ValueError("upstream record: a number field has another type")
    if not all(0 <= item <= MAX_NUMBER for item in numbers):
        raise ValueError(f"upstream record: a number is not within 0 to {MAX_NUMBER}")
    if any(not isinstance(item, str) or not item for item in texts):
        raise ValueError("upstream record: a text field is empty or has another type")
    if not all(item.isprintable() for item in texts):
        raise ValueError("upstream record: a text field is not printable")
    port_number = parse_integer(port)
    if port_number is None or not 1 <= port_number <= MAX_PORT:
        raise ValueError(f"upstream record: port {port[:20]!r} is out of range")
    ipaddress.ip_address(host)
    if state not in (READY_STATE, DRAINING_STATE):
        raise ValueError(f"upstream record: unknown state {state!r}")
    if services is not None and service not in services:
        raise ValueError(f"upstream record: service {service!r} is not configured")
    return Upstream(
        id=UpstreamId(upstream_id),
        service=ServiceName(service),
        host=host,
        port=port_number,
        failure_domain=FailureDomain(zone),
        slots=int(slots),
        is_draining=state == DRAINING_STATE,
        cold_remaining=cold_remaining_ms / 1000,
        started_at_ms=int(started_at_ms),
        sequence=int(sequence),
        versions=versions,
        software_version=SoftwareVersion(software_version),
    )
