"""What checkers rely on: that the stand-ins fail as scripted and tell all."""

import asyncio
import json
import time

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import HTTPStreamClosedError

from standins.engine import EngineOptions, make_token
from standins.engine import make_application as make_engine
from standins.launch import Bench
from standins.platform import PlatformOptions
from standins.platform import make_application as make_platform
from standins.platform._state import PlatformState
from standins.server import listen
from standins.service import make_application as make_service

PROMPT = "set the teeth of a ripping blade"


async def call(url, method, path, body=None, *, request_id="e1/0"):
    data = None if body is None else json.dumps(body)
    answer = await AsyncHTTPClient().fetch(
        url + path,
        method=method,
        body=data,
        headers={"X-Request-Id": request_id},
        raise_error=False,
    )
    if answer.code == 599:
        answer.rethrow()
    return answer


def serve(application):
    return f"http://127.0.0.1:{listen(application, '127.0.0.1', 0)}"


async def complete(url, *, tokens=8, **fields):
    body = {"prompt": PROMPT, "max_tokens": tokens, **fields}
    answer = await call(url, "POST", "/v1/completions", body)
    return json.loads(answer.body)


async def wait_for_state(url, name, value):
    state = {}
    while state.get(name) != value:
        state = json.loads((await call(url, "GET", "/v1/state")).body)


def run_engine(fault, **fields):
    async def go():
        url = serve(make_engine(EngineOptions(token_seconds=0.0005)))
        if fault:
            await call(url, "POST", "/control/faults", {"kind": fault, "value": 9})
        answer = await complete(url, **fields)
        journal = await call(url, "GET", "/control/journal")
        return answer, json.loads(journal.body)["entries"]

    return asyncio.run(go())


def test_a_resumed_completion_goes_on_where_the_first_one_stopped():
    whole, _ = run_engine(None, tokens=8)
    rest, _ = run_engine(None, tokens=5, resume_tokens=whole["tokens"][:3])
    assert whole["tokens"] == [make_token(PROMPT, 0, n) for n in range(8)]
    assert rest["tokens"] == whole["tokens"][3:]
    assert (whole["versions"], rest["versions"]) == ([[0, 7, 1]], [[3, 7, 1]])


@pytest.mark.parametrize(
    ("fault", "tokens_differ", "versions"),
    [
        ("crossed_text", True, [[0, 7, 1]]),
        ("garbage", True, [[0, 7, 1]]),
        ("wrong_version", False, [[0, 3, 1], [4, 7, 9]]),
        ("restart", False, [[0, 7, 9]]),
    ],
)
def test_a_lying_engine_journals_the_truth(fault, tokens_differ, versions):
    answer, journal = run_engine(fault)
    expected = [make_token(PROMPT, 0, n) for n in range(8)]
    assert (answer["tokens"] != expected) is tokens_differ
    assert answer["versions"] == versions
    assert journal[-1]["true_versions"] == [9 if fault == "restart" else 1]


def test_a_swap_changes_the_version_of_a_running_request():
    async def go():
        options = EngineOptions(token_seconds=0.001, swap_seconds=0.05)
        url = serve(make_engine(options))
        running = asyncio.create_task(complete(url, tokens=400))
        await wait_for_state(url, "running", 1)
        order = {"version": 2, "term": 1}
        await call(url, "POST", "/v1/orders/load_version", order)
        return (await running)["versions"]

    first, second = asyncio.run(go())
    assert (first[0], first[2], second[1:]) == (0, 1, [399, 2])
    assert second[0] == first[1] + 1


def test_slots_are_filled_by_priority():
    async def go():
        url = serve(make_engine(EngineOptions(slots=1, token_seconds=0.001)))
        order = []

        async def work(priority):
            await complete(url, tokens=5, priority=priority)
            order.append(priority)

        body = {"prompt": PROMPT, "max_tokens": 100_000}
        first = asyncio.create_task(
            call(url, "POST", "/v1/completions", body, request_id="e1/first")
        )
        await wait_for_state(url, "running", 1)
        others = [asyncio.create_task(work(priority)) for priority in (3, 2, 1)]
        await wait_for_state(url, "waiting", 3)
        await call(url, "POST", "/v1/cancel", {"request_id": "e1/first"})
        await asyncio.gather(*others)
        with pytest.raises(HTTPStreamClosedError):
            await first
        journal = json.loads((await call(url, "GET", "/control/journal")).body)
        return order, journal["peak_running"]

    order, peak = asyncio.run(go())
    assert order == [1, 2, 3]
    assert peak == 1


def test_a_service_counts_runs_by_key():
    async def go():
        url = serve(make_service())
        faults = [{"kind": "error_before", "count": 1}, {"kind": "truncate"}]
        await call(url, "POST", "/control/faults", faults)
        before = await call(url, "POST", "/order", {}, request_id="e1/1")
        with pytest.raises(HTTPStreamClosedError):
            await call(url, "POST", "/order", {}, request_id="e1/2")
        await call(url, "DELETE", "/control/faults")
        again = await call(url, "POST", "/order", {}, request_id="e1/2")
        return before.code, json.loads(again.body)["run"]

    assert asyncio.run(go()) == (500, 2)


def test_orders_move_spare_vms_onto_the_list_and_off_it():
    place = {"failure_domain": "perth-a", "service": "drafting-models"}

    async def go():
        state = PlatformState(PlatformOptions(notice_seconds=0.01))
        state.spares["a1"] = {"process": "a1", **place}
        seen = []
        for action in ("start", "stop"):
            state.carry_out({"action": action, "count": 2, **place})
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            listed = state.vms.list(now=time.monotonic())
            seen.append([vm.get("state", "live") for vm in listed])
        return seen

    assert asyncio.run(go()) == [["live"], ["leaving"]]


def test_a_bench_ends_what_it_started_and_shows_why_a_start_failed():
    with Bench() as bench:
        engine = bench.start("standins.engine", version=4, ignore_old_terms=True)
        assert engine.call("GET", "/v1/state")["version"] == 4
        platform = bench.start("standins.platform")
        platform.add_fault("down", target="log")
        with pytest.raises(RuntimeError, match="unrecognized arguments"):
            bench.start("standins.service", no_such_flag=1)
        processes = list(bench.processes)
        engine.pause()
    assert not any(process.is_running for process in processes)
    assert processes[1].process.returncode == 0


def test_the_platform_fails_one_interface_and_lags_another():
    async def go():
        url = serve(make_platform())
        faults = [{"kind": "down", "target": "log"}, {"kind": "lag", "seconds": 60}]
        await call(url, "POST", "/control/faults", faults)
        await call(url, "PUT", "/control/vms/a1", {"role": "agent"})
        with pytest.raises(HTTPStreamClosedError):
            await call(url, "GET", "/log?first=0")
        listed = json.loads((await call(url, "GET", "/vms")).body)["vms"]
        paths = ("/orders", "/usage", "/weights", "/trainers")
        return listed, [(await call(url, "GET", path)).code for path in paths]

    assert asyncio.run(go()) == ([], [200] * 4)
