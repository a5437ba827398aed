"""Records by which entries tell each other what upstreams stated, and their demand."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from buckthornstile.base import ProcessName, ServiceName, UpstreamId, parse_json

MAX_LIMIT = 10_000.0
"""Requests per second; all entries together do not send as many to one upstream."""
MAX_DEMAND = 1e6
"""Requests per second that one process can want."""
MAX_TIME_MS = 1 << 53
"""Milliseconds since the epoch; a time beyond it is not exact in JSON."""
MAX_AGE = 1e6
"""Seconds; no statement is published for as long."""
MAX_LEAVING_STATEMENTS = 64
"""Number of departures in one record, which bounds its size."""


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one incarnation of an upstream last stated about its rate limit.

    Attributes:
        started_at_ms: Start of the incarnation, in milliseconds since the epoch.
        limit: Requests per second from all processes together, or None for no limit.
        stated_at: Time of the response with the statement, in seconds.
    """

    started_at_ms: int
    limit: float | None
    stated_at: float


@dataclass(frozen=True, slots=True)
class LeavingStatement:
    """One incarnation of an upstream stated that it leaves.

    Attributes:
        started_at_ms: Start of the incarnation, in milliseconds since the epoch.
        stated_at: Time of the response with the statement, in seconds.
    """

    started_at_ms: int
    stated_at: float


@dataclass(frozen=True, slots=True)
class RateRecord:
    """A process's demand, and the statements that it received.

    Processes of an earlier version read the limits and ignore the departures.

    Attributes:
        name: Name of the process.
        demands: Requests per second that the process would send to each service.
        statements: Recent statements; ``stated_at`` is the negated age in seconds.
        departures: Recent statements that an upstream leaves; ``stated_at`` is the
            negated age in seconds.
        unreadable_count: Number of departures that could not be decoded.
        sequence: Number of the process's records until this one, or 0 if unknown.
    """

    name: ProcessName
    demands: Mapping[ServiceName, float] = field(default_factory=dict)
    statements: Mapping[UpstreamId, LimitStatement] = field(default_factory=dict)
    departures: Mapping[UpstreamId, LeavingStatement] = field(default_factory=dict)
    unreadable_count: int = 0
    sequence: int = 0

    def encode(self) -> bytes:
        """Returns the record as bytes."""
        statements = {
            upstream: [
                statement.started_at_ms,
                statement.limit,
                round(statement.stated_at, 3),
            ]
            for upstream, statement in self.statements.items()
        }
        demands = {service: round(rate, 2) for service, rate in self.demands.items()}
        data: dict[str, object] = {
            "name": self.name,
            "demands": demands,
            "limits": statements,
            "sequence": self.sequence,
        }
        if self.departures:
            data["leaving"] = {
                upstream: [statement.started_at_ms, round(statement.stated_at, 3)]
                for upstream, statement in self.departures.items()
            }
        return json.dumps(data).encode()


def decode_limit(limit: float | None) -> float | None:
    """Returns a limit from outside the process; one over ``MAX_LIMIT`` is none."""
    return float(limit) if limit is not None and 0 <= limit <= MAX_LIMIT else None


def decode_rate_record(data: bytes) -> RateRecord | None:
    """Decodes a record.

    Returns:
        The record, or None if the data is a record of another kind.

    Raises:
        ValueError: The record is malformed.
    """
    fields = parse_json(data)
    if not isinstance(fields, dict):
        return None
    departures, unreadable_count = _decode_departures(fields.get("leaving", {}))
    try:
        return RateRecord(
            ProcessName(fields["name"]),
            {
                ServiceName(service): min(MAX_DEMAND, max(0.0, float(rate)))
                for service, rate in fields["demands"].items()
            },
            {
                UpstreamId(upstream): LimitStatement(
                    int(started_at_ms),
                    decode_limit(limit),
                    min(0.0, float(negated_age)),
                )
                for upstream, (started_at_ms, limit, negated_age) in fields[
                    "limits"
                ].items()
            },
            departures,
            unreadable_count,
            int(fields.get("sequence", 0)),
        )
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed rate record: {error}") from error


def _decode_departures(
    fields: object,
) -> tuple[dict[UpstreamId, LeavingStatement], int]:
    """Returns the departures, and the number of those that are malformed.

    A malformed departure is skipped, so that it makes neither the limits in the same
    record nor the other departures unreadable.
    """
    if not isinstance(fields, dict):
        return {}, 1
    departures = {}
    for upstream, values in list(fields.items())[:MAX_LEAVING_STATEMENTS]:
        match values:
            case [int(started_at_ms), int() | float() as negated_age] if (
                not isinstance(started_at_ms, bool)
                and 0 <= started_at_ms <= MAX_TIME_MS
                and -MAX_AGE <= negated_age <= 0
            ):
                departures[UpstreamId(upstream)] = LeavingStatement(
                    started_at_ms, float(negated_age)
                )
    return departures, len(fields) - len(departures)
