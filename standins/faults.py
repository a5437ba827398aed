"""Fault injection for the stand-ins."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Fault:
    """A fault that a stand-in injects.

    Args:
        kind: Kind of the fault; each stand-in documents its kinds.
        target: Interface that the fault affects, or empty for all.
        seconds: Duration in seconds, for slow, late or missing responses.
        value: Number whose meaning depends on the kind, such as a count of events.
        count: Number of times that the fault still occurs, or None for no limit.
    """

    kind: str
    target: str = ""
    seconds: float = 0.0
    value: float = 0.0
    count: int | None = None


class FaultInjector:
    """The enabled faults of a stand-in.

    Args:
        immediate_actions: Functions by fault kind; a fault of such a kind calls its
            function once, when it is added.

    Example:
        >>> injector = FaultInjector()
        >>> injector.add({"kind": "down", "target": "log", "count": 1})
        >>> injector.consume("down", "log").kind, injector.consume("down", "log")
        ('down', None)
    """

    def __init__(
        self, immediate_actions: Mapping[str, Callable[[Fault], None]] | None = None
    ) -> None:
        self.immediate_actions = immediate_actions or {}
        self._faults: list[Fault] = []

    def add(self, fields: dict[str, Any]) -> None:
        """Enables a fault, or runs its immediate action.

        Args:
            fields: Fields of a Fault.
        """
        fault = Fault(**fields)
        if fault.kind in self.immediate_actions:
            self.immediate_actions[fault.kind](fault)
        else:
            self._faults.append(fault)

    def clear(self, kind: str = "") -> None:
        """Disables the faults of one kind, or all faults."""
        self._faults = [f for f in self._faults if kind and f.kind != kind]

    def consume(self, kind: str, target: str = "") -> Fault | None:
        """Returns an enabled fault and counts one occurrence, or returns None."""
        for fault in self._faults:
            if fault.kind != kind or fault.target not in ("", target):
                continue
            if fault.count is not None:
                fault.count -= 1
                if fault.count <= 0:
                    self._faults.remove(fault)
            return fault
        return None
