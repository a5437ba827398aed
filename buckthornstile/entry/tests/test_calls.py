"""Calls through a whole entry: forwarding, refusals, bad workers, limits."""

import asyncio
import json

import pytest

from buckthornstile.base import AccountId, BuckthornstileError, ErrorCode, Verdict
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    HOST,
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)
from buckthornstile.http_client import HTTPRequest
from buckthornstile.messages import ClientRequest, RoutedCall


@with_deployment
async def test_call_is_forwarded_whole(deployment: InProcessDeployment) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    answer = await deployment.call("e1", "r1", target="/orders/7?x=1")
    assert answer.status == 200
    assert bytes(answer.body) == b"answer to hello"
    assert answer.headers["Server-Stamp"].startswith("w1.")
    (run,) = worker.list_runs()
    headers = run["headers"]
    assert headers["Request-Id"] == "r1"
    assert headers["Tenant"] == "mill"
    assert headers["Expect-Instance"] == "w1"
    assert headers["Host"] == HOST
    assert 0 < int(headers["Deadline-Ms"]) <= 2000
    assert API_KEY not in json.dumps(run)


@with_deployment
async def test_check_before_each_send_keeps_a_call_back(
    deployment: InProcessDeployment,
) -> None:
    """A process that was paused in the middle of a call knows too little."""
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")

    def check() -> None:
        raise BuckthornstileError(ErrorCode.CONFIGURATION_OLD, retry_after=0.1)

    request = ClientRequest("r1", "POST", HOST, "/orders/", "", (), b"hello")
    route = entry.view.find_route(HOST, "/orders/")
    assert route is not None
    deadline = asyncio.get_running_loop().time() + 2
    call = RoutedCall(request, route, AccountId("mill"), deadline, check)
    for send in (entry.sender.send, entry.stream_proxy.open):
        with pytest.raises(BuckthornstileError) as caught:
            await send(call)
        assert caught.value.code is ErrorCode.CONFIGURATION_OLD
        assert caught.value.verdict is Verdict.NOT_RUN
    assert worker.list_runs() == []
    (upstream,) = entry.view.list_available_upstreams(route.services[0][0])
    assert not entry.balancer.is_ejected(upstream)


