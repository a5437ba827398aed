"""Scripted faults: which ones are on, for what, and how many times."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class Fault:
    """One scripted fault.

    Args:
        kind: What goes wrong; each stand-in lists its kinds.
        target: The interface concerned, or empty for all.
        seconds: A duration for slow, late or hanging answers.
        value: A number for kinds that need one.
        count: How many more times it strikes, or None for no limit.
    """

    kind: str
    target: str = ""
    seconds: float = 0.0
    value: float = 0.0
    count: int | None = None


class FaultInjector:
    """The faults that are on.

    Args:
        actions: Kinds that strike once, when they are added.

    Example:
        >>> table = FaultInjector()
        >>> table.add({"kind": "down", "target": "log", "count": 1})
        >>> table.consume("down", "log").kind, table.consume("down", "log")
        ('down', None)
    """

    def __init__(
        self, actions: Mapping[str, Callable[[Fault], None]] | None = None
    ) -> None:
        self.actions = actions or {}
        self._faults: list[Fault] = []

    def add(self, fields: dict[str, Any]) -> None:
        """Switches a fault on, from its fields; an action strikes at once."""
        fault = Fault(**fields)
        if fault.kind in self.actions:
            self.actions[fault.kind](fault)
        else:
            self._faults.append(fault)

    def clear(self, kind: str = "") -> None:
        """Switches off the faults of a kind, or all."""
        self._faults = [f for f in self._faults if kind and f.kind != kind]

    def consume(self, kind: str, target: str = "") -> Fault | None:
        """Finds a fault that is on and uses up one of its strikes."""
        for fault in self._faults:
            if fault.kind != kind or fault.target not in ("", target):
                continue
            if fault.count is not None:
                fault.count -= 1
                if fault.count <= 0:
                    self._faults.remove(fault)
            return fault
        return None
