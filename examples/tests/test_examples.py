"""The examples run against a deployment of separate processes."""

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
    return apply_sheet.apply_sheet(
        sheet, deployment.store.url.removeprefix("http://"), urls
    )


def test_sheet_that_is_applied_twice_changes_nothing(deployment, keys):
    assert set(keys) == {"mill-7-clerks", "geometry-trainers"}
    urls = ",".join(deployment.entry_urls)
    sheet = str(demo.SHEET)
    second_keys = apply_sheet.apply_sheet(
        sheet, deployment.store.url.removeprefix("http://"), urls
    )
    assert second_keys == {}
    assert deployment.read_status("entry-1")["configuration"]["revision"] == 1


def test_caller_gets_correct_responses(deployment, keys):
    client = CallerClient(deployment.entry_urls, keys["mill-7-clerks"])

    async def run():
        return [
            await caller.place_order(client, "blade-7"),
            await caller.place_order(client, "blade-7"),
            await caller.look_up_order(client, "blade-7"),
            await caller.stream_completion(client, "how to set a ripping blade"),
        ]

    first, second, lookup_message, completion = asyncio.run(run())
    assert first == second == "order blade-7 was placed, status 200"
    assert lookup_message.endswith("status 200")
    assert len(completion.split()) == 8
    runs = deployment.workers["desk-1"].read_journal("run")
    assert [entry["path"] for entry in runs].count("/v1/orders") == 1


def test_caller_with_unknown_key_learns_that_order_was_not_placed(deployment, keys):
    client = CallerClient(deployment.entry_urls, "wrong")
    message = asyncio.run(caller.place_order(client, "blade-8"))
    assert message == "order blade-8 was not placed (key.unknown); send it again"


def test_trainer_gets_all_samples_of_each_lot(deployment, keys):
    key = keys["geometry-trainers"]
    trainer = TrainerClient(deployment.entry_urls, key, "geometry")
    counts = asyncio.run(trainer_loop.run_steps(trainer, version=1))
    assert counts == [8, 8, 8]


def test_explain_shows_only_events_of_its_subject(deployment, keys):
    url = deployment.entry_urls[0]
    status, response = apply_sheet.run_command(
        "explain", "configuration", f"--entries={url}"
    )
    assert status == 0
    assert {event["event"] for event in response["events"]} == {
        "configuration.in_force"
    }
    assert response["errors"] == {}
    _, complete = apply_sheet.run_command("explain", f"--entries={url}")
    assert len(complete["events"]) > len(response["events"])
