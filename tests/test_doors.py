"""Garbage, slow senders, large bodies and early leavers at the doors."""

import asyncio
import contextlib
import json
import secrets

from buckthornstile.base import ErrorCode
from tests.support import World

CODES = {code.value for code in ErrorCode}
MAX_BODY_BYTES = 65536
READ_SECONDS = 10.0
HEAD = "POST /lookup HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"


async def send(process, data, *, leave=False):
    """Sends raw bytes, and reads the answer until the door closes or is silent."""
    reader, writer = await asyncio.open_connection(process.address, process.port)
    answer = b""
    with contextlib.suppress(TimeoutError, OSError):
        writer.write(data)
        await writer.drain()
        if not leave:
            async with asyncio.timeout(READ_SECONDS):
                answer = await reader.read(MAX_BODY_BYTES)
    writer.transport.abort()
    return answer


def read_code(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["code"]


def test_what_comes_to_the_doors_harms_nobody_else():
    async def scenario(world):
        entry, agent = world.entries["entry-0"], world.agents["desk-0"]
        head = HEAD.format(key=world.key)
        caller = world.make_caller(attempts=1)
        slow = [
            await asyncio.open_connection(process.address, process.port)
            for process in (entry, agent) * 50
        ]
        async with world.load(lambda: world.order(caller)) as ended:
            for _, writer in slow:
                writer.write(head[:40].encode())
            garbage = [secrets.token_bytes(4096) for _ in range(20)]
            await asyncio.gather(
                *[
                    send(p, g, leave=n % 2)
                    for n, g in enumerate(garbage)
                    for p in (entry, agent)
                ]
            )
            declared = f"{head}Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode()
            chunk = f"{MAX_BODY_BYTES + 1:x}\r\n".encode() + b"x" * (MAX_BODY_BYTES + 1)
            chunked = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk
            length = f"{head}Content-Length: "
            completion = length.replace("/lookup", "/v1/completions")
            refused = {
                "request.body_too_large": [declared, chunked],
                "request.body_malformed": [f"{completion}4\r\n\r\n{{{{{{{{".encode()],
                "request.header_invalid": [
                    f"{head}X-Timeout: soon\r\nContent-Length: 0\r\n\r\n".encode()
                ],
                "key.unknown": [
                    f"{HEAD.format(key='bk_x')}Content-Length: 0\r\n\r\n".encode()
                ],
                "key.missing": [b"GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"],
                "request.route_unknown": [
                    f"{head}Content-Length: 0\r\n\r\n".replace(
                        "/lookup", "/nowhere"
                    ).encode()
                ],
            }
            for code, requests in refused.items():
                for request in requests:
                    assert read_code(await send(entry, request)) == code
            count = len(ended)
            await world.until(lambda: len(ended) > count + 20, "others go on")
        for _, writer in slow:
            writer.transport.abort()
        assert {call.status for call in ended} == {200}
        assert entry.is_running and agent.is_running
        await world.until(
            lambda: world.read_status("entry-0")["open_calls"] == 0, "nothing is left"
        )
        assert world.key not in entry.read_log() + agent.read_log()
        world.check()

    with World(
        services=1, entries=1, entry_settings={"max_body_bytes": MAX_BODY_BYTES}
    ) as world:
        asyncio.run(scenario(world))


def test_callers_who_leave_early_hold_no_place():
    async def scenario(world):
        entry = world.entries["entry-0"]
        caller = world.make_caller(attempts=1)
        request = f"{HEAD.format(key=world.key)}Content-Length: 2\r\n\r\n{{}}".encode()
        async with world.load(lambda: world.order(caller)) as ended:
            for _ in range(10):
                await asyncio.gather(
                    *[send(entry, request, leave=True) for _ in range(50)]
                )
                count = len(ended)
                await world.until(lambda n=count: len(ended) > n + 20, "others go on")
        assert {call.status for call in ended} == {200}
        world.check()

    with World(services=1, entries=1) as world:
        asyncio.run(scenario(world))
