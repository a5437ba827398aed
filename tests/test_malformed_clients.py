"""Garbage, slow senders, large bodies and early leavers at the door."""

import asyncio
import contextlib
import json
import secrets

from buckthornstile.base import ErrorCode
from tests.harness import DeploymentHarness

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
                answer = await read_answer(reader)
    writer.transport.abort()
    return answer


async def read_answer(reader):
    """Reads one answer of a declared length, or until the door closes."""
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                return head + await reader.readexactly(int(value))
        return head + await reader.read(MAX_BODY_BYTES)
    return b""


def read_code(answer):
    return json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["code"]


def test_what_comes_to_the_door_harms_nobody_else():
    async def scenario(harness):
        entry = harness.entries["entry-0"]
        head = HEAD.format(key=harness.key)
        caller = harness.make_caller(attempts=1)
        slow = [
            await asyncio.open_connection(entry.address, entry.port) for _ in range(50)
        ]
        async with harness.load(lambda: harness.order(caller)) as ended:
            for _, writer in slow:
                writer.write(head[:40].encode())
            garbage = [secrets.token_bytes(4096) for _ in range(20)]
            await asyncio.gather(
                *[send(entry, g, leave=n % 2) for n, g in enumerate(garbage)]
            )
            declared = f"{head}Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode()
            chunk = f"{MAX_BODY_BYTES + 1:x}\r\n".encode() + b"x" * (MAX_BODY_BYTES + 1)
            chunked = f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk
            length = f"{head}Content-Length: "
            completion = length.replace("/lookup", "/v1/completions")
            lot = length.replace("/lookup", "/v1/lots")
            empty = f"{length}0\r\n\r\n"
            long_key = f"{head}Idempotency-Key: {'k' * 300}\r\n"
            refused = {
                "request.body_too_large": [declared, chunked],
                "request.body_malformed": [
                    f"{completion}4\r\n\r\n{{{{{{{{".encode(),
                    f"{completion}2\r\n\r\n[]".encode(),
                    f'{lot}4\r\n\r\n"x" '.encode(),
                ],
                "sample.lot_invalid": [f"{lot}2\r\n\r\n{{}}".encode()],
                "request.header_invalid": [
                    f"{head}X-Timeout: soon\r\nContent-Length: 0\r\n\r\n".encode(),
                    f"{long_key}Content-Length: 0\r\n\r\n".encode(),
                ],
                "key.unknown": [
                    f"{HEAD.format(key='bk_x')}Content-Length: 0\r\n\r\n".encode()
                ],
                "key.missing": [b"GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"],
                "request.route_unknown": [
                    empty.replace("/lookup", "/nowhere").encode()
                ],
            }
            assert refused.keys() <= CODES
            for code, requests in refused.items():
                for request in requests:
                    assert read_code(await send(entry, request)) == code, request[:90]
            count = len(ended)
            await harness.until(lambda: len(ended) > count + 20, "others go on")
        for _, writer in slow:
            writer.transport.abort()
        assert {call.status for call in ended} == {200}
        assert entry.is_running
        await harness.until(
            lambda: harness.read_status("entry-0")["open_calls"] == 0, "nothing is left"
        )
        assert harness.key not in entry.read_log()
        harness.check()

    with DeploymentHarness(
        engines=1,
        services=1,
        entries=1,
        entry_settings={"max_body_bytes": MAX_BODY_BYTES},
    ) as harness:
        asyncio.run(scenario(harness))


def test_callers_who_leave_early_hold_no_place():
    async def scenario(harness):
        entry = harness.entries["entry-0"]
        caller = harness.make_caller(attempts=1)
        request = (
            f"{HEAD.format(key=harness.key)}Content-Length: 2\r\n\r\n{{}}".encode()
        )
        async with harness.load(lambda: harness.order(caller)) as ended:
            for _ in range(10):
                await asyncio.gather(
                    *[send(entry, request, leave=True) for _ in range(50)]
                )
                count = len(ended)
                await harness.until(lambda n=count: len(ended) > n + 20, "others go on")
        assert {call.status for call in ended} == {200}
        await harness.until(
            lambda: harness.read_status("entry-0")["open_calls"] == 0, "nothing is left"
        )
        harness.check()

    with DeploymentHarness(services=1, entries=1) as harness:
        asyncio.run(scenario(harness))
