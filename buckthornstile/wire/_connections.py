"""Connections between processes: framing, handshake, batched writes."""

import asyncio
import secrets
import ssl
from collections import deque
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from buckthornstile.base import BuckthornstileError, ErrorCode, Verdict
from buckthornstile.wire._codec import decode_message, encode_message
from buckthornstile.wire._frames import (
    MAX_FRAME_BYTES,
    MAX_UNPROVEN_FRAME_BYTES,
    FrameParser,
    make_frame,
)
from buckthornstile.wire._handshake import (
    NONCE_BYTES,
    Identity,
    check_hello,
    check_welcome,
    make_hello,
    make_welcome,
)
from buckthornstile.wire._messages import Challenge, Hello, Message, Welcome

HANDSHAKE_TIMEOUT_SECONDS = 3.0
READ_BYTES = 256 << 10
HIGH_WATER_BYTES = 4 << 20
MAX_WRITE_BUFFER_BYTES = 128 << 20


class Connection:
    """One proven connection to another process of the system.

    Messages sent within one turn of the event loop leave in one write.

    Args:
        stream: The TCP or TLS stream.
        max_frame_bytes: The greatest frame accepted for now.
    """

    def __init__(
        self, stream: IOStream, max_frame_bytes: int = MAX_UNPROVEN_FRAME_BYTES
    ) -> None:
        self.stream = stream
        self.peer: Identity | None = None
        self.bytes_sent = 0
        self.bytes_received = 0
        self._parser = FrameParser(max_frame_bytes)
        self._received: deque[bytes] = deque()
        self._outgoing: list[bytes] = []
        self._last_write: asyncio.Future[None] | None = None

    def trust(self, peer: Identity) -> None:
        """Notes the proven peer and accepts frames of full size from it."""
        self.peer = peer
        self._parser.max_frame_bytes = MAX_FRAME_BYTES

    async def receive(self) -> Message:
        """Waits for the next message.

        Returns:
            The message.

        Raises:
            BuckthornstileError: With ``CONNECTION_LOST`` or ``FRAME_MALFORMED``.
        """
        while not self._received:
            try:
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError as error:
                raise make_connection_error() from error
            self.bytes_received += len(data)
            self._received.extend(self._parser.feed(data))
        return decode_message(self._received.popleft())

    def send(self, message: Message) -> None:
        """Queues a message for the next write.

        Raises:
            BuckthornstileError: With ``CONNECTION_LOST`` if the stream is closed.
        """
        if self.stream.closed():
            raise make_connection_error()
        if not self._outgoing:
            asyncio.get_running_loop().call_soon(self._write)
        self._outgoing.append(make_frame(encode_message(message)))

    def _write(self) -> None:
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        try:
            self._last_write = self.stream.write(data)
        except StreamClosedError:
            return
        self.bytes_sent += len(data)
        # A failed write shows at the next receive; its future needs no reader.
        self._last_write.add_done_callback(lambda future: future.exception())

    async def wait_writable(self) -> None:
        """Waits while the peer is so slow that much is still unsent."""
        while (
            self._last_write is not None
            and not self.stream.closed()
            and len(self.stream._write_buffer) > HIGH_WATER_BYTES
        ):
            try:
                await asyncio.shield(self._last_write)
            except StreamClosedError:
                return

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self.stream.closed()

    def close(self) -> None:
        """Closes the stream at once."""
        self.stream.close()


def make_connection_error() -> BuckthornstileError:
    """Makes the error of a lost connection; its verdict is MAY_HAVE_RUN.

    Example:
        >>> make_connection_error().code.value
        'process.connection_lost'
    """
    return BuckthornstileError(
        ErrorCode.CONNECTION_LOST,
        "the connection to another process was lost",
        verdict=Verdict.MAY_HAVE_RUN,
    )


async def _receive_kind(connection: Connection, kind: type) -> Message:
    message = await asyncio.wait_for(connection.receive(), HANDSHAKE_TIMEOUT_SECONDS)
    if not isinstance(message, kind):
        raise BuckthornstileError(
            ErrorCode.FRAME_MALFORMED,
            f"a {type(message).__name__} came in place of a {kind.__name__}",
        )
    return message


