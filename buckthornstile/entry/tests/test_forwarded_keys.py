"""Requests about jobs that one entry forwards to another with another configuration."""

import asyncio
import functools
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest.mock import Mock

import pytest

from buckthornstile.entry import Entry
from buckthornstile.entry.tests.in_process import (
    HOST,
    MODEL_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)
from buckthornstile.gateway import _job_store, _partition_assignment
from buckthornstile.http_client import HTTPRequest, HTTPResponse
from buckthornstile.jobs import JobId
from buckthornstile.messages import ClientRequest, Response

KEY, NEW_KEY = "key-a", "key-new"
ENTRIES = ("e1", "e2", "e3")


@pytest.fixture(autouse=True)
def assign_one_entry(monkeypatch):
    monkeypatch.setattr(_partition_assignment, "ASSIGNED_PER_PARTITION", 1)
    monkeypatch.setattr(_partition_assignment, "ASSIGN_ALL_MAX_ENTRIES", 1)
    monkeypatch.setattr(_job_store, "UNASSIGN_DELAY", 0.3)


class Reads:
    """Holds back what an entry reads of the operators' records.

    So it looks to an entry that was frozen, is slow, or is cut off from the store.
    """

    def __init__(self, entry: Entry) -> None:
        self.is_held = asyncio.Event()
        self.released = asyncio.Event()
        self.entry = entry
        consumer = entry.topology_watcher.operator_consumer
        self.read, consumer._read = consumer._read, self.read_late

    async def read_late(self, start_offset: int, wait: float):
        self.is_held.set()
        result = await self.read(start_offset, wait)
        await self.released.wait()
        return result


class Scenario:
    """Two accounts with jobs in one partition; one entry alone serves it.

    Attributes:
        asked: The entry that the client asks, which forwards requests about the jobs.
        responder: The entry that serves them.
        first: The account that holds ``KEY`` at first; ``j1`` is its job.
        second: The other account; ``j2`` is its job.
    """

    def __init__(self, deployment: InProcessDeployment) -> None:
        self.deployment = deployment

    async def start(self) -> None:
        deployment = self.deployment
        deployment.add_worker("m1", MODEL_SERVICE)
        for name in ENTRIES:
            await deployment.add_entry(name)
        entries = deployment.entries
        await deployment.wait_for(
            lambda: all(
                len(entry.presence.list_live()) == len(ENTRIES) and entry.is_ready()
                for entry in entries.values()
            )
        )
        find_partition = entries["e1"].job_store.find_partition
        self.first, self.part = "a", find_partition("a")
        self.second = next(
            name for name in "bcdefghijk" if find_partition(name) == self.part
        )
        assigned = entries["e1"].assignment.list_assigned(self.part)
        self.responder = next(n for n, e in entries.items() if e.name in assigned)
        self.asked = next(name for name in ENTRIES if name != self.responder)
        asked_store = entries[self.asked].job_store
        await deployment.wait_for(lambda: not asked_store.is_consumed(self.part))
        self.put_keys([KEY], ["key-b"])
        await self.wait_for_version(*ENTRIES)
        for job, key in (("j1", KEY), ("j2", "key-b")):
            response = await self.send(
                "POST", "/steps/x", key, request_id=job, body=self.make_body(job)
            )
            assert response.status == 202
            await deployment.retry_until_true(
                functools.partial(self.is_complete, job, key)
            )

    def make_body(self, job: str) -> bytes:
        return json.dumps(make_job(2, prefix=f"{job}-", scored=False)).encode()

    def put_keys(self, first: list[str], second: list[str]) -> None:
        self.deployment.put_configuration(
            tenants=[
                {"name": self.first, "apiKeys": first},
                {"name": self.second, "apiKeys": second},
            ]
        )

    async def hold_reads(self, name: str) -> Reads:
        reads = Reads(self.deployment.entries[name])
        await self.deployment.wait_for(reads.is_held.is_set)
        return reads

    async def wait_for_version(self, *names: str) -> None:
        version = self.deployment.configuration_version
        entries = [self.deployment.entries[name] for name in names]
        await self.deployment.wait_for(
            lambda: all(e.view.configuration.version == version for e in entries)
        )

    async def send(self, method: str, target: str, key: str, **options) -> HTTPResponse:
        return await self.deployment.send_request(
            self.asked, method, target, key=key, **options
        )

    async def read(self, job: str, key: str, wait: int = 0) -> tuple[int, list[str]]:
        """Returns the status and the ids of the results that were read."""
        headers = (("Wait-Ms", str(wait)),)
        after = 2 if wait else 0
        response = await self.send(
            "GET", f"/-/lots/{job}?after={after}", key, headers=headers
        )
        data = json.loads(bytes(response.body)) if response.status == 200 else {}
        return response.status, [item["id"] for item in data.get("results", [])]

    async def is_complete(self, job: str, key: str) -> bool:
        return len((await self.read(job, key))[1]) == 2

    async def send_unstated(self, method: str, target: str, key: str) -> int:
        """Sends a request as an entry of an earlier release forwards it."""
        address = self.deployment.entries[self.responder].settings.peer_address
        request = HTTPRequest(method, target, [("Host", HOST), ("Credential", key)])
        response = await self.deployment.connection_pool.send(
            address, request, new_connection=True
        )
        return response.status


