"""Streams of plain routes: passed on as they arrive, whole or visibly broken."""

import asyncio

import pytest

from buckthornstile.base import BuckthornstileError
from buckthornstile.entry.tests.world import (
    HOST,
    KEY,
    MODEL,
    MODELS,
    World,
    in_world,
)
from buckthornstile.exchanges import OutgoingRequest

EVENTS = 12


def add_route(world: World, *, resumable: bool) -> None:
    world.routes.append(
        {
            "name": "notes",
            "hostname": HOST,
            "pathPrefix": "/notes/",
            "kind": "unsafe",
            "service": MODELS,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "maxAttempts": 3,
            "streaming": True,
            "resumable": resumable,
        }
    )
    world.put_configuration()


async def read_stream(world: World, request_id: str, chunks: list[bytes]):
    headers = [
        ("Host", HOST),
        ("Credential", KEY),
        ("Request-Id", request_id),
        ("Deadline-Ms", "5000"),
        ("Model", MODEL),
        ("Token-Counts", "10,20"),
    ]
    request = OutgoingRequest("POST", "/notes/1", headers, b"hello")
    return await world.pool.exchange(
        world.entries["e1"].settings.client_address,
        request,
        on_data=chunks.append,
        fresh=True,
    )


def read_events(chunks: list[bytes]) -> list[str]:
    blocks = b"".join(chunks).decode().split("\n\n")
    return [block.rpartition("data: ")[2] for block in blocks if block]


def make_events(request_id: str) -> list[str]:
    return [f"{request_id}-{number}" for number in range(1, EVENTS + 1)]


@in_world
async def test_events_arrive_one_by_one(world: World) -> None:
    add_route(world, resumable=False)
    world.add_worker("m1", MODELS, events=EVENTS, event_seconds=0.05)
    await world.add_entry("e1")
    chunks: list[bytes] = []
    reading = asyncio.create_task(read_stream(world, "r1", chunks))
    await world.wait_for(lambda: len(chunks) >= 2)
    assert not reading.done()
    answer = await reading
    assert answer.headers["Server-Stamp"].startswith("m1.")
    assert answer.headers["Weight-Versions"] == "1"
    assert read_events(chunks) == make_events("r1")


@in_world
async def test_broken_stream_ends_visibly_and_runs_once(world: World) -> None:
    add_route(world, resumable=False)
    for name in ("m1", "m2"):
        worker = world.add_worker(name, MODELS, events=EVENTS)
        worker.faults.add({"kind": "cut", "value": 5})
    await world.add_entry("e1")
    chunks: list[bytes] = []
    with pytest.raises(BuckthornstileError, match="early"):
        await read_stream(world, "r1", chunks)
    assert read_events(chunks) == make_events("r1")[:5]
    runs = [run for one in world.workers.values() for run in one.list_runs()]
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
def test_resumable_stream_goes_on_elsewhere(fault) -> None:
    @in_world
    async def test(world: World) -> None:
        add_route(world, resumable=True)
        for name in ("m1", "m2"):
            worker = world.add_worker(name, MODELS, events=EVENTS)
            worker.faults.add({**fault, "count": 1})
        await world.add_entry("e1")
        chunks: list[bytes] = []
        await read_stream(world, "r1", chunks)
        assert read_events(chunks) == make_events("r1")

    test()


@in_world
async def test_version_that_changes_at_a_new_engine_is_told(world: World) -> None:
    add_route(world, resumable=True)
    first = world.add_worker("m1", MODELS, events=EVENTS)
    first.faults.add({"kind": "cut", "value": 5, "count": 1})
    await world.add_entry("e1")
    chunks: list[bytes] = []
    reading = asyncio.create_task(read_stream(world, "r1", chunks))
    world.add_worker("m2", MODELS, events=EVENTS, versions={MODEL: 4})
    await reading
    text = b"".join(chunks).decode()
    assert read_events(chunks) == make_events("r1")
    runs = [
        run["versions"] for one in world.workers.values() for run in one.list_runs()
    ]
    if [4] * (EVENTS - 5) in runs:
        assert "weight-versions: 4\nid: 6" in text


@in_world
async def test_client_that_leaves_ends_the_stream(world: World) -> None:
    add_route(world, resumable=True)
    worker = world.add_worker("m1", MODELS, events=400, event_seconds=0.02)
    await world.add_entry("e1")
    chunks: list[bytes] = []
    reading = asyncio.create_task(read_stream(world, "r1", chunks))
    await world.wait_for(lambda: len(chunks) >= 2)
    reading.cancel()
    await world.wait_for(lambda: worker.state.running == 0, timeout=2.0)
    assert worker.list_runs(finished=False)
