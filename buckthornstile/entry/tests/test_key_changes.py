"""The account of a key changes while a request waits."""

import asyncio
from typing import Any

import pytest

from buckthornstile.base import (
    BuckthornstileError,
    PlatformUnavailableError,
    SoftwareVersion,
)
from buckthornstile.entry.tests.in_process import (
    API_KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)
from buckthornstile.entry.tests.test_streams import add_route, read_stream
from buckthornstile.http_client import _connection_pool
from buckthornstile.jobs import JobId
from buckthornstile.messages import RoutedCall

CHANGES = pytest.mark.parametrize(
    "accounts, status",
    [({"mill": [], "quay": [API_KEY]}, 503), ({"mill": [], "quay": []}, 401)],
    ids=["moved", "withdrawn"],
)


async def change_keys(
    deployment: InProcessDeployment, accounts: dict[str, list[str]]
) -> None:
    """Puts a configuration with these keys in effect."""
    deployment.put_configuration(
        tenants=[{"name": name, "apiKeys": keys} for name, keys in accounts.items()]
    )
    entry = deployment.entries["e1"]
    version = deployment.configuration_version
    await deployment.wait_for(lambda: entry.view.configuration.version == version)


class FailingAppends:
    """Refuses appends to the topic of jobs until it is told to pass them on."""

    def __init__(self, deployment: InProcessDeployment, *, is_refused: bool) -> None:
        self.is_refused = is_refused
        self.has_failed = asyncio.Event()
        self.passes = False
        store = deployment.entries["e1"].store
        self.append, store.append = store.append, self.append_or_fail

    async def append_or_fail(self, topic: str, *arguments: Any, **options: Any) -> int:
        if topic != "keyed.jobs" or self.passes:
            return await self.append(topic, *arguments, **options)
        self.has_failed.set()
        raise PlatformUnavailableError(
            "refused", may_have_taken_effect=not self.is_refused
        )


@CHANGES
def test_results_are_not_returned_after_a_held_read(
    accounts: dict[str, list[str]], status: int
):
    """A read that was held for a result returned it to a key of another account."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        worker = deployment.add_worker("m1", MODEL_SERVICE)
        worker.faults.add({"kind": "full"})
        entry = await deployment.add_entry("e1")
        assert await deployment.submit_job("e1", make_job(scored=False), "j1") == 202
        await deployment.wait_for(lambda: entry.job_store.table.find(JobId("j1")))
        reading = asyncio.create_task(deployment.read_results("e1", "j1", wait=900))
        job = entry.job_store.table.find(JobId("j1"))
        await deployment.wait_for(lambda: job.change_callbacks)
        await change_keys(deployment, accounts)
        assert (await reading)[0] == status

    test()


@CHANGES
def test_job_is_looked_up_for_the_account_after_the_wait(
    accounts: dict[str, list[str]], status: int
):
    """A job that was read meanwhile was returned to a key of another account."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        deployment.add_worker("m1", MODEL_SERVICE)
        entry = await deployment.add_entry("e1")
        consumer = entry.job_store.consumers[entry.job_store.find_partition("mill")]
        is_waiting, may_go_on = asyncio.Event(), asyncio.Event()

        async def wait_until_synced(timeout: float) -> bool:
            is_waiting.set()
            await may_go_on.wait()
            return True

        consumer.wait_until_synced = wait_until_synced
        reading = asyncio.create_task(deployment.read_results("e1", "j1"))
        await deployment.wait_for(is_waiting.is_set)
        assert await deployment.submit_job("e1", make_job(scored=False), "j1") == 202
        await deployment.wait_for(lambda: entry.job_store.table.find(JobId("j1")))
        await change_keys(deployment, accounts)
        may_go_on.set()
        assert (await reading)[0] == status

    test()


