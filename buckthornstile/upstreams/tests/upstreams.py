"""Upstreams for tests, in the same process."""

import asyncio
import contextlib
import json

from tornado import web

from buckthornstile.base import RequestId
from buckthornstile.ports import AnswerEnd, AnswerPart, UpstreamCall
from standins.server import listen


def serve(application: web.Application) -> str:
    port = listen(application, "127.0.0.1", 0)
    return f"http://127.0.0.1:{port}"


def make_call(
    number=0, *, path="/order", stream=False, tokens=20, timeout=5.0, idempotent=False
):
    body = {"prompt": "set a tooth", "max_tokens": tokens, "stream": stream}
    return UpstreamCall(
        request_id=RequestId(f"e1/{number}"),
        method="POST",
        path=path,
        content_type="application/json",
        body=json.dumps(body).encode(),
        stream=stream,
        timeout=timeout,
        idempotent=idempotent,
    )


async def collect(upstream, call):
    async with contextlib.aclosing(upstream.call(call)) as events:
        return [event async for event in events]


def join_parts(events):
    return b"".join(e.data for e in events if isinstance(e, AnswerPart))


def is_whole(events):
    return bool(events) and isinstance(events[-1], AnswerEnd)


class RawUpstream:
    """Reads requests and answers each with the same bytes."""

    def __init__(self, answer, *, closes=True):
        self.answer = answer
        self.closes = closes
        self.requests = 0
        self.connections = 0
        self.all_written = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split()[0])
                await reader.readexactly(length)
                self.requests += 1
                writer.write(self._make_answer(head))
                await writer.drain()
                self.all_written.set()
                if self.closes:
                    break
        writer.close()

    def _make_answer(self, head):
        """Fills in the request's own id, where the answer has a place for it."""
        request_id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
        return self.answer.replace(b"REQUEST-ID", request_id)
