"""A fake entry that sends raw bytes, so that a test can send any malformed response."""

import asyncio
import contextlib
import hashlib
import json

RESPONSE_HEAD = "HTTP/1.1 {} X\r\nContent-Type: text/plain\r\n{}\r\n"
SAMPLE_EVENT = b"data: one\n\n"


def make_response(status, body, *, content_length=None):
    declared = (
        f"Content-Length: {len(body) if content_length is None else content_length}\r\n"
    )
    return RESPONSE_HEAD.format(status, declared).encode() + body


def make_chunked_response(body):
    return RESPONSE_HEAD.format(200, "Transfer-Encoding: chunked\r\n").encode() + body


def make_error_response(status, code, verdict):
    error = {"code": code, "message": "no", "verdict": verdict}
    return make_response(status, json.dumps({"error": error}).encode())


def make_stream_response(*parts):
    """Returns a response without a declared length, which ends with its connection."""
    return RESPONSE_HEAD.format(200, "").encode() + b"".join(parts)


def make_end_event(*, data=SAMPLE_EVENT, length=None, digest=None):
    digest = digest or hashlib.blake2b(data, digest_size=16).hexdigest()
    length = len(data) if length is None else length
    end = {"length": length, "digest": digest, "verdict": "ran"}
    return b"event: end\ndata: " + json.dumps(end).encode() + b"\n\n"


class FakeEntry:
    """An HTTP server whose responses come from a function of the test.

    Args:
        respond: Function of the path, headers and body of a request that returns
            the response as bytes or as a list of parts. For the part None the
            server sends nothing more until the client closes the connection.
    """

    def __init__(self, respond):
        self.respond = respond
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
            request_head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *fields = request_head.strip().split("\r\n")
            headers = dict(field.split(": ", 1) for field in fields)
            body = await reader.readexactly(int(headers["Content-Length"]))
            self.requests.append((line.split()[1], headers, body))
            response = self.respond(*self.requests[-1])
            parts = [response] if isinstance(response, bytes) else response
            for part in parts:
                if part is None:
                    await reader.read()
                    break
                writer.write(part)
                await writer.drain()
        writer.close()
