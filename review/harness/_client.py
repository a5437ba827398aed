"""A small HTTP/1.1 client that shows exactly how a connection ended."""

import asyncio
import contextlib
from dataclasses import dataclass, field

CONNECT_SECONDS = 1.0


@dataclass
class Answer:
    """Outcome of one request.

    Attributes:
        outcome: ``answered``, ``closed`` (the connection ended without a complete
            answer), ``timeout`` or ``not_sent``.
        status: Status of the answer, or 0.
        headers: Its headers by lower-case name.
        body: Its body.
    """

    outcome: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Connection:
    """A client's kept connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Opens the connection."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(CONNECT_SECONDS):
            self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        timeout: float,
    ) -> Answer:
        """Sends a request and reads its answer."""
        assert self.reader is not None and self.writer is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
        except OSError:
            return Answer("not_sent")
        answer = Answer("timeout")
        try:
            async with asyncio.timeout(timeout):
                await self._read(answer)
        except TimeoutError:
            answer.outcome = "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.outcome = "closed"
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self.reader is not None
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        answer.status = int(status_line.split()[1])
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                answer.body += (await self.reader.readexactly(size + 2))[:size]
                if not size:
                    break
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)
        answer.outcome = "answered"


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout: float = 5.0,
) -> Answer:
    """Sends one request on a new connection."""
    connection = Connection(address)
    try:
        await connection.open()
    except (OSError, TimeoutError):
        return Answer("not_sent")
    try:
        return await connection.send(method, target, headers, body, timeout=timeout)
    finally:
        with contextlib.suppress(OSError):
            connection.close()
