"""Changes whose records the store dropped before an entry had read them."""

import asyncio

import pytest

from buckthornstile.entry.tests.in_process import (
    API_KEY,
    PLAIN_SERVICE,
    InProcessDeployment,
    with_deployment,
)


async def drop_history_after(deployment: InProcessDeployment, change) -> None:
    """Makes a change that no entry can read before the history is dropped."""
    deployment.store_faults.add({"kind": "busy", "target": "read"})
    deployment.store_faults.add({"kind": "busy", "target": "newest"})
    await asyncio.sleep(0.6)  # longer than the long polls that are open
    change()
    for partition in deployment.topic_store.partitions.values():
        partition.drop_history()
    deployment.store_faults.clear()


async def restart_entry(deployment: InProcessDeployment, name: str) -> None:
    await deployment.kill_entry(name)
    await deployment.add_entry(name)


@pytest.mark.parametrize("restarts", [False, True])
def test_key_withdrawn_in_dropped_history_is_refused(restarts: bool) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        worker = deployment.add_worker("w1", PLAIN_SERVICE)
        entry = await deployment.add_entry("e1")
        assert (await deployment.send_simple_request("e1", "r1")).status == 200

        def withdraw() -> None:
            deployment.accounts[0]["apiKeys"] = ["another"]
            deployment.put_configuration()

        await drop_history_after(deployment, withdraw)
        if restarts:
            await restart_entry(deployment, "e1")
        await deployment.wait_for(
            lambda: deployment.entries["e1"].view.find_account(API_KEY) is None,
            timeout=entry.settings.key_bound,
        )
        runs = len(worker.list_runs())
        assert (await deployment.send_simple_request("e1", "r2")).status == 401
        response = await deployment.send_simple_request("e1", "r3", key="another")
        assert response.status == 200
        assert len(worker.list_runs()) == runs + 1

    test()


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("how", ["removed", "draining"])
def test_upstream_that_left_in_dropped_history_is_not_used(
    how: str, restarts: bool
) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        left = deployment.add_worker("w1", PLAIN_SERVICE)
        deployment.add_worker("w2", PLAIN_SERVICE)
        await deployment.add_entry("e1")

        def leave() -> None:
            if how == "removed":
                left.remove_registration()
            else:
                left.write_registration(state="draining", sequence=9)

        await drop_history_after(deployment, leave)
        if restarts:
            await restart_entry(deployment, "e1")
        # A record that is missing after an outage counts as gone only 2 s later.
        view = deployment.entries["e1"].view
        await deployment.wait_for(
            lambda: (
                [u.id for u in view.list_available_upstreams(PLAIN_SERVICE)] == ["w2"]
            ),
            timeout=4.0,
        )
        runs = len(left.list_runs())
        calls = (deployment.send_simple_request("e1", f"r{n}") for n in range(12))
        assert {response.status for response in await asyncio.gather(*calls)} == {200}
        assert len(left.list_runs()) == runs

    test()


@with_deployment
async def test_deadly_request_is_refused_beyond_dropped_history(
    deployment: InProcessDeployment,
) -> None:
    """Each entry learned of the crashes from records that were dropped."""
    body = b"deadly"
    for number in range(4):
        deployment.add_worker(f"w{number}", PLAIN_SERVICE, deadly_body=body)
    await deployment.add_entry("e1")

    async def send(entry: str, number: int) -> int:
        response = await deployment.send_request(
            entry,
            "POST",
            "/orders/7",
            request_id=f"deadly-{number}",
            body=body,
            headers=(("Deadline-Ms", "800"),),
        )
        return response.status

    def count_crashes() -> int:
        runs = [run for worker in workers for run in worker.list_runs()]
        return sum(run["body"] == body.decode() for run in runs)

    workers = list(deployment.workers.values())
    for number in range(8):
        await send("e1", number)
        await asyncio.sleep(0.2)
    crashes = count_crashes()
    assert crashes >= 2
    for partition in deployment.topic_store.partitions.values():
        partition.drop_history()
    await deployment.add_entry("e2")
    for number in range(6):
        assert await send("e2", 100 + number) == 503
    assert count_crashes() == crashes
