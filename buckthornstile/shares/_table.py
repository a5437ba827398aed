"""The owners' records, and the decision whether a run may be sent to an engine now."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from buckthornstile.base import ProcessName, ServiceName, UpstreamId
from buckthornstile.shares._assignment import (
    Assignment,
    Engine,
    compute_assignment,
)
from buckthornstile.shares._records import EngineDemand, ShareRecord

RECORD_LIFETIME = 2.0
"""Seconds after its arrival for which a record is used; four may have been lost."""
EVIDENCE_LIFETIME = 0.5
"""Seconds for which a report or a record shows that another owner's slot is free."""
FULL_REPORT_LIFETIME = 0.1
"""Seconds for which a report that an engine is full keeps an owner from its own slots.
In this time, about one run ends at an engine of 6 slots."""
MAX_QUEUED_RUNS = 2
"""Number of runs in its own slots that an owner may add to those that a report shows:
in half a second, several of the others' runs end."""
PRESSURE_LIFETIME = 5.0
"""Seconds after a refusal or a report of a slowdown for which shares are in effect."""
UNUSED_SLOT_TIMEOUT = 0.25
"""Seconds after which a slot that stays free is used although its owner has waiting
items, or although what shows that it is free is old. Its owner may be unable to use the
engine for a reason of its own, such as an ejection."""
MAX_CHECK_INTERVAL = 0.2
"""Seconds between two checks of an engine after which it is not known that a slot
stayed free in between."""
ASSIGNMENT_LIFETIME = 0.2
"""Seconds for which a computed assignment is used although records may have changed: it
takes 2 ms to compute for 18 engines and 20 ms for 600."""


class ShareMode(Enum):
    """Whether owners of jobs divide the engines among themselves."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class SlotUse(Enum):
    """Whether a run may be sent to an engine now."""

    OWN = "own"
    BORROWED = "borrowed"
    NOT_YET = "not_yet"


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an owner knows about an engine now.

    Attributes:
        id: Id of the engine.
        slots: Number of its slots.
        own_open: Number of the owner's open requests there.
        others_open: Number of the other processes' open requests there by its last
            report, or None without one.
        report_age: Age of that report, in seconds.
    """

    id: UpstreamId
    slots: int
    own_open: int
    others_open: int | None = None
    report_age: float = 0.0

    def is_full(self) -> bool:
        """Whether a report shows that the owner should not use its own slots yet.

        After ``FULL_REPORT_LIFETIME``, ``MAX_QUEUED_RUNS`` may be sent beyond them.
        """
        if self.others_open is None or self.report_age > EVIDENCE_LIFETIME:
            return False
        is_new = self.report_age <= FULL_REPORT_LIFETIME
        allowed = self.slots if is_new else self.slots + MAX_QUEUED_RUNS
        return self.own_open + self.others_open >= allowed


@dataclass(slots=True)
class _Received:
    record: ShareRecord
    at: float


@dataclass(slots=True)
class _FreeTime:
    """Time since which an engine had a free slot at each check."""

    since: float
    checked_at: float


@dataclass(slots=True)
class _Computed:
    assignment: Assignment
    at: float


