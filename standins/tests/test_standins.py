"""What checkers rely on: that the stand-ins fail as scripted and tell all."""

import asyncio
import json
import struct
import time

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.process import ProcessManager
from standins.server import listen
from standins.store import make_application as make_store_client
from standins.worker import WorkerState, generate_tokens
from standins.worker import make_application as make_worker

PROMPT = "set the teeth of a ripping blade"
APPEND = "/-/log-append?topic=t&part=0"


async def call(url, method, path, body=None, **headers):
    answer = await AsyncHTTPClient().fetch(
        url + path, method=method, body=body, headers=headers, raise_error=False
    )
    if answer.code == 599:
        answer.rethrow()
    return answer


def serve(application):
    return f"http://127.0.0.1:{listen(application, '127.0.0.1', 0)}"


async def add_fault(url, **fields):
    await call(url, "POST", "/control/faults", json.dumps(fields))


async def read_journal(url, what):
    answer = await call(url, "GET", "/control/journal")
    entries = json.loads(answer.body)["entries"]
    return [entry for entry in entries if entry["what"] == what]


async def complete(url, **headers):
    body = json.dumps({"prompt": PROMPT, "max_tokens": 8, "seed": 3})
    return await call(url, "POST", "/v1/completions", body, Model="llm", **headers)


def read_tokens(answer):
    lines = answer.body.decode().splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data:")]


def start_engine():
    state = WorkerState("m1", event_seconds=0.0005, versions={"llm": 4})
    return state, serve(make_worker(state))


def test_an_engine_makes_the_same_text_whole_and_resumed():
    async def go():
        _, url = start_engine()
        whole = await complete(url)
        rest = await complete(url, **{"Last-Event-Id": "5"})
        return whole, rest, await read_journal(url, "run")

    whole, rest, runs = asyncio.run(go())
    wanted = generate_tokens(PROMPT, 3, 8)
    assert read_tokens(whole) == wanted
    assert read_tokens(rest) == wanted[5:]
    assert [run["versions"] for run in runs] == [[4] * 8, [4] * 3]
    assert all(run["finished"] for run in runs)


def test_a_cut_stream_shows_in_the_journal():
    async def go():
        _, url = start_engine()
        await add_fault(url, kind="cut", value=3, count=1)
        with pytest.raises(HTTPStreamClosedError):
            await complete(url)
        return await read_journal(url, "run")

    (run,) = asyncio.run(go())
    assert not run["finished"]
    assert len(run["versions"]) == 3


@pytest.mark.parametrize(
    ("fault", "status"), [("full", 503), ("error", 500), ("impossible", 422)]
)
def test_a_worker_fails_as_told(fault, status):
    async def go():
        _, url = start_engine()
        await add_fault(url, kind=fault, count=1)
        first = await call(url, "POST", "/x", "{}")
        return first, await call(url, "POST", "/x", "{}")

    first, second = asyncio.run(go())
    assert (first.code, second.code) == (status, 200)
    assert ("Not-Run" in first.headers) is (fault == "full")


def test_another_worker_is_refused():
    async def go():
        _, url = start_engine()
        answer = await call(url, "POST", "/x", "{}", **{"Expect-Instance": "m2"})
        return answer, await read_journal(url, "run")

    answer, runs = asyncio.run(go())
    assert (answer.code, runs) == (421, [])


def test_an_order_needs_the_count_of_earlier_ones():
    async def go():
        state, url = start_engine()
        order = {"model": "llm", "version": 5, "holder": "e1", "fence": 7}
        codes = []
        for expected in (1, 0):
            body = json.dumps({**order, "precondition": expected})
            codes.append((await call(url, "POST", "/-/order", body)).code)
        while state.versions["llm"] != 5:
            await asyncio.sleep(0.01)
        again = await call(url, "POST", "/-/order", json.dumps(order))
        return [*codes, again.code], await read_journal(url, "order")

    codes, orders = asyncio.run(go())
    assert codes == [409, 202, 200]
    assert len(orders) == 1


def pack(*records):
    return b"".join(struct.pack(">I", len(one)) + one for one in records)


def test_a_lost_answer_takes_effect_and_a_refusal_does_not():
    async def go():
        application = make_store_client()
        url = serve(application)
        await add_fault(url, kind="busy", target="append", count=1)
        refused = await call(url, "POST", APPEND, pack(b"one"))
        await add_fault(url, kind="lose_answer", target="append", count=1)
        with pytest.raises(HTTPStreamClosedError):
            await call(url, "POST", APPEND, pack(b"two"))
        return refused.code, application.log.get("t", 0).end

    assert asyncio.run(go()) == (503, 1)


def test_conditions_and_producers_are_checked():
    async def go():
        url = serve(make_store_client())
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
            answer = await call(url, "POST", APPEND + query, pack(b"r"))
            codes.append((answer.code, json.loads(answer.body).get("offset")))
        return codes

    assert asyncio.run(go()) == [
        (200, 0),
        (412, None),
        (200, 1),
        (200, 1),
        (409, None),
        (409, None),
        (200, 2),
    ]


def test_a_worker_registers_drains_and_leaves():
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

        def wait_for(wanted):
            deadline = time.monotonic() + 10
            while time.monotonic() < deadline:
                if wanted(store.call("GET", path)["items"]):
                    return True
                time.sleep(0.02)
            return False

        assert wait_for(lambda items: len(items) == 1)
        worker.terminate()
        assert wait_for(lambda items: not items)
        assert worker.stop() == 0
