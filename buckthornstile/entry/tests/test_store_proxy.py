"""One entry is cut off from the store; others reach it and pass its calls on."""

import asyncio
import random

import pytest

from buckthornstile.base import PlatformUnavailableError
from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    find_port,
    make_job,
    make_text,
    with_deployment,
)
from buckthornstile.gateway import StoreProxySelector
from buckthornstile.platform import StoreClient


async def add_entries(deployment: InProcessDeployment) -> None:
    for name in ("e1", "e2"):
        await deployment.add_entry(name)
    for entry in deployment.entries.values():
        await deployment.wait_for(lambda one=entry: len(one.presence.list_live()) == 2)


@with_deployment
async def test_owner_that_is_cut_off_goes_on_listing_results(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("m1", MODEL_SERVICE, events=60, event_seconds=0.06)
    await add_entries(deployment)
    assert await deployment.submit("e1", make_job(2), "j1") == 202
    name, other = await deployment.find_owner("j1")
    owner = deployment.entries[name]
    address, owner.store.address = owner.store.address, f"127.0.0.1:{find_port()}"
    results = await deployment.read_all(other, "j1", 2)
    assert {one["text"] for one in results} == {make_text(f"i{n}", 60) for n in (0, 1)}
    job = deployment.entries[other].jobs.table.find("j1")
    assert (job.claim.owner, job.claim.epoch) == (owner.name, 1)
    assert owner.proxy_selector.is_direct_path_lost
    owner.store.address = address
    await deployment.wait_for(lambda: not owner.proxy_selector.is_direct_path_lost)


@with_deployment
async def test_calls_and_jobs_go_on_at_an_entry_that_is_cut_off(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    deployment.add_worker("m1", MODEL_SERVICE)
    await add_entries(deployment)
    entry = deployment.entries["e2"]
    entry.store.address = f"127.0.0.1:{find_port()}"
    # Longer than keys are trusted unseen.
    await asyncio.sleep(entry.settings.key_bound + 0.5)
    assert entry.is_ready()
    assert (await deployment.call("e2", "r1")).status == 200
    assert await deployment.submit("e2", make_job(2), "j1") == 202
    await deployment.read_all("e2", "j1", 2)
    deployment.accounts[0]["apiKeys"] = ["another"]
    deployment.put_configuration()
    await deployment.wait_for(lambda: entry.view.find_account("another") is not None)
    assert (await deployment.call("e2", "r2")).status == 401


@pytest.mark.parametrize("silent", [False, True])
def test_what_a_relay_says_of_an_append_is_true(silent: bool) -> None:
    """An append without an answer may have an effect; one not passed on has none."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        relay = await deployment.add_entry("e1")
        path = StoreProxySelector(
            relay.clock, lambda: [relay.settings.peer_address], random.Random(7)
        )
        path.is_direct_path_lost = True
        store = StoreClient("127.0.0.1:1", proxy_selector=path)
        assert await store.append("t", 0, [b"a"]) == 0
        if silent:
            deployment.faults.add({"kind": "silent", "seconds": 30})
        else:
            relay.store_proxy.selector = path
        with pytest.raises(PlatformUnavailableError) as caught:
            await store.append("t", 0, [b"a"], timeout=0.4)
        assert caught.value.may_have_taken_effect is silent

    test()


@with_deployment
async def test_no_entry_passes_calls_on_while_the_store_is_down(
    deployment: InProcessDeployment,
) -> None:
    await add_entries(deployment)
    await deployment.stop_store()
    paths = [entry.proxy_selector for entry in deployment.entries.values()]
    await deployment.wait_for(lambda: all(path.is_direct_path_lost for path in paths))
    deployment.start_store()
    await deployment.wait_for(
        lambda: not any(path.is_direct_path_lost for path in paths), timeout=3.0
    )
    await deployment.wait_for(
        lambda: all(one.is_ready() for one in deployment.entries.values())
    )