@CHANGES
def test_job_is_not_ended_with_a_key_that_was_taken_away(
    accounts: dict[str, list[str]], status: int
):
    """The end was appended with a retry, after the key had gone to another account."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        worker = deployment.add_worker("m1", MODEL_SERVICE)
        worker.faults.add({"kind": "full"})
        entry = await deployment.add_entry("e1")
        assert await deployment.submit_job("e1", make_job(scored=False), "j1") == 202
        await deployment.wait_for(lambda: entry.job_store.table.find(JobId("j1")))
        appends = FailingAppends(deployment, is_refused=True)
        ending = asyncio.create_task(
            deployment.send_request("e1", "DELETE", "/-/lots/j1")
        )
        await deployment.wait_for(appends.has_failed.is_set)
        await change_keys(deployment, accounts)
        appends.passes = True
        assert (await ending).status == status
        assert not entry.job_store.table.find(JobId("j1")).ended

    test()


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "unknown"])
@CHANGES
def test_job_is_not_accepted_with_a_key_that_was_taken_away(
    accounts: dict[str, list[str]], status: int, is_refused: bool
):
    """The job was appended with a retry, for the account that the key had left."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        entry = await deployment.add_entry("e1")
        appends = FailingAppends(deployment, is_refused=is_refused)
        submitting = asyncio.create_task(
            deployment.submit_job("e1", make_job(scored=False), "j1")
        )
        await deployment.wait_for(appends.has_failed.is_set)
        await change_keys(deployment, accounts)
        appends.passes = True
        # A refused append is known not to be in the store; another one may be.
        expected = 502 if status == 503 and not is_refused else status
        assert await submitting == expected
        await asyncio.sleep(0.5)
        assert entry.job_store.table.find(JobId("j1")) is None

    test()


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "unknown"])
def test_job_is_not_accepted_under_a_route_that_has_changed(is_refused: bool):
    """An owner that knew the version of the first append only ran it as before."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        entry = await deployment.add_entry("e1")
        appends = FailingAppends(deployment, is_refused=is_refused)
        submitting = asyncio.create_task(
            deployment.submit_job("e1", make_job(scored=False), "j1")
        )
        await deployment.wait_for(appends.has_failed.is_set)
        deployment.routes[-1]["service"] = PLAIN_SERVICE
        await change_keys(deployment, {"mill": [API_KEY]})
        appends.passes = True
        assert await submitting == (503 if is_refused else 502)
        await asyncio.sleep(0.5)
        assert entry.job_store.table.find(JobId("j1")) is None
        assert await deployment.submit_job("e1", make_job(scored=False), "j1") == 202

    test()


@CHANGES
def test_stream_is_not_taken_up_with_a_key_that_was_taken_away(
    accounts: dict[str, list[str]], status: int
):
    """It waits for the version of the software that began the stream."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=True)
        worker = deployment.add_worker("m1", MODEL_SERVICE)
        entry = await deployment.add_entry("e1")
        is_waiting, may_go_on = asyncio.Event(), asyncio.Event()

        async def find_version(call: RoutedCall) -> SoftwareVersion:
            is_waiting.set()
            await may_go_on.wait()
            return SoftwareVersion(worker.state.software_version)

        entry.stream_versions.find_version = find_version
        headers = (("Deadline-Ms", "3000"), ("Last-Event-Id", "2"), ("Resumes", "r0"))
        sending = asyncio.create_task(
            deployment.send_simple_request(
                "e1", "r1", target="/notes/1", headers=headers
            )
        )
        await deployment.wait_for(is_waiting.is_set)
        await change_keys(deployment, accounts)
        may_go_on.set()
        assert (await sending).status == status
        assert worker.list_runs() == []

    test()


class HeldConnects:
    """Holds back connections to one address."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, port: int) -> None:
        self.port = port
        self.is_held, self.released = asyncio.Event(), asyncio.Event()
        self.connect = _connection_pool._connect
        monkeypatch.setattr(_connection_pool, "_connect", self.connect_late)

    async def connect_late(self, address: str, timeout: float):
        stream = await self.connect(address, timeout)
        if address.endswith(f":{self.port}"):
            self.is_held.set()
            await self.released.wait()
        return stream


@pytest.mark.parametrize("kind", ["call", "stream"])
@CHANGES
def test_request_is_not_sent_for_the_account_that_its_key_has_left(
    accounts: dict[str, list[str]],
    status: int,
    kind: str,
    monkeypatch: pytest.MonkeyPatch,
):
    """It waited for a connection, and was run in the name of the former account."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=False)
        service = PLAIN_SERVICE if kind == "call" else MODEL_SERVICE
        worker = deployment.add_worker("w1", service)
        entry = await deployment.add_entry("e1")
        connects = HeldConnects(monkeypatch, worker.port)
        sending = asyncio.create_task(
            deployment.send_simple_request("e1", "r1", target="/once/7")
            if kind == "call"
            else read_stream(deployment, "r1", [])
        )
        await deployment.wait_for(connects.is_held.is_set)
        await change_keys(deployment, accounts)
        connects.released.set()
        assert (await sending).status == status
        assert worker.list_runs() == []
        upstream = entry.view.upstreams["w1"]
        assert not entry.balancer.is_ejected(upstream)

    test()


@pytest.mark.parametrize("is_withdrawn", [False, True], ids=["outage", "withdrawn"])
def test_broken_stream_is_resumed_in_an_outage_but_not_with_a_withdrawn_key(
    is_withdrawn: bool, monkeypatch: pytest.MonkeyPatch
):
    """The age limit holds for new requests; a known change holds for all sends."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        add_route(deployment, resumable=True)
        for name in ("m1", "m2"):
            worker = deployment.add_worker(name, MODEL_SERVICE)
            worker.faults.add({"kind": "stall", "value": 2, "seconds": 0.5, "count": 1})
        entry = await deployment.add_entry("e1")
        chunks: list[bytes] = []
        reading = asyncio.create_task(read_stream(deployment, "r1", chunks))
        await deployment.wait_for(lambda: chunks)
        if is_withdrawn:
            await change_keys(deployment, {"mill": [], "quay": []})
        else:
            checker = entry.client_handlers.dependencies.key_checker
            monkeypatch.setattr(checker, "key_bound", 0.0)
        first = next(w for w in deployment.workers.values() if w.list_runs())
        await first.stop()
        if is_withdrawn:
            with pytest.raises(BuckthornstileError):
                await reading
        else:
            assert (await reading).status == 200
        others = [w for w in deployment.workers.values() if w is not first]
        assert bool(others[0].list_runs()) is not is_withdrawn

    test()
