"""Progress lines for a person, and a final line of JSON for a program."""

import json
import time
from typing import Any


class Report:
    """Collects measured values and the problems found in them.

    Example:
        >>> report = Report()
        >>> report.check_equal("cut_requests", 1, 0)
        >>> report.problems
        ['cut_requests is 1, not 0']
    """

    def __init__(self) -> None:
        self.fields: dict[str, Any] = {}
        self.problems: list[str] = []
        self.started_at = time.monotonic()

    @property
    def elapsed_seconds(self) -> float:
        """Seconds since the report was created."""
        return round(time.monotonic() - self.started_at, 1)

    def print_progress(self, text: str) -> None:
        """Prints a progress line."""
        print(f"{self.elapsed_seconds:5.1f} s  {text}", flush=True)

    def record(self, name: str, value: object) -> None:
        """Records a value without a check."""
        self.fields[name] = value

    def check_equal(self, name: str, value: object, expected: object) -> None:
        """Records a value that must equal the expected one."""
        self.fields[name] = value
        if value != expected:
            self.add_problem(f"{name} is {value}, not {expected}")

    def check_at_most(self, name: str, value: float, limit: float) -> None:
        """Records a value that must not exceed a limit."""
        self.fields[name] = value
        if not value <= limit:
            self.add_problem(f"{name} is {value}, over {limit}")

    def check_positive(self, name: str, value: float) -> None:
        """Records a value that must be positive."""
        self.fields[name] = value
        if not value > 0:
            self.add_problem(f"{name} is {value}")

    def add_problem(self, problem: str) -> None:
        """Records a problem, which makes the run fail."""
        self.problems.append(problem)

    def print_summary(self) -> int:
        """Prints the problems and the line of JSON, and returns the exit status."""
        for problem in self.problems:
            self.print_progress(f"WRONG: {problem}")
        ok = not self.problems
        line = {"ok": ok, **self.fields, "seconds": self.elapsed_seconds}
        if self.problems:
            line["problems"] = self.problems
        print(json.dumps(line), flush=True)
        return 0 if ok else 1
