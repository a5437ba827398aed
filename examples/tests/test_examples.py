"""Every example runs against a deployment of separate processes."""

import asyncio

import pytest

from buckthornstile import CallerClient, TrainerClient
from examples import apply_sheet, caller, demo, trainer_loop
from standins.deployment import Deployment


@pytest.fixture(scope="module")
def deployment():
    with Deployment() as started:
        started.add_engine("model-1", "bench-a", "geometry-models")
        started.add_worker("desk-1", "bench-a", "shop-desk")
        started.add_entry("entry-1", "bench-a")
        yield started


@pytest.fixture(scope="module")
def keys(deployment):
    urls = ",".join(deployment.entry_urls)
    sheet = str(demo.SHEET)
    return apply_sheet.apply_morning_sheet(
        sheet, deployment.store.url.removeprefix("http://"), urls
    )


def test_a_sheet_is_applied_once(deployment, keys):
    assert set(keys) == {"mill-7-clerks", "geometry-trainers"}
    urls = ",".join(deployment.entry_urls)
    sheet = str(demo.SHEET)
    again = apply_sheet.apply_morning_sheet(
        sheet, deployment.store.url.removeprefix("http://"), urls
    )
    assert again == {}
    assert deployment.read_status("entry-1")["configuration"]["revision"] == 1


def test_a_caller_gets_its_answers(deployment, keys):
    client = CallerClient(deployment.entry_urls, keys["mill-7-clerks"])

    async def run():
        return [
            await caller.place_order(client, "blade-7"),
            await caller.place_order(client, "blade-7"),
            await caller.look_up(client, "blade-7"),
            await caller.complete(client, "how to set a ripping blade"),
        ]

    first, second, found, text = asyncio.run(run())
    assert first == second == "order blade-7 was placed, status 200"
    assert found.endswith("status 200")
    assert len(text.split()) == 8
    runs = deployment.workers["desk-1"].read_journal("run")
    assert [entry["path"] for entry in runs].count("/v1/orders") == 1


def test_a_caller_is_told_that_an_order_was_not_placed(deployment, keys):
    client = CallerClient(deployment.entry_urls, "wrong")
    said = asyncio.run(caller.place_order(client, "blade-8"))
    assert said == "order blade-8 was not placed (key.unknown); send it again"


def test_a_trainer_gets_every_lot(deployment, keys):
    key = keys["geometry-trainers"]
    trainer = TrainerClient(deployment.entry_urls, key, "geometry")
    counts = asyncio.run(trainer_loop.run_steps(trainer, version=1))
    assert counts == [8, 8, 8]


def test_an_operator_sees_what_concerns_a_subject(deployment, keys):
    url = deployment.entry_urls[0]
    status, answer = apply_sheet.run("explain", "configuration", f"--entries={url}")
    assert status == 0
    assert {event["event"] for event in answer["events"]} == {"configuration.in_force"}
    assert answer["errors"] == {}
    _, whole = apply_sheet.run("explain", f"--entries={url}")
    assert len(whole["events"]) > len(answer["events"])