def respond_as_earlier_release(entry: Entry) -> None:
    """Lets an entry state nothing about the keys of requests that it is forwarded."""
    handle = entry.client_handlers.handle_forwarded

    async def handle_without_statement(request: ClientRequest) -> Response:
        return replace(await handle(request), headers=())

    entry.client_handlers.handle_forwarded = handle_without_statement


def with_scenario(test: Callable[[Scenario], Awaitable[None]]) -> Callable[[], None]:
    """Runs a test with a scenario."""

    @with_deployment
    async def run(deployment: InProcessDeployment) -> None:
        scenario = Scenario(deployment)
        await scenario.start()
        await test(scenario)

    @functools.wraps(test)
    def run_test() -> None:
        run()

    del run_test.__wrapped__
    return run_test


@with_scenario
async def test_new_key_is_accepted_at_an_entry_that_is_late(scenario: Scenario):
    """The entry that was asked had accepted the key, and passed the other's 401 on."""
    await scenario.hold_reads(scenario.responder)
    scenario.put_keys([KEY, NEW_KEY], ["key-b"])
    await scenario.wait_for_version(scenario.asked)
    assert len((await scenario.read("j1", NEW_KEY))[1]) == 2
    response = await scenario.send("GET", "/-/items/j1?id=j1-0", NEW_KEY)
    assert response.status == 404  # It has a result. The key is not refused.
    assert response.body == b"sample.lot_unknown"


@with_scenario
async def test_key_reads_nothing_of_the_account_that_it_was_taken_from(
    scenario: Scenario,
):
    """The late entry returned the results of the key's former account."""
    await scenario.hold_reads(scenario.responder)
    scenario.put_keys([], ["key-b", KEY])
    await scenario.wait_for_version(scenario.asked)
    assert await scenario.read("j1", KEY) == (404, [])
    assert len((await scenario.read("j2", KEY))[1]) == 2
    assert (await scenario.send("DELETE", "/-/lots/j1", KEY)).status == 404
    table = scenario.deployment.entries[scenario.responder].job_store.table
    assert not table.find(JobId("j1")).ended


@with_scenario
async def test_newer_configuration_of_the_other_entry_decides(scenario: Scenario):
    """An entry that is late itself must not state an older decision as the newer."""
    reads = await scenario.hold_reads(scenario.asked)
    scenario.put_keys([], ["key-b", KEY])
    await scenario.wait_for_version(scenario.responder)
    assert await scenario.read("j1", KEY) == (404, [])
    assert len((await scenario.read("j2", KEY))[1]) == 2
    scenario.put_keys([], ["key-b"])
    await scenario.wait_for_version(scenario.responder)
    assert (await scenario.read("j2", KEY))[0] == 401
    reads.released.set()
    await scenario.wait_for_version(scenario.asked)
    assert (await scenario.read("j2", KEY))[0] == 401


@with_scenario
async def test_withdrawn_key_is_refused_though_the_other_entry_accepts_it(
    scenario: Scenario,
):
    await scenario.hold_reads(scenario.responder)
    scenario.put_keys([], ["key-b"])
    await scenario.wait_for_version(scenario.asked)
    assert (await scenario.read("j1", KEY))[0] == 401


@pytest.mark.parametrize(
    "first, second, statuses",
    [([], [KEY], (503,)), ([], [], (401,))],
    ids=["moved", "withdrawn"],
)
def test_change_during_a_forwarded_read_is_noticed_when_it_ends(
    first: list[str], second: list[str], statuses: tuple[int, ...]
):
    """The response was made under the old configuration, which the other entry kept."""

    @with_scenario
    async def test(scenario: Scenario):
        handlers = scenario.deployment.entries[scenario.responder].client_handlers
        serve, may_respond = handlers._serve_job, asyncio.Event()
        is_read = asyncio.Event()

        async def serve_late(*arguments):
            response = await serve(*arguments)
            is_read.set()
            await may_respond.wait()
            return response

        handlers._serve_job = serve_late
        await scenario.hold_reads(scenario.responder)
        reading = asyncio.create_task(scenario.read("j1", KEY))
        await scenario.deployment.wait_for(is_read.is_set)
        scenario.put_keys(first, second)
        await scenario.wait_for_version(scenario.asked)
        may_respond.set()
        status, results = await reading
        assert status in statuses
        assert results == []

    test()


