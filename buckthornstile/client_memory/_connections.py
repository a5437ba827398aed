"""Clients' connections, and which of them is closed first."""

from collections.abc import Hashable

ConnectionKey = Hashable
"""Identifies a connection, such as its stream."""


class ConnectionTable:
    """Connections with a bound; those that wait for a request are closed first.

    Args:
        max_connections: Maximum number of connections.

    Example:
        >>> table = ConnectionTable(max_connections=1)
        >>> table.add("a")
        >>> table.set_waiting("a", 1.0)
        >>> table.is_full(), table.find_waiting()
        (True, 'a')
    """

    def __init__(self, *, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connections: set[ConnectionKey] = set()
        self._waiting_since: dict[ConnectionKey, float] = {}
        self._head_since: dict[ConnectionKey, float] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def is_full(self, *, allowance: int = 0) -> bool:
        """Whether no further connection may be accepted.

        Args:
            allowance: Connections that are allowed beyond the maximum.
        """
        return len(self._connections) >= self.max_connections + allowance

    def add(self, connection: ConnectionKey) -> None:
        """Adds a connection that was accepted."""
        self._connections.add(connection)

    def remove(self, connection: ConnectionKey) -> None:
        """Removes a connection that is closed."""
        self._connections.discard(connection)
        self.set_busy(connection)

    def set_waiting(self, connection: ConnectionKey, now: float) -> None:
        """Records that a connection waits for the head of a request."""
        self._waiting_since[connection] = now

    def set_busy(self, connection: ConnectionKey) -> None:
        """Records that the head of a request is complete."""
        self._waiting_since.pop(connection, None)
        self._head_since.pop(connection, None)

    def list_waiting(self) -> list[ConnectionKey]:
        """Returns the connections that wait for a complete head."""
        return list(self._waiting_since)

    def record_head(self, connection: ConnectionKey, now: float) -> float:
        """Records that a part of a head has arrived.

        Returns:
            Seconds since this was recorded first.
        """
        return now - self._head_since.setdefault(connection, now)

    def find_waiting(self) -> ConnectionKey | None:
        """Returns the oldest incomplete head, or else the longest idle connection."""
        for since in (self._head_since, self._waiting_since):
            found = min(since, key=since.__getitem__, default=None)
            if found is not None:
                return found
        return None
