"""Progress for a person, and the one line of JSON at the end."""

import json
import time
from typing import Any


class Report:
    """Collects what was measured and what is wrong.

    Example:
        >>> report = Report()
        >>> report.check("cut_requests", 1, 0)
        >>> report.problems
        ['cut_requests is 1, not 0']
    """

    def __init__(self) -> None:
        self.fields: dict[str, Any] = {}
        self.problems: list[str] = []
        self.started = time.monotonic()

    @property
    def seconds(self) -> float:
        """Time since the start."""
        return round(time.monotonic() - self.started, 1)

    def say(self, text: str) -> None:
        """Prints a line of progress."""
        print(f"{self.seconds:5.1f} s  {text}", flush=True)

    def note(self, name: str, value: object) -> None:
        """Takes a figure that has no bound."""
        self.fields[name] = value

    def check(self, name: str, value: object, wanted: object) -> None:
        """Takes a figure that must have one value."""
        self.fields[name] = value
        if value != wanted:
            self.fail(f"{name} is {value}, not {wanted}")

    def check_at_most(self, name: str, value: float, limit: float) -> None:
        """Takes a figure with an upper bound."""
        self.fields[name] = value
        if not value <= limit:
            self.fail(f"{name} is {value}, over {limit}")

    def check_positive(self, name: str, value: float) -> None:
        """Takes a figure that must not be zero."""
        self.fields[name] = value
        if not value > 0:
            self.fail(f"{name} is {value}")

    def fail(self, problem: str) -> None:
        """Takes what is wrong."""
        self.problems.append(problem)

    def finish(self) -> int:
        """Prints the line of JSON, and gives the exit status."""
        for problem in self.problems:
            self.say(f"WRONG: {problem}")
        ok = not self.problems
        line = {"ok": ok, **self.fields, "seconds": self.seconds}
        if self.problems:
            line["problems"] = self.problems
        print(json.dumps(line), flush=True)
        return 0 if ok else 1