async def dial_peer(
    address: str,
    port: int,
    identity: Identity,
    secret: str,
    *,
    ssl_context: ssl.SSLContext | None = None,
    timeout: float = HANDSHAKE_TIMEOUT_SECONDS,
) -> Connection:
    """Connects to another process and proves the deployment secret both ways.

    Args:
        address: The peer's IP number.
        port: The peer's TCP port.
        identity: Who dials.
        secret: The deployment secret.
        ssl_context: For TLS, or None for plain TCP.
        timeout: Seconds for the TCP connection.

    Returns:
        A connection whose ``peer`` is proven.

    Raises:
        BuckthornstileError: With ``CONNECTION_LOST``, ``PROOF_WRONG`` or
            ``FRAME_MALFORMED``.
    """
    try:
        stream = await asyncio.wait_for(
            TCPClient().connect(
                address,
                port,
                ssl_options=ssl_context,
                max_buffer_size=MAX_WRITE_BUFFER_BYTES,
            ),
            timeout,
        )
    except (OSError, StreamClosedError, TimeoutError) as error:
        raise make_connection_error() from error
    stream.set_nodelay(True)
    connection = Connection(stream)
    try:
        challenge = await _receive_kind(connection, Challenge)
        assert isinstance(challenge, Challenge)
        nonce = secrets.token_bytes(NONCE_BYTES)
        connection.send(
            make_hello(identity, secret, challenge=challenge.nonce, nonce=nonce)
        )
        welcome = await _receive_kind(connection, Welcome)
        assert isinstance(welcome, Welcome)
        connection.trust(
            check_welcome(welcome, secret, challenge=challenge.nonce, nonce=nonce)
        )
    except TimeoutError as error:
        connection.close()
        raise make_connection_error() from error
    except BuckthornstileError:
        connection.close()
        raise
    return connection


class PeerServer(TCPServer):
    """Listens for other processes and hands over proven connections.

    Args:
        identity: Who listens.
        secret: The deployment secret.
        on_connection: Awaited with each proven connection, for as long as it
            is to live.
        on_refusal: Called with the error of each connection that was refused.
        ssl_context: For TLS, or None for plain TCP.
        max_unproven: Handshakes allowed at once.
    """

    def __init__(
        self,
        identity: Identity,
        secret: str,
        *,
        on_connection: Callable[[Connection], Awaitable[None]],
        on_refusal: Callable[[BuckthornstileError], None],
        ssl_context: ssl.SSLContext | None = None,
        max_unproven: int = 256,
    ) -> None:
        super().__init__(
            ssl_options=ssl_context, max_buffer_size=MAX_WRITE_BUFFER_BYTES
        )
        self.identity = identity
        self.secret = secret
        self.on_connection = on_connection
        self.on_refusal = on_refusal
        self.max_unproven = max_unproven
        self._unproven = 0

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Proves one peer and serves it; tornado calls this."""
        stream.set_nodelay(True)
        connection = Connection(stream)
        if self._unproven >= self.max_unproven:
            connection.close()
            return
        self._unproven += 1
        try:
            await self._welcome(connection)
        except TimeoutError:
            self.on_refusal(make_connection_error())
            connection.close()
            return
        except BuckthornstileError as error:
            self.on_refusal(error)
            connection.close()
            return
        finally:
            self._unproven -= 1
        try:
            await self.on_connection(connection)
        except BuckthornstileError as error:
            self.on_refusal(error)
        finally:
            connection.close()

    async def _welcome(self, connection: Connection) -> None:
        challenge = secrets.token_bytes(NONCE_BYTES)
        connection.send(Challenge(challenge))
        hello = await _receive_kind(connection, Hello)
        assert isinstance(hello, Hello)
        peer = check_hello(hello, self.secret, challenge=challenge)
        connection.send(
            make_welcome(self.identity, self.secret, challenge=challenge, hello=hello)
        )
        connection.trust(peer)
