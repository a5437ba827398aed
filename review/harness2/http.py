"""A small HTTP/1.1 client: one request on a new connection."""

import asyncio
import socket
import time
from dataclasses import dataclass, field


@dataclass
class Answer:
    """What came back; ``is_complete`` is whether the body arrived to its end."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended_at: float = 0.0


def find_free_port(address: str) -> int:
    """Returns a port of an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


async def fetch(
    address: str,
    port: int,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
    on_chunk=None,  # noqa: ANN001
) -> Answer:
    """Sends a request and returns what arrives of its answer within ``timeout``.

    Raises:
        OSError: The connection was refused.
    """
    answer = Answer()
    reader, writer = await asyncio.open_connection(address, port)
    try:
        async with asyncio.timeout(timeout):
            fields = {"Host": address, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            head = f"{method} {target} HTTP/1.1\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(head.encode() + b"\r\n" + body)
            await _read_answer(reader, answer, on_chunk)
            answer.is_complete = True
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        pass  # The answer is incomplete.
    finally:
        answer.ended_at = time.time()
        writer.transport.abort()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader,
    answer: Answer,
    on_chunk,  # noqa: ANN001
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.strip().lower()] = value.strip()

    def take(data: bytes) -> None:
        answer.body += data
        if on_chunk is not None:
            on_chunk(answer)

    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            take(data[:-2])
    length = int(answer.headers.get("content-length", "0"))
    while len(answer.body) < length:
        data = await reader.read(min(65536, length - len(answer.body)))
        if not data:
            raise EOFError
        take(data)
