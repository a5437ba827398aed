"""A fake entry that sends raw bytes, so that any fault can be written down."""

import asyncio
import contextlib
import hashlib
import json

HEAD = "HTTP/1.1 {} X\r\nContent-Type: text/plain\r\n{}\r\n"
EVENT = b"data: one\n\n"


def make_whole(status, body, *, length=None):
    declared = f"Content-Length: {len(body) if length is None else length}\r\n"
    return HEAD.format(status, declared).encode() + body


def make_chunked(body):
    return HEAD.format(200, "Transfer-Encoding: chunked\r\n").encode() + body


def make_refusal(status, code, verdict):
    error = {"code": code, "message": "no", "verdict": verdict}
    return make_whole(status, json.dumps({"error": error}).encode())


def make_stream(*parts):
    """Streams without a declared length, as a break would leave it."""
    return HEAD.format(200, "").encode() + b"".join(parts)


def make_end(*, data=EVENT, length=None, digest=None):
    digest = digest or hashlib.blake2b(data, digest_size=16).hexdigest()
    length = len(data) if length is None else length
    end = {"length": length, "digest": digest, "verdict": "ran"}
    return b"event: end\ndata: " + json.dumps(end).encode() + b"\n\n"


class FakeEntry:
    """Answers each request by a script: a function of (path, headers, body)."""

    def __init__(self, script):
        self.script = script
        self.requests = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *fields = head.strip().split("\r\n")
            headers = dict(field.split(": ", 1) for field in fields)
            body = await reader.readexactly(int(headers["Content-Length"]))
            self.requests.append((line.split()[1], headers, body))
            answer = self.script(*self.requests[-1])
            parts = [answer] if isinstance(answer, bytes) else answer
            for part in parts:
                if part is None:
                    await reader.read()
                    break
                writer.write(part)
                await writer.drain()
        writer.close()
