"""Model versions: load orders to engines, and versions of results."""

import asyncio
from typing import Any

import pytest

from buckthornstile.entry.tests.in_process import (
    MODEL_NAME,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_job,
    with_deployment,
)


@with_deployment
async def test_set_version_is_loaded_and_shown_in_results(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    models = [deployment.add_worker(name, MODEL_SERVICE) for name in ("m1", "m2")]
    await deployment.add_entry("e1")
    deployment.set_version(2)
    deployment.set_version(3)
    await deployment.wait_for(
        lambda: all(model.state.versions[MODEL_NAME] == 3 for model in models)
    )
    for model in models:
        model.write_registration()
        for order in model.list_load_orders():
            assert order["holder"] == "e1"
            assert order["precondition"] == 0
    assert (
        await deployment.submit_job("e1", make_job(3, minimum_version=3), "j1") == 202
    )
    for result in await deployment.wait_for_results("e1", "j1", 3):
        assert result["versions"] == [3]


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "mute_order", "count": 1},
        {"kind": "late_order", "seconds": 1.5, "count": 1},
    ],
)
def test_load_order_without_a_response_is_executed_once(fault: dict[str, Any]) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        deployment.add_worker("w1", PLAIN_SERVICE)
        model = deployment.add_worker("m1", MODEL_SERVICE)
        model.faults.add(dict(fault))
        await deployment.add_entry("e1")
        deployment.set_version(2)
        deployment.set_version(3)
        await deployment.wait_for(lambda: model.state.versions[MODEL_NAME] == 3)
        # Longer than the delay of the late order.
        await asyncio.sleep(1.8)
        assert len(model.list_load_orders()) == 1

    test()


@with_deployment
async def test_result_of_older_version_than_minimum_is_not_accepted(
    deployment: InProcessDeployment,
) -> None:
    deployment.add_worker("w1", PLAIN_SERVICE)
    model = deployment.add_worker("m1", MODEL_SERVICE)
    model.write_registration(
        models=[{"name": MODEL_NAME, "version": 5, "adapters": []}]
    )
    await deployment.add_entry("e1")
    assert (
        await deployment.submit_job("e1", make_job(1, minimum_version=5), "j1") == 202
    )
    await deployment.wait_for(model.list_runs)
    await asyncio.sleep(0.3)
    assert await deployment.wait_for_results("e1", "j1", 0) == []
    model.state.versions[MODEL_NAME] = 5
    (result,) = await deployment.wait_for_results("e1", "j1", 1)
    assert result["versions"] == [5]