class ShareTable:
    """The records of all owners, and what follows from them for one of them.

    Args:
        name: Name of the owner.
        mode: Whether shares are in effect.

    Example:
        >>> table = ShareTable("e1", ShareMode.ON)
        >>> table.is_in_effect("s", 0.0)
        False
        >>> table.apply(ShareRecord("e1"), 0.0)
        >>> table.is_in_effect("s", 0.0), table.is_in_effect("s", 2.5)
        (True, False)
    """

    def __init__(self, name: ProcessName, mode: ShareMode = ShareMode.AUTO) -> None:
        self.name = name
        self.mode = mode
        self._received: dict[ProcessName, _Received] = {}
        self._pressure_at: dict[ServiceName, float] = {}
        self._computed: dict[ServiceName, _Computed] = {}
        self._free_times: dict[UpstreamId, _FreeTime] = {}

    # Records

    def apply(self, record: ShareRecord, now: float) -> None:
        """Applies the record of an entry, which may be this one."""
        self._received[record.name] = _Received(record, now)
        for name, received in list(self._received.items()):
            if now - received.at > RECORD_LIFETIME:
                del self._received[name]

    def record_pressure(self, service: ServiceName, now: float) -> None:
        """Records that an engine refused a run or reported a slowdown."""
        self._pressure_at[service] = max(now, self._pressure_at.get(service, now))

    def get_own_pressure(self, service: ServiceName, now: float) -> float | None:
        """Returns the age of the last pressure that this process observed itself."""
        at = self._pressure_at.get(service)
        return now - at if at is not None and now - at <= PRESSURE_LIFETIME else None

    def has_pressure(self, service: ServiceName, now: float) -> bool:
        """Whether this process or another has observed pressure at a service."""
        if self.get_own_pressure(service, now) is not None:
            return True
        ages = (
            received.record.engines.pressure.get(service, PRESSURE_LIFETIME)
            + now
            - received.at
            for received in self._list_received(now)
        )
        return any(age < PRESSURE_LIFETIME for age in ages)

    def is_in_effect(self, service: ServiceName, now: float) -> bool:
        """Whether the slots of a service's engines are divided now.

        Without a recent record of this process, the others don't know it, or the store
        is unavailable.
        """
        own = self._received.get(self.name)
        if self.mode is ShareMode.OFF or own is None or now - own.at > RECORD_LIFETIME:
            return False
        if self.mode is ShareMode.ON:
            return True
        waiting_owners = sum(
            received.record.engines.count_waiting(service) > 0
            for received in self._list_received(now)
        )
        return waiting_owners >= 2 and self.has_pressure(service, now)

    def has_other_waiting(self, service: ServiceName, now: float) -> bool:
        """Whether another owner has waiting items for a service."""
        return any(
            received.record.name != self.name
            and received.record.engines.count_waiting(service) > 0
            for received in self._list_received(now)
        )

    def _list_received(self, now: float) -> list[_Received]:
        return [
            received
            for received in self._received.values()
            if now - received.at <= RECORD_LIFETIME
        ]

    def list_demands(
        self, service: ServiceName, now: float
    ) -> dict[ProcessName, list[EngineDemand]]:
        """Returns the demands for a service by owner, from recent records."""
        demands = {
            received.record.name: [
                demand
                for demand in received.record.engines.demands
                if demand.service == service
            ]
            for received in self._list_received(now)
        }
        return {name: rows for name, rows in demands.items() if rows}

    # Decisions

    def get_assignment(
        self,
        service: ServiceName,
        list_engines: Callable[[], Sequence[Engine]],
        now: float,
    ) -> Assignment:
        """Returns the assignment of a service's engines.

        Args:
            service: The service.
            list_engines: Returns the engines that receive new requests.
            now: The current time, in seconds.
        """
        computed = self._computed.get(service)
        if computed is None or now - computed.at >= ASSIGNMENT_LIFETIME:
            assignment = compute_assignment(
                list_engines(), self.list_demands(service, now)
            )
            computed = self._computed[service] = _Computed(assignment, now)
        return computed.assignment

    def decide(
        self,
        service: ServiceName,
        assignment: Assignment,
        engine: EngineState,
        now: float,
    ) -> SlotUse:
        """Decides whether a run of this owner may be sent to an engine now.

        Args:
            service: The service of the engine.
            assignment: The assignment of the service's engines.
            engine: What is known about the engine.
            now: The current time, in seconds.
        """
        shares = assignment.slots.get(engine.id, {})
        if engine.own_open < shares.get(self.name, 0):
            return SlotUse.NOT_YET if engine.is_full() else SlotUse.OWN
        others_open, is_recent = self._estimate_others(engine, now)
        free = engine.slots - engine.own_open - others_open
        if free <= 0:
            self._free_times.pop(engine.id, None)
            return SlotUse.NOT_YET
        free_for = self._measure_free_time(engine.id, now)
        reserved = self._count_reserved(service, engine.id, assignment, now)
        if (is_recent and free > reserved) or free_for >= UNUSED_SLOT_TIMEOUT:
            return SlotUse.BORROWED
        return SlotUse.NOT_YET

    def record_sent(self, engine: UpstreamId) -> None:
        """Records that a run was sent to an engine."""
        self._free_times.pop(engine, None)

    def _measure_free_time(self, engine: UpstreamId, now: float) -> float:
        """Returns the seconds for which an engine has had a free slot at each check."""
        known = self._free_times.get(engine)
        if known is None or now - known.checked_at > MAX_CHECK_INTERVAL:
            known = self._free_times[engine] = _FreeTime(now, now)
        known.checked_at = now
        return now - known.since

    def _estimate_others(self, engine: EngineState, now: float) -> tuple[int, bool]:
        """Returns the other owners' open requests, and whether this is recent."""
        if engine.others_open is not None and engine.report_age <= EVIDENCE_LIFETIME:
            return engine.others_open, True
        count, is_recent = 0, True
        for received in self._list_received(now):
            if received.record.name == self.name:
                continue
            section = received.record.engines
            count += section.running.get(engine.id, 0)
            if not section.is_running_complete or now - received.at > EVIDENCE_LIFETIME:
                is_recent = False
        return count, is_recent

    def _count_reserved(
        self,
        service: ServiceName,
        engine: UpstreamId,
        assignment: Assignment,
        now: float,
    ) -> int:
        """Returns the free slots of an engine whose owners have waiting items."""
        shares = assignment.slots.get(engine, {})
        reserved = 0
        for received in self._list_received(now):
            section, name = received.record.engines, received.record.name
            if name == self.name or not section.count_waiting(service):
                continue
            unused = shares.get(name, 0) - section.running.get(engine, 0)
            reserved += max(0, unused)
        return reserved
