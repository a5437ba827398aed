"""What operators and upstreams write to the store, in the product's own types."""

import json
from typing import Any

from buckthornstile.base import (
    AccountId,
    FailureDomain,
    ServiceName,
    UpstreamId,
    WeightVersion,
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

KINDS = {"safe": RouteKind.IDEMPOTENT, "rollout": RouteKind.ROLLOUT}
READY, DRAINING = "ready", "draining"


def decode_configuration(value: bytes) -> PlatformConfiguration:
    """Decodes a whole configuration.

    Raises:
        ValueError: It does not have the agreed form.
    """
    try:
        data = json.loads(value)
        limits = data.get("limits") or {}
        return PlatformConfiguration(
            version=int(data["version"]),
            routes=tuple(_decode_route(route) for route in data.get("routes") or ()),
            services={
                ServiceName(one["name"]): _decode_service(one)
                for one in data.get("services") or ()
            },
            accounts=tuple(
                PlatformAccount(
                    AccountId(one["name"]),
                    tuple(one.get("apiKeys") or ()),
                    one.get("priority"),
                )
                for one in data.get("tenants") or ()
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
    split = data.get("trafficSplit") or ()
    services = tuple(
        (ServiceName(one["service"]), float(one.get("weight", 1))) for one in split
    )
    if not services and data.get("service"):
        services = ((ServiceName(data["service"]), 1.0),)
    return Route(
        name=data["name"],
        host=data["hostname"].lower(),
        path_prefix=data["pathPrefix"],
        kind=KINDS.get(data.get("kind", ""), RouteKind.AT_MOST_ONCE),
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
        models=tuple(ModelName(one["name"]) for one in models),
    )


def decode_named_version(value: bytes) -> tuple[ModelName, int]:
    """Decodes the version that a trainer named for a model.

    Raises:
        ValueError: It does not have the agreed form.
    """
    try:
        data = json.loads(value)
        return ModelName(data["model"]), int(data["version"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"named version: {type(error).__name__}") from error


def decode_upstream(
    upstream_id: str, value: bytes, services: set[ServiceName] | None = None
) -> Upstream:
    """Decodes what an upstream says of itself.

    The entry's ``sequence`` counts its own writes, not the orders that it took.

    Args:
        upstream_id: Its id, which only the record's key holds.
        value: The entry.
        services: The services that are configured, if known.

    Raises:
        ValueError: It comes from another writer or cannot be read.
    """
    try:
        data = json.loads(value)
        state = data["state"]
        service, address, zone = data["service"], data["address"], data["zone"]
        host, _, port = address.rpartition(":")
        cold, slots = data.get("coldRemainingMs", 0), data["slots"]
        started_at_ms, beat = data.get("born", 0), data.get("sequence", 0)
        models = data.get("models") or ()
        versions = {
            ModelName(one["name"]): WeightVersion(one["version"]) for one in models
        }
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"upstream entry: {type(error).__name__}: {error}") from error
    numbers = (cold, slots, started_at_ms, beat, *versions.values())
    texts = (service, zone, host, *versions)
    if any(
        isinstance(one, bool) or not isinstance(one, int | float) for one in numbers
    ):
        raise ValueError("upstream entry: a number has another type")
    if any(not isinstance(one, str) or not one for one in texts):
        raise ValueError("upstream entry: a text has another type")
    if state not in (READY, DRAINING):
        raise ValueError(f"upstream entry: state {state!r} is not known")
    if services is not None and service not in services:
        raise ValueError(f"upstream entry: service {service!r} is not configured")
    return Upstream(
        id=UpstreamId(upstream_id),
        service=ServiceName(service),
        host=host,
        port=int(port),
        failure_domain=FailureDomain(zone),
        slots=int(slots),
        is_draining=state == DRAINING,
        cold_remaining=cold / 1000,
        started_at_ms=int(started_at_ms),
        sequence=int(beat),
        versions=versions,
    )
