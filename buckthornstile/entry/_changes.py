"""The last changes of state, for operators to read."""

from collections import deque
from collections.abc import Callable
from dataclasses import asdict, dataclass

from buckthornstile.logs import log_change

MAX_CHANGES = 500


@dataclass(frozen=True, slots=True)
class Change:
    """One change of state.

    Args:
        at: When, in seconds since the epoch.
        code: What changed, as a stable code.
        message: One sentence for a person.
        subject: What it concerns.
    """

    at: float
    code: str
    message: str
    subject: str = ""


class ChangeLog:
    """Writes one line for each change of state, and keeps the last ones.

    Args:
        read_wall: Gives the wall clock, in seconds since the epoch.

    Example:
        >>> changes = ChangeLog(read_wall=lambda: 0.0)
        >>> changes.note("upstream.ejected", "ejected", "u1")
        >>> changes.list_changes()[0]["subject"]
        'u1'
    """

    def __init__(self, *, read_wall: Callable[[], float]) -> None:
        self.read_wall = read_wall
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)

    def note(self, code: str, message: str, subject: str = "") -> None:
        """Notes a change.

        Args:
            code: What changed.
            message: One sentence.
            subject: What it concerns.
        """
        self._changes.append(Change(self.read_wall(), code, message, subject))
        log_change(code, message, subject=subject)

    def list_changes(self, subject: str = "") -> list[dict[str, object]]:
        """Lists the kept changes, oldest first, ready for JSON.

        Args:
            subject: What they concern, or their code or its first part; empty
                for all.

        Returns:
            The changes.
        """
        return [
            asdict(change)
            for change in self._changes
            if subject in ("", change.subject) or is_code_of(change.code, subject)
        ]


def is_code_of(code: str, subject: str) -> bool:
    """Tells whether a code is the subject, or begins with it as its first part.

    Args:
        code: The code.
        subject: A code or its first part.

    Example:
        >>> is_code_of("load.queue_full", "load"), is_code_of("load.x", "lo")
        (True, False)
    """
    return code == subject or code.startswith(f"{subject}.")
