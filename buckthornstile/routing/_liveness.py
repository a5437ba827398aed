"""Which processes are alive, from direct heartbeats only."""

from dataclasses import dataclass

from buckthornstile.base import Incarnation, ProcessName


@dataclass(slots=True)
class _Life:
    incarnation: Incarnation
    sequence: int
    heard_at: float


class LivenessTable:
    """Remembers when each process was last heard.

    Args:
        timeout: Seconds without a heartbeat after which a process is dead.

    Example:
        >>> table = LivenessTable(timeout=3.0)
        >>> table.on_heartbeat("a1", "a1-0", 0, 10.0)
        True
        >>> table.is_alive("a1", 12.0), table.take_lost(14.0)
        (True, ('a1',))
    """

    def __init__(self, *, timeout: float = 3.0) -> None:
        self.timeout = timeout
        self._lives: dict[ProcessName, _Life] = {}

    def on_heartbeat(
        self, process: ProcessName, incarnation: Incarnation, sequence: int, now: float
    ) -> bool:
        """Takes in a heartbeat.

        Args:
            process: The sender.
            incarnation: The sender's present life.
            sequence: The heartbeat's number in that life.
            now: The clock reading, in seconds.

        Returns:
            Whether it is news; one that came out of order is not.
        """
        life = self._lives.get(process)
        same_life = life is not None and life.incarnation == incarnation
        if life is not None and same_life and sequence <= life.sequence:
            return False
        self._lives[process] = _Life(incarnation, sequence, now)
        return True

    def is_alive(self, process: ProcessName, now: float) -> bool:
        """Tells whether a process was heard within the timeout."""
        life = self._lives.get(process)
        return life is not None and now - life.heard_at <= self.timeout

    def list_alive(self, now: float) -> tuple[ProcessName, ...]:
        """Lists the processes heard within the timeout, in order of name."""
        return tuple(sorted(name for name in self._lives if self.is_alive(name, now)))

    def take_lost(self, now: float) -> tuple[ProcessName, ...]:
        """Forgets the processes that timed out, and gives their names."""
        lost = sorted(name for name in self._lives if not self.is_alive(name, now))
        for name in lost:
            del self._lives[name]
        return tuple(lost)
