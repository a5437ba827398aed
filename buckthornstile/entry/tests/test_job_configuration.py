"""Jobs whose owner knows an older configuration than the entry that accepted them."""

import asyncio

from buckthornstile.entry.tests.in_process import (
    MODEL_NAME,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)
from buckthornstile.entry.tests.test_forwarded_keys import Reads

NEW_SERVICE = "models-2"


def put_route(deployment: InProcessDeployment, service: str, **changes: object) -> None:
    """Puts a configuration in which the route of the jobs has this service."""
    routes = [
        route | {"service": service} | changes if route["name"] == "steps" else route
        for route in deployment.routes
    ]
    services = [
        {
            "name": name,
            "healthPath": "/healthz",
            "maxConnections": 50,
            "engine": {"models": [{"name": MODEL_NAME}]},
        }
        for name in (MODEL_SERVICE, NEW_SERVICE)
    ]
    services.append(
        {"name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConnections": 50}
    )
    deployment.put_configuration(routes=routes, services=services)


async def start(deployment: InProcessDeployment) -> tuple[str, str]:
    """Starts two entries and returns the one that owns the jobs, and the other."""
    deployment.add_worker("m1", MODEL_SERVICE)
    deployment.add_worker("m2", NEW_SERVICE, versions={MODEL_NAME: 1})
    put_route(deployment, MODEL_SERVICE)
    for name in ("e1", "e2"):
        await deployment.add_entry(name)
    await deployment.wait_for(
        lambda: all(
            len(e.presence.list_live()) == 2 for e in deployment.entries.values()
        )
    )
    assert await deployment.submit_job("e1", make_job(1, scored=False), "j0") == 202
    await deployment.wait_for_results("e1", "j0", 1)
    return await deployment.find_job_owner("j0")


@with_deployment
async def test_items_are_not_sent_to_the_service_of_an_older_configuration(
    deployment: InProcessDeployment,
) -> None:
    """The owner sent them to the service that the route had before the 202."""
    owner, other = await start(deployment)
    reads = Reads(deployment.entries[owner])
    await deployment.wait_for(reads.is_held.is_set)
    put_route(deployment, NEW_SERVICE)
    version = deployment.configuration_version
    await deployment.wait_for(
        lambda: deployment.entries[other].view.configuration.version == version
    )
    runs_before = len(deployment.workers["m1"].list_runs())
    job = make_job(2, prefix="late-", scored=False)
    assert await deployment.submit_job(other, job, "j1") == 202
    assert (await deployment.find_job_owner("j1"))[0] == owner
    await asyncio.sleep(0.6)
    assert deployment.entries[owner].job_manager.count_held() == 1
    reads.released.set()
    results = await deployment.wait_for_results(other, "j1", 2)
    assert {result["state"] for result in results} == {"complete"}
    assert len(deployment.workers["m1"].list_runs()) == runs_before
    assert deployment.workers["m2"].list_runs()


@with_deployment
async def test_item_is_not_reused_under_an_older_configuration(
    deployment: InProcessDeployment,
) -> None:
    """The older route allowed a text of several versions, the newer one forbids it."""
    worker = deployment.add_worker("m3", MODEL_SERVICE, events=8, event_seconds=0.1)
    owner, other = await start(deployment)
    deployment.workers["m1"].remove_registration()
    first = make_job(1, prefix="again-", scored=False)
    assert await deployment.submit_job(other, first, "j1") == 202
    await deployment.wait_for(worker.list_runs)
    await asyncio.sleep(0.3)
    worker.state.versions[MODEL_NAME] = 2  # in the middle of the text
    worker.write_registration(sequence=2)
    results = await deployment.wait_for_results(other, "j1", 1)
    assert results[0]["versions"] == [1, 2]
    reads = Reads(deployment.entries[owner])
    await deployment.wait_for(reads.is_held.is_set)
    put_route(deployment, MODEL_SERVICE, singleVersion=True)
    version = deployment.configuration_version
    await deployment.wait_for(
        lambda: deployment.entries[other].view.configuration.version == version
    )
    assert await deployment.submit_job(other, first, "j2") == 202
    await asyncio.sleep(0.6)
    reads.released.set()
    results = await deployment.wait_for_results(other, "j2", 1)
    assert results[0]["versions"] == [2]
