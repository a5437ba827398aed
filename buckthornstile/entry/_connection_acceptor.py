"""Accepts connections, also while the process has no free descriptors."""

import asyncio
import errno
import socket
from collections.abc import Callable, Sequence
from typing import Any

from buckthornstile.client_memory import EvictionReason
from buckthornstile.entry._client_guard import ClientGuard

ACCEPT_BATCH = 128
"""Maximum number of connections that one turn of the event loop accepts."""
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a process or machine without free descriptors or memory."""
ERROR_PAUSE = 0.1
"""Seconds without accepting after an error. The socket stays readable meanwhile, so
that the event loop would otherwise call the accept handler without a pause."""
CLOSED_AFTER_ERROR = 16
"""Number of idle connections that are closed when descriptors run out."""


class ConnectionAcceptor:
    """Accepts connections on listening sockets.

    Args:
        sockets: The listening sockets.
        on_accept: Called with each accepted socket and its address.
        guard: Bounds the number of connections.
        is_internal: Whether clients are the platform or other entries.
    """

    def __init__(
        self,
        sockets: Sequence[socket.socket],
        on_accept: Callable[[socket.socket, Any], None],
        guard: ClientGuard,
        *,
        is_internal: bool,
    ) -> None:
        self.sockets = sockets
        self.on_accept = on_accept
        self.guard = guard
        self.is_internal = is_internal
        self.is_stopped = False

    def start(self) -> None:
        """Starts to accept connections."""
        for listening in self.sockets:
            self._resume(listening)

    def stop(self) -> None:
        """Closes the listening sockets."""
        if self.is_stopped:
            return
        self.is_stopped = True
        for listening in self.sockets:
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()

    def _resume(self, listening: socket.socket) -> None:
        if not self.is_stopped:
            loop = asyncio.get_running_loop()
            loop.add_reader(listening, self._accept, listening)

    def _accept(self, listening: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            if self.is_stopped:
                return
            try:
                connection, address = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    # A pending error of the client's network, such as EHOSTUNREACH.
                    continue
                self._handle_error(listening)
                return
            if self.guard.make_room(is_internal=self.is_internal):
                self.on_accept(connection, address)
            else:
                connection.close()

    def _handle_error(self, listening: socket.socket) -> None:
        """Frees descriptors and pauses."""
        for _ in range(CLOSED_AFTER_ERROR):
            if not self.guard.close_one(EvictionReason.DESCRIPTORS):
                break
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(ERROR_PAUSE, self._resume, listening)
