"""Streams of plain routes: forwarded as they arrive; a broken one raises an error."""

import asyncio

import pytest

from buckthornstile.base import BuckthornstileError
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    HOST,
    MODEL_NAME,
    MODEL_SERVICE,
    InProcessDeployment,
    with_deployment,
)
from buckthornstile.entry.tests.raw_upstream import RawUpstream
from buckthornstile.http_client import HTTPRequest

EVENT_COUNT = 12


def add_route(deployment: InProcessDeployment, *, resumable: bool) -> None:
    deployment.routes.append(
        {
            "name": "notes",
            "hostname": HOST,
            "pathPrefix": "/notes/",
            "kind": "unsafe",
            "service": MODEL_SERVICE,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "maxAttempts": 3,
            "streaming": True,
            "resumable": resumable,
        }
    )
    deployment.put_configuration()


async def read_stream(
    deployment: InProcessDeployment, request_id: str, chunks: list[bytes]
):
    headers = [
        ("Host", HOST),
        ("Credential", API_KEY),
        ("Request-Id", request_id),
        ("Deadline-Ms", "5000"),
        ("Model", MODEL_NAME),
        ("Token-Counts", "10,20"),
    ]
    request = HTTPRequest("POST", "/notes/1", headers, b"hello")
    return await deployment.connection_pool.send(
        deployment.entries["e1"].settings.client_address,
        request,
        on_data=chunks.append,
        new_connection=True,
    )


def parse_events(chunks: list[bytes]) -> list[str]:
    blocks = b"".join(chunks).decode().split("\n\n")
    return [block.rpartition("data: ")[2] for block in blocks if block]


def make_expected_events(request_id: str) -> list[str]:
    return [f"{request_id}-{number}" for number in range(1, EVENT_COUNT + 1)]


@with_deployment
async def test_events_are_forwarded_one_by_one(deployment: InProcessDeployment) -> None:
    add_route(deployment, resumable=False)
    deployment.add_worker("m1", MODEL_SERVICE, events=EVENT_COUNT, event_seconds=0.05)
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    read_task = asyncio.create_task(read_stream(deployment, "r1", chunks))
    await deployment.wait_for(lambda: len(chunks) >= 2)
    assert not read_task.done()
    response = await read_task
    assert response.headers["Server-Stamp"].startswith("m1.")
    assert response.headers["Weight-Versions"] == "1"
    assert parse_events(chunks) == make_expected_events("r1")


@with_deployment
async def test_broken_stream_raises_an_error_and_is_not_run_again(
    deployment: InProcessDeployment,
) -> None:
    add_route(deployment, resumable=False)
    for name in ("m1", "m2"):
        worker = deployment.add_worker(name, MODEL_SERVICE, events=EVENT_COUNT)
        worker.faults.add({"kind": "cut", "value": 5})
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    with pytest.raises(BuckthornstileError, match="early"):
        await read_stream(deployment, "r1", chunks)
    assert parse_events(chunks) == make_expected_events("r1")[:5]
    runs = [run for worker in deployment.workers.values() for run in worker.list_runs()]
    assert len(runs) == 1


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "cut", "value": 5},
        {"kind": "stall", "value": 5, "seconds": 3.0},
        {"kind": "reset"},
        {"kind": "full"},
    ],
    ids=["cut", "stall", "reset", "full"],
)
def test_resumable_stream_is_resumed_at_another_engine(fault) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=True)
        for name in ("m1", "m2"):
            worker = deployment.add_worker(name, MODEL_SERVICE, events=EVENT_COUNT)
            worker.faults.add({**fault, "count": 1})
        await deployment.add_entry("e1")
        chunks: list[bytes] = []
        await read_stream(deployment, "r1", chunks)
        assert parse_events(chunks) == make_expected_events("r1")

    test()


@with_deployment
async def test_stream_contains_the_version_of_the_engine_that_resumes_it(
    deployment: InProcessDeployment,
) -> None:
    add_route(deployment, resumable=True)
    first = deployment.add_worker("m1", MODEL_SERVICE, events=EVENT_COUNT)
    first.faults.add({"kind": "cut", "value": 5, "count": 1})
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    read_task = asyncio.create_task(read_stream(deployment, "r1", chunks))
    deployment.add_worker(
        "m2", MODEL_SERVICE, events=EVENT_COUNT, versions={MODEL_NAME: 4}
    )
    await read_task
    text = b"".join(chunks).decode()
    assert parse_events(chunks) == make_expected_events("r1")
    runs = [
        run["versions"]
        for worker in deployment.workers.values()
        for run in worker.list_runs()
    ]
    if [4] * (EVENT_COUNT - 5) in runs:
        assert "weight-versions: 4\nid: 6" in text


@with_deployment
async def test_stream_is_cancelled_when_its_client_disconnects(
    deployment: InProcessDeployment,
) -> None:
    add_route(deployment, resumable=True)
    worker = deployment.add_worker("m1", MODEL_SERVICE, events=400, event_seconds=0.02)
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    read_task = asyncio.create_task(read_stream(deployment, "r1", chunks))
    await deployment.wait_for(lambda: len(chunks) >= 2)
    read_task.cancel()
    await deployment.wait_for(lambda: worker.state.running == 0, timeout=2.0)
    assert worker.list_runs(finished=False)


