"""Records by which entries tell each other which work they have for engines.

A record is a JSON object with a section for each subject. Unknown sections and further
fields of a row are ignored, so that a later version may add to them.
"""

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from buckthornstile.base import (
    AccountId,
    ProcessName,
    ServiceName,
    UpstreamId,
    parse_json,
)
from buckthornstile.topology import ModelName

RECORD_KIND = "shares"
MAX_RECORD_BYTES = 4096
"""Maximum size of a record; each entry appends about two a second, which all read."""
MAX_DEMAND_BYTES = 1600
"""Maximum size of the rows of demands; the smallest demands are left out."""
MAX_RUNNING_BYTES = 900
"""Maximum size of the running items by engine; the smallest numbers are left out. The
rest of the record is for the other sections."""
MAX_SERVICES = 8
"""Maximum number of services whose refusals a record states."""
MAX_COUNT = 1_000_000
"""Maximum number of items that a record may state."""
MAX_WORK = 1e9
"""Maximum work that a record may state, in events."""
MAX_PRIORITY = 1_000
"""Largest priority, and the smallest one negated, that a record may state."""
MAX_AGE = 1e6
"""Maximum age that a record may state, in seconds."""


@dataclass(frozen=True, slots=True, order=True)
class Flow:
    """The items of one route and one client account."""

    route: str
    account: AccountId


@dataclass(frozen=True, slots=True)
class EngineDemand:
    """What an owner has to run for one flow at the engines of a service.

    Attributes:
        service: The service.
        flow: Route and client account of the items.
        priority: Priority of the flow; a lower number is more urgent.
        model: The model that must run the items, or empty for any.
        minimum_version: Oldest version of the model that may run them.
        waiting: Number of items that wait for an engine.
        running: Number of items that run at an engine.
        work: Number of events that these items are expected to generate yet.
    """

    service: ServiceName
    flow: Flow
    priority: int
    model: ModelName = ModelName("")
    minimum_version: int = 0
    waiting: int = 0
    running: int = 0
    work: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSection:
    """What an owner states about engines.

    Attributes:
        demands: Its demands.
        running: Number of its open requests at each engine.
        is_running_complete: Whether ``running`` names all engines with open requests.
        pressure: Age in seconds of the newest observation that the engines of a service
            may need shares: a refusal, or a report of a slowdown.
    """

    demands: tuple[EngineDemand, ...] = ()
    running: Mapping[UpstreamId, int] = field(default_factory=dict)
    is_running_complete: bool = True
    pressure: Mapping[ServiceName, float] = field(default_factory=dict)

    def count_waiting(self, service: ServiceName) -> int:
        """Returns the number of items that wait for the engines of a service."""
        return sum(
            demand.waiting for demand in self.demands if demand.service == service
        )


@dataclass(frozen=True, slots=True)
class ShareRecord:
    """What an entry tells the others about its work and its use of upstreams.

    Attributes:
        name: Name of the process.
        engines: What it states as an owner of jobs.
    """

    name: ProcessName
    engines: EngineSection = EngineSection()

    def encode(self) -> bytes:
        """Returns the record as at most ``MAX_RECORD_BYTES`` bytes."""
        data = {
            "kind": RECORD_KIND,
            "name": self.name,
            "engines": _encode_engines(self.engines),
        }
        return json.dumps(data, separators=(",", ":")).encode()


def _encode_engines(section: EngineSection) -> dict[str, object]:
    demands = sorted(
        section.demands,
        key=lambda demand: (-(demand.waiting + demand.running), demand.flow),
    )
    rows = (
        [
            demand.service,
            demand.flow.route,
            demand.flow.account,
            demand.priority,
            demand.model,
            demand.minimum_version,
            demand.waiting,
            demand.running,
            round(demand.work),
        ]
        for demand in demands
    )
    counts = sorted(section.running.items(), key=lambda item: (-item[1], item[0]))
    running = _take_bytes(([name, count] for name, count in counts), MAX_RUNNING_BYTES)
    pressure = sorted(section.pressure.items(), key=lambda item: item[1])
    return {
        "demands": _take_bytes(rows, MAX_DEMAND_BYTES),
        "running": running,
        "complete": section.is_running_complete and len(running) == len(counts),
        "pressure": [
            [service, round(age, 2)] for service, age in pressure[:MAX_SERVICES]
        ],
    }


def _take_bytes(rows: Iterable[list], max_bytes: int) -> list[list]:
    """Returns the first rows that fit into a number of bytes."""
    taken = []
    for row in rows:
        max_bytes -= len(json.dumps(row, separators=(",", ":"))) + 1
        if max_bytes < 0:
            break
        taken.append(row)
    return taken


def decode_share_record(data: bytes) -> ShareRecord | None:
    """Decodes a record.

    Returns:
        The record, or None if the data is a record of another kind.

    Raises:
        ValueError: The record is malformed.
    """
    fields = parse_json(data)
    if not isinstance(fields, dict) or fields.get("kind") != RECORD_KIND:
        return None
    if len(data) > MAX_RECORD_BYTES:
        raise ValueError(f"share record of {len(data)} bytes")
    try:
        return ShareRecord(
            ProcessName(_check_text(fields["name"])),
            _decode_engines(fields.get("engines") or {}),
        )
    except (LookupError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed share record: {error}") from error


def _decode_engines(fields: dict) -> EngineSection:
    return EngineSection(
        tuple(_decode_demand(*row[:9]) for row in fields.get("demands", ())),
        {
            UpstreamId(_check_text(row[0])): int(_clamp(row[1], 0, MAX_COUNT))
            for row in fields.get("running", ())
        },
        bool(fields.get("complete", False)),
        {
            ServiceName(_check_text(row[0])): _clamp(row[1], 0, MAX_AGE)
            for row in fields.get("pressure", ())
        },
    )


def _decode_demand(
    service: object,
    route: object,
    account: object,
    priority: object,
    model: object,
    minimum_version: object,
    waiting: object,
    running: object,
    work: object,
) -> EngineDemand:
    return EngineDemand(
        ServiceName(_check_text(service)),
        Flow(_check_text(route), AccountId(_check_text(account))),
        int(_clamp(priority, -MAX_PRIORITY, MAX_PRIORITY)),
        ModelName(_check_text(model)),
        int(_clamp(minimum_version, 0, 1 << 53)),
        int(_clamp(waiting, 0, MAX_COUNT)),
        int(_clamp(running, 0, MAX_COUNT)),
        _clamp(work, 0, MAX_WORK),
    )


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} where a text is expected")
    return value


def _clamp(value: object, low: float, high: float) -> float:
    if not isinstance(value, int | float) or math.isnan(value):
        raise TypeError(f"{str(value)[:20]!r} where a number is expected")
    return min(high, max(low, value))
