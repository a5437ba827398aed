"""Named versions: loads that are ordered, and labels of events."""

import asyncio
from typing import Any

import pytest

from buckthornstile.entry.tests.world import (
    DESK,
    MODEL,
    MODELS,
    World,
    in_world,
    make_job,
)


@in_world
async def test_named_version_is_loaded_and_labelled(world: World) -> None:
    world.add_worker("w1", DESK)
    models = [world.add_worker(name, MODELS) for name in ("m1", "m2")]
    await world.add_entry("e1")
    world.name_version(2)
    world.name_version(3)
    await world.wait_for(lambda: all(one.state.versions[MODEL] == 3 for one in models))
    for model in models:
        model.write_entry()
        for order in model.list_orders():
            assert order["holder"] == "e1"
            assert order["precondition"] == 0
    assert await world.submit("e1", make_job(3, minimum=3), "j1") == 202
    for result in await world.read_all("e1", "j1", 3):
        assert result["versions"] == [3]


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "mute_order", "count": 1},
        {"kind": "late_order", "seconds": 1.5, "count": 1},
    ],
)
def test_unanswered_order_is_carried_out_once(fault: dict[str, Any]) -> None:
    @in_world
    async def test(world: World) -> None:
        world.add_worker("w1", DESK)
        model = world.add_worker("m1", MODELS)
        model.faults.add(dict(fault))
        await world.add_entry("e1")
        world.name_version(2)
        world.name_version(3)
        await world.wait_for(lambda: model.state.versions[MODEL] == 3)
        await asyncio.sleep(1.8)
        assert len(model.list_orders()) == 1

    test()


@in_world
async def test_no_event_of_older_weights_is_taken(world: World) -> None:
    world.add_worker("w1", DESK)
    old = world.add_worker("m1", MODELS)
    old.write_entry(models=[{"name": MODEL, "version": 5, "adapters": []}])
    await world.add_entry("e1")
    assert await world.submit("e1", make_job(1, minimum=5), "j1") == 202
    await world.wait_for(old.list_runs)
    await asyncio.sleep(0.3)
    assert (await world.read_results("e1", "j1"))[1]["results"] == []
    old.state.versions[MODEL] = 5
    (result,) = await world.read_all("e1", "j1", 1)
    assert result["versions"] == [5]
