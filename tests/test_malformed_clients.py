"""Clients send invalid, incomplete or oversized requests, or disconnect early."""

import asyncio
import contextlib
import json
import secrets

from buckthornstile.base import ErrorCode
from tests.harness import DeploymentHarness

ERROR_CODES = {code.value for code in ErrorCode}
MAX_BODY_BYTES = 65536
READ_TIMEOUT = 10.0  # seconds
HEAD = "POST /lookup HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n"


async def send_raw(process, data, *, disconnect=False):
    """Sends raw bytes and returns the response, or nothing if it is incomplete."""
    reader, writer = await asyncio.open_connection(process.address, process.port)
    response = b""
    with contextlib.suppress(TimeoutError, OSError):
        writer.write(data)
        await writer.drain()
        if not disconnect:
            async with asyncio.timeout(READ_TIMEOUT):
                response = await read_response(reader)
    writer.transport.abort()
    return response


async def read_response(reader):
    """Reads one response.

    Without a Content-Length header, only the first part of the body is read. The result
    is empty if the connection closes before the head or the body is complete.
    """
    with contextlib.suppress(asyncio.IncompleteReadError):
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.lower().split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name == b"content-length":
                return head + await reader.readexactly(int(value))
        return head + await reader.read(MAX_BODY_BYTES)
    return b""


def parse_error_code(response):
    return json.loads(response.partition(b"\r\n\r\n")[2])["error"]["code"]


def test_malformed_requests_are_refused_and_affect_no_other_caller():
    """A caller's orders succeed while other clients send malformed requests."""

    async def scenario(harness):
        entry = harness.entries["entry-0"]
        head = HEAD.format(key=harness.api_key)
        caller = harness.make_caller(attempts=1)
        incomplete_connections = [
            await asyncio.open_connection(entry.address, entry.port) for _ in range(50)
        ]
        async with harness.run_background_load(
            lambda: harness.place_order(caller)
        ) as finished:
            for _, writer in incomplete_connections:
                writer.write(head[:40].encode())
            random_messages = [secrets.token_bytes(4096) for _ in range(20)]
            await asyncio.gather(
                *[
                    send_raw(entry, message, disconnect=number % 2)
                    for number, message in enumerate(random_messages)
                ]
            )
            oversized = f"{head}Content-Length: {MAX_BODY_BYTES + 1}\r\n\r\n".encode()
            chunk = f"{MAX_BODY_BYTES + 1:x}\r\n".encode() + b"x" * (MAX_BODY_BYTES + 1)
            oversized_chunked = (
                f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk
            )
            lookup_head = f"{head}Content-Length: "
            completion_head = lookup_head.replace("/lookup", "/v1/completions")
            lot_head = lookup_head.replace("/lookup", "/v1/lots")
            empty_lookup = f"{lookup_head}0\r\n\r\n"
            long_key_head = f"{head}Idempotency-Key: {'k' * 300}\r\n"
            refused = {
                "request.body_too_large": [oversized, oversized_chunked],
                "request.body_malformed": [
                    f"{completion_head}4\r\n\r\n{{{{{{{{".encode(),
                    f"{completion_head}2\r\n\r\n[]".encode(),
                    f'{lot_head}4\r\n\r\n"x" '.encode(),
                ],
                "sample.lot_invalid": [f"{lot_head}2\r\n\r\n{{}}".encode()],
                "request.header_invalid": [
                    f"{head}X-Timeout: soon\r\nContent-Length: 0\r\n\r\n".encode(),
                    f"{long_key_head}Content-Length: 0\r\n\r\n".encode(),
                ],
                "key.unknown": [
                    f"{HEAD.format(key='bk_x')}Content-Length: 0\r\n\r\n".encode()
                ],
                "key.missing": [b"GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"],
                "request.route_unknown": [
                    empty_lookup.replace("/lookup", "/nowhere").encode()
                ],
            }
            assert refused.keys() <= ERROR_CODES
            for error_code, requests in refused.items():
                for request in requests:
                    assert (
                        parse_error_code(await send_raw(entry, request)) == error_code
                    ), request[:90]
            count = len(finished)
            await harness.wait_until(
                lambda: len(finished) > count + 20, "the caller's orders continue"
            )
        for _, writer in incomplete_connections:
            writer.transport.abort()
        assert {call.status for call in finished} == {200}
        assert entry.is_running
        await harness.wait_until(
            lambda: harness.read_status("entry-0")["open_calls"] == 0,
            "no calls are open",
        )
        assert harness.api_key not in entry.read_log()
        harness.collect_and_check()

    with DeploymentHarness(
        engines=1,
        services=1,
        entries=1,
        entry_settings={"max_body_bytes": MAX_BODY_BYTES},
    ) as harness:
        asyncio.run(scenario(harness))


def test_callers_that_disconnect_early_leave_no_open_calls():
    async def scenario(harness):
        entry = harness.entries["entry-0"]
        caller = harness.make_caller(attempts=1)
        request = (
            f"{HEAD.format(key=harness.api_key)}Content-Length: 2\r\n\r\n{{}}".encode()
        )
        async with harness.run_background_load(
            lambda: harness.place_order(caller)
        ) as finished:
            for _ in range(10):
                await asyncio.gather(
                    *[send_raw(entry, request, disconnect=True) for _ in range(50)]
                )
                count = len(finished)
                await harness.wait_until(
                    lambda n=count: len(finished) > n + 20,
                    "the caller's orders continue",
                )
        assert {call.status for call in finished} == {200}
        await harness.wait_until(
            lambda: harness.read_status("entry-0")["open_calls"] == 0,
            "no calls are open",
        )
        harness.collect_and_check()

    with DeploymentHarness(services=1, entries=1) as harness:
        asyncio.run(scenario(harness))
