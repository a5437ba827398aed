"""HTTP listeners of an entry: accept connections and read requests."""

import socket
import ssl
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import IOStream, SSLIOStream
from tornado.netutil import bind_sockets, ssl_wrap_socket

from buckthornstile.entry._client_guard import ClientGuard, make_client_guard
from buckthornstile.entry._connection_acceptor import ConnectionAcceptor
from buckthornstile.entry._request_delegate import Handler, HTTPCodec, RequestDelegate
from buckthornstile.logs import log_event

MAX_HEADER_BYTES = 64 << 10
"""Size above which a request head is not read to its end and gets no response."""
MAX_BODY_BYTES = 64 << 20
READ_CHUNK_BYTES = 16 << 10
"""Maximum number of bytes that are read from a connection at once. As many may be held
for a connection whose reading is paused."""
DEFAULT_MAX_CLIENT_BYTES = 40 << 20
DEFAULT_MAX_CONNECTIONS = 2048
DEFAULT_WRITE_TIMEOUT = 20.0
"""Seconds in which a client must take a chunk of a response. A slower client would hold
an upstream's slot and memory; 64 KB in this time are 3 KB/s."""
LISTEN_BACKLOG = 1024
"""Number of connections that may wait to be accepted."""


class _Server(HTTPServer):
    """Tornado's server, which does not pass on by itself that a connection closed."""

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        assert isinstance(self.request_callback, HTTPServerConnectionDelegate)
        self.request_callback.on_close(server_conn)


class HTTPListener(HTTPServerConnectionDelegate):
    """HTTP server on one address.

    The task that handles a request is cancelled when the client disconnects.

    Args:
        handler: Returns the response to a request.
        address: Address to listen on, as ``IP:port``; port 0 selects a free port.
        codec: Decodes requests and encodes responses.
        idle_timeout: Seconds after which an idle connection is closed.
        write_timeout: Seconds after which the connection of a client that does not take
            the next chunk of its response is closed.
        ssl_options: TLS context, or None for plain HTTP.
        guard: Bounds what is held for clients; listeners share it. By default the
            listener has its own.
        is_internal: Whether clients are the platform or other entries.
    """

    def __init__(
        self,
        handler: Handler,
        address: str,
        codec: HTTPCodec,
        *,
        idle_timeout: float,
        write_timeout: float = DEFAULT_WRITE_TIMEOUT,
        ssl_options: ssl.SSLContext | None = None,
        guard: ClientGuard | None = None,
        is_internal: bool = False,
    ) -> None:
        self.handler = handler
        self.address = address
        self.codec = codec
        self.write_timeout = write_timeout
        self.ssl_options = ssl_options
        self.guard = guard or make_client_guard(
            max_bytes=DEFAULT_MAX_CLIENT_BYTES, max_connections=DEFAULT_MAX_CONNECTIONS
        )
        self.is_internal = is_internal
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.is_draining = False
        self.is_stopped = False
        self._idle_connections: dict[object, HTTPConnection] = {}
        self._open_requests: set[RequestDelegate] = set()
        self._server = _Server(
            self,  # type: ignore[arg-type]
            chunk_size=READ_CHUNK_BYTES,
            idle_connection_timeout=idle_timeout,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        self._acceptor: ConnectionAcceptor | None = None

    def listen(self) -> int:
        """Starts to accept connections and returns the port."""
        host, _, port = self.address.rpartition(":")
        sockets = bind_sockets(int(port), host, backlog=LISTEN_BACKLOG)
        self._acceptor = ConnectionAcceptor(
            sockets,
            self._serve_connection,
            self.guard,
            is_internal=self.is_internal,
        )
        self._acceptor.start()
        return int(sockets[0].getsockname()[1])

    def start_draining(self) -> None:
        """Closes each connection after its next response (``Connection: close``)."""
        self.is_draining = True
        self._server.conn_params.no_keep_alive = True

    @property
    def open_request_count(self) -> int:
        """Number of requests whose head was read and whose response is not written."""
        return len(self._open_requests)

    def stop_reading(self) -> None:
        """Stops reading requests and closes connections without an open request."""
        self.is_stopped = True
        self._stop_listening()
        for connection in list(self._idle_connections.values()):
            connection.close()  # type: ignore[attr-defined]

    def abort_open_requests(self) -> None:
        """Answers the open requests with an error, or breaks off their streams.

        The error states that a request may have run.
        """
        for delegate in list(self._open_requests):
            delegate.abort()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._stop_listening()
        await self._server.close_all_connections()

    def _stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.stop()

    def _serve_connection(self, connection: socket.socket, address: Any) -> None:
        try:
            stream = self._make_stream(connection)
        except OSError as error:
            # A client that disconnects at once, as in a port scan.
            log_event("client.not_accepted", reason=repr(error))
            connection.close()
            return
        self.guard.add_connection(stream)
        self._server.handle_stream(stream, address)

    def _make_stream(self, connection: socket.socket) -> IOStream:
        if self.ssl_options is None:
            return IOStream(connection, read_chunk_size=READ_CHUNK_BYTES)
        wrapped = ssl_wrap_socket(
            connection,
            self.ssl_options,
            server_side=True,
            do_handshake_on_connect=False,
        )
        return SSLIOStream(wrapped, read_chunk_size=READ_CHUNK_BYTES)

    # HTTPServerConnectionDelegate

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        # Called when a connection starts to wait for a request. A connection that was
        # just accepted does so one event loop iteration later, perhaps after
        # stop_reading.
        self._idle_connections[server_conn] = request_conn
        self.guard.start_waiting(request_conn.stream)  # type: ignore[attr-defined]
        if self.is_stopped:
            request_conn.close()  # type: ignore[attr-defined]
        return RequestDelegate(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        self._idle_connections.pop(server_conn, None)
        self.guard.remove_connection(server_conn.stream)  # type: ignore[attr-defined]

    def on_request_started(self, delegate: "RequestDelegate") -> None:
        """Registers a request whose head was read."""
        self._idle_connections.pop(delegate.server_connection, None)
        self.guard.end_waiting(delegate.stream)
        self._open_requests.add(delegate)

    def on_request_finished(self, delegate: "RequestDelegate") -> None:
        """Removes a request that has its response or whose client disconnected."""
        self._open_requests.discard(delegate)