@with_deployment
async def test_client_cannot_name_its_own_account(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    headers = (("Tenant", "quay"), ("Deadline-Ms", "1000"))
    assert (await deployment.call("e1", "r1", headers=headers)).status == 200
    assert worker.list_runs()[0]["headers"]["Tenant"] == "mill"


@with_deployment
async def test_refusals_say_why(deployment: InProcessDeployment) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    assert (await deployment.call("e1", "r1", key="wrong")).status == 401
    assert (await deployment.call("e1", "r2", key=None)).status == 401
    assert (await deployment.call("e1", "r3", target="/nowhere/")).status == 404
    answer = await deployment.send("e1", "GET", "/-/lots/unknown")
    assert answer.status == 404
    assert deployment.workers["w1"].list_runs() == []


@with_deployment
async def test_not_ready_and_never_404_before_a_configuration(
    deployment: InProcessDeployment,
) -> None:
    deployment.log.partitions.clear()
    entry = await deployment.add_entry("e1", ready=False)
    await deployment.wait_for(lambda: entry.jobs.is_loaded())
    assert not entry.is_ready()
    answer = await deployment.call("e1", "r1")
    assert answer.status == 503
    assert "Retry-After" in answer.headers
    deployment.put_configuration()
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.wait_for(entry.is_ready)


@pytest.mark.parametrize(
    "kind", ["full", "error", "reset", "truncate", "crossed", "unsigned"]
)
def test_repeatable_call_survives_a_bad_worker(kind: str) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        for name in ("w1", "w2"):
            worker = deployment.add_worker(name, PLAIN_SERVICE)
            worker.faults.add({"kind": kind, "count": 1})
        deployment.add_worker("w3", PLAIN_SERVICE)
        await deployment.add_entry("e1")
        for number in range(4):
            answer = await deployment.call("e1", f"r{number}")
            assert answer.status == 200
            assert bytes(answer.body) == b"answer to hello"

    test()


@with_deployment
async def test_silent_worker_is_hedged(deployment: InProcessDeployment) -> None:
    for name in ("w1", "w2"):
        worker = deployment.add_worker(name, PLAIN_SERVICE)
        worker.faults.add({"kind": "silent", "seconds": 1.5, "count": 1})
    deployment.add_worker("w3", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    started = asyncio.get_running_loop().time()
    for number in range(3):
        assert (await deployment.call("e1", f"r{number}")).status == 200
    assert asyncio.get_running_loop().time() - started < 1.4


@pytest.mark.parametrize("kind", ["reset", "truncate"])
def test_call_at_most_once_is_not_repeated(kind: str) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        for name in ("w1", "w2"):
            worker = deployment.add_worker(name, PLAIN_SERVICE)
            worker.faults.add({"kind": kind})
        await deployment.add_entry("e1")
        answer = await deployment.call("e1", "r1", target="/once/1")
        assert answer.status == 502
        runs = [run for one in deployment.workers.values() for run in one.list_runs()]
        assert len(runs) == 1

    test()


@with_deployment
async def test_call_at_most_once_moves_on_from_a_refusal(
    deployment: InProcessDeployment,
) -> None:
    for name in ("w1", "w2"):
        deployment.add_worker(name, PLAIN_SERVICE).faults.add(
            {"kind": "full", "count": 1}
        )
    deployment.add_worker("w3", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    assert (await deployment.call("e1", "r1", target="/once/1")).status == 200


@with_deployment
async def test_no_worker_is_a_refusal_with_a_time_to_come_back(
    deployment: InProcessDeployment,
) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    worker.faults.add({"kind": "full"})
    await deployment.add_entry("e1")
    answer = await deployment.call("e1", "r1")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert worker.list_runs() == []


@with_deployment
async def test_client_that_leaves_ends_the_run(deployment: InProcessDeployment) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE, work_seconds=5.0)
    await deployment.add_entry("e1")
    task = asyncio.create_task(deployment.call("e1", "r1", target="/once/1"))
    await deployment.wait_for(lambda: worker.state.running)
    task.cancel()
    closed = deployment.entries["e1"]
    await deployment.wait_for(
        lambda: not closed.client_listener.open_request_count, timeout=0.4
    )


@with_deployment
async def test_reused_address_runs_nothing(deployment: InProcessDeployment) -> None:
    worker = deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    assert (await deployment.call("e1", "r1")).status == 200
    worker.state.id = "another"
    answer = await deployment.call("e1", "r2")
    assert answer.status == 503
    assert len(worker.list_runs()) == 1


@with_deployment
async def test_metrics_tell_latencies_and_ages(deployment: InProcessDeployment) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    entry = await deployment.add_entry("e1")
    assert (await deployment.call("e1", "r1")).status == 200
    address = entry.settings.metrics_address
    request = HTTPRequest("GET", "/metrics", [("Host", address)])
    answer = await deployment.pool.send(address, request)
    text = bytes(answer.body).decode()
    assert 'account_request_duration_seconds_count{account="mill"} 1' in text
    assert "buckthornstile_ready 1" in text
    assert "buckthornstile_configuration_version 3" in text


@with_deployment
async def test_too_large_requests_are_refused_by_the_configured_limits(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    await deployment.add_entry("e1")
    body = b"x" * ((1 << 20) + 1)
    answer = await deployment.send(
        "e1", "POST", "/orders/1", request_id="r1", body=body
    )
    assert answer.status == 413
    headers = (("X-Long", "y" * 20_000),)
    assert (await deployment.call("e1", "r2", headers=headers)).status == 431
    assert (await deployment.call("e1", "r3")).status == 200
