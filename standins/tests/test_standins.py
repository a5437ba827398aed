"""Tests that stand-ins inject the requested faults and record all requests.

The checks of the system tests rely on both.
"""

import asyncio
import json
import struct
import time

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.process import ProcessManager
from standins.server import listen
from standins.store import make_application as make_store
from standins.store._topics import Partition
from standins.worker import WorkerState, generate_tokens
from standins.worker import make_application as make_worker

PROMPT = "set the teeth of a ripping blade"
APPEND_PATH = "/-/log-append?topic=t&part=0"


async def send_request(url, method, path, body=None, **headers):
    response = await AsyncHTTPClient().fetch(
        url + path, method=method, body=body, headers=headers, raise_error=False
    )
    if response.code == 599:
        response.rethrow()
    return response


def serve(application):
    return f"http://127.0.0.1:{listen(application, '127.0.0.1', 0)}"


async def add_fault(url, **fields):
    await send_request(url, "POST", "/control/faults", json.dumps(fields))


async def read_journal(url, entry_type):
    response = await send_request(url, "GET", "/control/journal")
    entries = json.loads(response.body)["entries"]
    return [entry for entry in entries if entry["what"] == entry_type]


async def send_completion(url, **headers):
    body = json.dumps({"prompt": PROMPT, "max_tokens": 8, "seed": 3})
    return await send_request(
        url, "POST", "/v1/completions", body, Model="llm", **headers
    )


def parse_tokens(response):
    lines = response.body.decode().splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data:")]


def start_engine():
    state = WorkerState("m1", event_seconds=0.0005, versions={"llm": 4})
    return state, serve(make_worker(state))


def test_resumed_stream_continues_the_same_text():
    async def run():
        _, url = start_engine()
        complete = await send_completion(url)
        resumed = await send_completion(url, **{"Last-Event-Id": "5"})
        return complete, resumed, await read_journal(url, "run")

    complete, resumed, runs = asyncio.run(run())
    expected = generate_tokens(PROMPT, 3, 8)
    assert parse_tokens(complete) == expected
    assert parse_tokens(resumed) == expected[5:]
    assert [run["versions"] for run in runs] == [[4] * 8, [4] * 3]
    assert all(run["finished"] for run in runs)


def test_disconnected_stream_is_recorded_as_unfinished():
    async def run():
        _, url = start_engine()
        await add_fault(url, kind="cut", value=3, count=1)
        with pytest.raises(HTTPStreamClosedError):
            await send_completion(url)
        return await read_journal(url, "run")

    (run,) = asyncio.run(run())
    assert not run["finished"]
    assert len(run["versions"]) == 3


@pytest.mark.parametrize(
    ("fault", "status"), [("full", 503), ("error", 500), ("impossible", 422)]
)
def test_worker_fault_sets_the_status_once(fault, status):
    async def run():
        _, url = start_engine()
        await add_fault(url, kind=fault, count=1)
        first = await send_request(url, "POST", "/x", "{}")
        return first, await send_request(url, "POST", "/x", "{}")

    first, second = asyncio.run(run())
    assert (first.code, second.code) == (status, 200)
    assert ("Not-Run" in first.headers) is (fault == "full")


def test_request_for_another_worker_is_rejected():
    async def run():
        _, url = start_engine()
        response = await send_request(
            url, "POST", "/x", "{}", **{"Expect-Instance": "m2"}
        )
        return response, await read_journal(url, "run")

    response, runs = asyncio.run(run())
    assert (response.code, runs) == (421, [])


def test_load_order_requires_the_number_of_earlier_orders():
    async def run():
        state, url = start_engine()
        order = {"model": "llm", "version": 5, "holder": "e1", "fence": 7}
        codes = []
        for precondition in (1, 0):
            body = json.dumps({**order, "precondition": precondition})
            codes.append((await send_request(url, "POST", "/-/order", body)).code)
        while state.versions["llm"] != 5:
            await asyncio.sleep(0.01)
        repeated = await send_request(url, "POST", "/-/order", json.dumps(order))
        return [*codes, repeated.code], await read_journal(url, "order")

    codes, orders = asyncio.run(run())
    assert codes == [409, 202, 200]
    assert len(orders) == 1


def encode_records(*records):
    return b"".join(struct.pack(">I", len(record)) + record for record in records)


def test_append_takes_effect_if_its_response_is_lost_but_not_if_it_is_refused():
    async def run():
        application = make_store()
        url = serve(application)
        await add_fault(url, kind="busy", target="append", count=1)
        refused = await send_request(url, "POST", APPEND_PATH, encode_records(b"one"))
        await add_fault(url, kind="lose_answer", target="append", count=1)
        with pytest.raises(HTTPStreamClosedError):
            await send_request(url, "POST", APPEND_PATH, encode_records(b"two"))
        return refused.code, application.log.get("t", 0).end

    assert asyncio.run(run()) == (503, 1)


def test_append_checks_offset_epoch_and_sequence():
    async def run():
        url = serve(make_store())
        codes = []
        for query in (
            "&at=0",
            "&at=0",
            "&producer=p&epoch=1&sequence=0",
            "&producer=p&epoch=1&sequence=0",
            "&producer=p&epoch=1&sequence=2",
            "&producer=p&epoch=0&sequence=1",
            "&producer=p&epoch=2&sequence=9",
        ):
            response = await send_request(
                url, "POST", APPEND_PATH + query, encode_records(b"r")
            )
            codes.append((response.code, json.loads(response.body).get("offset")))
        return codes

    assert asyncio.run(run()) == [
        (200, 0),
        (412, None),
        (200, 1),
        (200, 1),
        (409, None),
        (409, None),
        (200, 2),
    ]


def test_worker_registers_at_start_and_deregisters_at_stop():
    with ProcessManager() as process_manager:
        store = process_manager.start("standins.store")
        worker = process_manager.start(
            "standins.worker",
            worker_name="w1",
            service="desk",
            zone="bench-a",
            store=store.url,
            heartbeat=0.1,
            drain_seconds=0.3,
        )
        path = "/-/log-newest?topic=keyed.servers&part=0"

        def wait_for(condition):
            deadline = time.monotonic() + 10
            while time.monotonic() < deadline:
                if condition(store.request_json("GET", path)["items"]):
                    return True
                time.sleep(0.02)
            return False

        assert wait_for(lambda items: len(items) == 1)
        worker.terminate()
        assert wait_for(lambda items: not items)
        assert worker.stop() == 0


def test_process_that_does_not_start_in_time_logs_where_it_is():
    """A start that hangs can be explained afterwards."""
    with ProcessManager() as process_manager, pytest.raises(RuntimeError) as caught:
        process_manager.start(
            "timeit",
            "-n1",
            "import time; time.sleep(60)",
            accepts_address=False,
            timeout=1.0,
        )
    assert "did not start within 1.0 s" in str(caught.value)
    assert "Current thread" in str(caught.value)


def test_read_of_the_store_is_limited_in_size() -> None:
    """It returned all records, and a reader with a limit never got past them."""
    partition = Partition(keyed=False)
    partition.append([b"a" * 600, b"b" * 600, b"c" * 3000])
    assert len(partition.read(0, 1024)) == 604
    assert len(partition.read(0, 2048)) == 2 * 604
    assert len(partition.read(2, 1024)) == 3004