@pytest.mark.parametrize("method", ["GET", "DELETE"])
def test_request_of_an_earlier_release_is_decided_on_a_new_read(method: str):
    """It states no configuration, so that the responder may be behind it."""

    @with_scenario
    async def test(scenario: Scenario):
        reads = await scenario.hold_reads(scenario.responder)
        scenario.put_keys([], ["key-b", KEY])
        await scenario.wait_for_version(scenario.asked)
        assert await scenario.send_unstated(method, "/-/lots/j1", KEY) == 503
        reads.released.set()
        assert await scenario.send_unstated(method, "/-/lots/j1", KEY) == 404
        assert await scenario.send_unstated(method, "/-/lots/j2", KEY) == 200

    test()


@with_scenario
async def test_response_of_an_earlier_release_is_used_only_long_after_a_change(
    scenario: Scenario,
):
    """Such an entry states no decision, so that it may be behind the one that asks."""
    responder = scenario.deployment.entries[scenario.responder]
    asked = scenario.deployment.entries[scenario.asked]
    respond_as_earlier_release(responder)
    checker = asked.client_handlers.dependencies.key_checker
    checker.clock = lambda: asked.clock() + checker.key_bound
    assert len((await scenario.read("j1", KEY))[1]) == 2
    assert not asked.job_store.is_consumed(scenario.part)
    checker.clock = asked.clock
    reads = await scenario.hold_reads(scenario.responder)
    scenario.put_keys([KEY, NEW_KEY], ["key-b"])
    await scenario.wait_for_version(scenario.asked)
    asked.job_store.request_partition = Mock()
    assert (await scenario.read("j1", NEW_KEY))[0] == 503
    # Else each entry of this release would read the partition after each change.
    asked.job_store.request_partition.assert_not_called()
    reads.released.set()
    await scenario.wait_for_version(scenario.responder)
    checker.clock = lambda: asked.clock() + checker.key_bound
    assert len((await scenario.read("j1", NEW_KEY))[1]) == 2


@with_scenario
async def test_partition_is_read_if_an_earlier_release_may_be_behind_for_ever(
    scenario: Scenario,
):
    """Without an age limit for keys, its responses are never used."""
    responder = scenario.deployment.entries[scenario.responder]
    respond_as_earlier_release(responder)
    asked = scenario.deployment.entries[scenario.asked]
    asked.client_handlers.dependencies.key_checker.fails_closed = False
    assert (await scenario.read("j1", KEY))[0] == 503
    await scenario.deployment.retry_until_true(
        functools.partial(scenario.is_complete, "j1", KEY)
    )


@pytest.mark.parametrize("late", ["responder", "asked"])
def test_entry_that_was_told_of_a_newer_configuration_refuses_no_key_for_good(
    late: str,
):
    """It knows that it is behind, so that it must not call a key or route unknown."""

    @with_scenario
    async def test(scenario: Scenario):
        name = getattr(scenario, late)
        other = ({scenario.asked, scenario.responder} - {name}).pop()
        reads = await scenario.hold_reads(name)
        scenario.put_keys([KEY, NEW_KEY], ["key-b"])
        await scenario.wait_for_version(other)
        send = scenario.deployment.send_simple_request
        assert (await send(name, "r1", key=NEW_KEY)).status == 401
        assert len((await scenario.read("j1", KEY))[1]) == 2
        assert (await send(name, "r2", key=NEW_KEY)).status == 503
        assert (await send(name, "r3", target="/none/1")).status == 503
        reads.released.set()
        await scenario.wait_for_version(name)
        assert (await send(name, "r4", key="none")).status == 401
        assert (await send(name, "r5", target="/none/1")).status == 404

    test()


@with_scenario
async def test_entry_that_reads_its_configuration_anew_keeps_to_the_newest(
    scenario: Scenario,
):
    """The history with the change was dropped before the responder had read it."""
    deployment = scenario.deployment
    reads = await scenario.hold_reads(scenario.responder)
    scenario.put_keys([KEY, NEW_KEY], ["key-b"])
    scenario.put_keys([], ["key-b", KEY])
    await scenario.wait_for_version(scenario.asked)
    deployment.topic_store.get("keyed.op", 0).drop_history()
    assert await scenario.read("j1", KEY) == (404, [])
    reads.released.set()
    await scenario.wait_for_version(*ENTRIES)
    assert await scenario.read("j1", KEY) == (404, [])
    assert len((await scenario.read("j2", KEY))[1]) == 2
    assert (await scenario.read("j1", NEW_KEY))[0] == 401