@pytest.mark.parametrize("next_fault", ["error", "impossible", "unsigned", "endless"])
def test_failed_response_of_the_next_engine_is_not_part_of_a_broken_stream(
    next_fault: str,
) -> None:
    """Every engine but the first fails, each time that the stream is resumed."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=True)
        deployment.add_worker("m1", MODEL_SERVICE, events=EVENT_COUNT)
        deployment.workers["m1"].faults.add({"kind": "cut", "value": 5, "count": 1})
        await deployment.add_entry("e1")
        chunks: list[bytes] = []
        read_task = asyncio.create_task(read_stream(deployment, "r1", chunks))
        await deployment.wait_for(lambda: deployment.workers["m1"].list_runs())
        fault = {"kind": next_fault, "seconds": 0.1, "count": 10}
        deployment.workers["m1"].faults.add(fault)
        with pytest.raises(BuckthornstileError, match="early"):
            await read_task
        assert parse_events(chunks) == make_expected_events("r1")[:5]
        assert b"error" not in b"".join(chunks)
        assert b"HTTP/1.1" not in b"".join(chunks)

    test()


@with_deployment
async def test_stream_is_complete_after_a_failed_response_of_one_engine(
    deployment: InProcessDeployment,
) -> None:
    add_route(deployment, resumable=True)
    for name in ("m1", "m2", "m3"):
        worker = deployment.add_worker(name, MODEL_SERVICE, events=EVENT_COUNT)
        worker.faults.add({"kind": "cut", "value": 5, "count": 1})
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    read_task = asyncio.create_task(read_stream(deployment, "r1", chunks))
    await deployment.wait_for(
        lambda: any(worker.list_runs() for worker in deployment.workers.values())
    )
    idle = [worker for worker in deployment.workers.values() if not worker.list_runs()]
    for worker in idle:
        worker.faults.clear("cut")
    idle[0].faults.add({"kind": "error", "count": 1})
    await read_task
    assert parse_events(chunks) == make_expected_events("r1")


FAILURE_BODIES = {
    "text": b"server error",
    "binary": b"\xff\xfe\x00\n\n\x80",
    "odd-event": b"id: x\n\n",
    "event": b"id: 1\ndata: a\n\n",
    "empty": b"",
}


def render_failure(status: int, body: bytes, *, length: int | None = None) -> bytes:
    head = f"HTTP/1.1 {status} Failed\r\nServer-Stamp: s1\r\n"
    head += f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    return head.encode() + body


async def read_failure(
    deployment: InProcessDeployment, response: bytes, *, resumable: bool
) -> tuple[int, bytes]:
    """Returns the status and body that a client gets from a failing upstream."""

    async def respond(writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(response)
        await writer.drain()

    add_route(deployment, resumable=resumable)
    await RawUpstream(deployment, respond).start("m1", MODEL_SERVICE)
    await deployment.add_entry("e1")
    chunks: list[bytes] = []
    async with asyncio.timeout(6.0):  # the request's deadline is 5 s
        answer = await read_stream(deployment, "r1", chunks)
    return answer.status, b"".join(chunks)


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize("status", [400, 422, 500])
@pytest.mark.parametrize(
    "body",
    [
        b"server error",
        b"\xff\xfe\x00\n\n\x80",
        b"id: x\n\n",
        b"id: 1\ndata: a\n\n",
        b"",
    ],
    ids=["text", "binary", "odd-event", "event", "empty"],
)
def test_failure_of_a_streaming_route_reaches_the_client_unchanged(
    status: int, body: bytes, resumable: bool
) -> None:
    """A body that is no event stream left the client without an answer."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        response = render_failure(status, body)
        answer = await read_failure(deployment, response, resumable=resumable)
        assert answer == (status, body)

    test()


@pytest.mark.parametrize("body", [b"\xff" * 100, b"text"], ids=["binary", "text"])
def test_failure_that_ends_early_is_answered_with_an_error(body: bytes) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        response = render_failure(500, body, length=1000)
        status, _ = await read_failure(deployment, response, resumable=False)
        assert status == 502

    test()


@with_deployment
async def test_failure_with_a_body_that_is_too_large_is_answered_with_an_error(
    deployment: InProcessDeployment,
) -> None:
    response = render_failure(500, b"\xff" * (9 << 20))
    status, _ = await read_failure(deployment, response, resumable=False)
    assert status == 502


@with_deployment
async def test_resumable_stream_that_breaks_after_its_last_event_is_completed(
    deployment: InProcessDeployment,
) -> None:
    """The rest of the stream is empty, and an empty response counted as a failure."""
    add_route(deployment, resumable=True)
    for name in ("m1", "m2"):
        deployment.add_worker(
            name, MODEL_SERVICE, events=EVENT_COUNT, event_seconds=0.01
        )
        deployment.workers[name].faults.add({"kind": "cut_end", "count": 1})
    await deployment.add_entry("e1")
    for number in range(4):
        chunks: list[bytes] = []
        await read_stream(deployment, f"r{number}", chunks)
        assert parse_events(chunks) == make_expected_events(f"r{number}")


@with_deployment
async def test_stream_without_any_event_is_not_complete(
    deployment: InProcessDeployment,
) -> None:
    add_route(deployment, resumable=False)
    deployment.add_worker("m1", MODEL_SERVICE, events=0)
    await deployment.add_entry("e1")
    with pytest.raises(BuckthornstileError, match="early"):
        await read_stream(deployment, "r1", [])


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
def test_refused_stream_that_may_have_run_is_not_said_not_to_have(
    resumable: bool,
) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        response = render_failure(503, b"busy")
        status, _ = await read_failure(deployment, response, resumable=resumable)
        assert status == (503 if resumable else 502)

    test()


@pytest.mark.parametrize("resumable", [False, True], ids=["once", "resumable"])
@pytest.mark.parametrize("status", [201, 204, 206, 299])
def test_unsigned_success_of_a_streaming_route_is_an_error(
    status: int, resumable: bool
) -> None:
    """Only a response with status 200 was checked for the upstream's signature."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        response = f"HTTP/1.1 {status} Odd\r\nContent-Length: 0\r\n\r\n".encode()
        answer, _ = await read_failure(deployment, response, resumable=resumable)
        assert answer == 502

    test()
