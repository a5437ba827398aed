"""Odd records in the topics of the store hurt nothing else."""

import json
import zlib

import pytest

from buckthornstile.entry.tests.in_process import (
    MODEL_SERVICE,
    PLAIN_SERVICE,
    InProcessDeployment,
    make_expected_text,
    make_job,
    with_deployment,
)
from buckthornstile.platform import encode_keyed_record

KEYS = [
    "s/odd//0.1",
    "s/odd//0.0",
    "s/odd//5.2",
    "s/odd//0.99999999999",
    "o/j1//0.1",
    "r/j1/i0/7.2",
    "r/j1/nothing/0.1",
    "p/j1/i0/0.1",
    "p/j1/i1/3.1",
    "x/y",
    "",
]
VALUES = {
    "no-zlib": b"x",
    "not-text": b"\xff\xfe",
    "number": zlib.compress(b"5"),
    "list": zlib.compress(b"[]"),
    "empty": zlib.compress(b"{}"),
    "other-types": zlib.compress(
        json.dumps({"account": 1, "host": 2, "items": [[1, 2, 3]]}).encode()
    ),
    "empty-list": b"[]",
    "null": b"null",
    "short-event": b"[[1, 2]]",
    "infinite": b'[[1e999, "a", 2]]',
    "claim": b'["e1", 1e999]',
    "deep": b"[" * 100_000,
    "long-number": b"9" * 5000,
}


def put_odd_records(deployment: InProcessDeployment, value: bytes) -> None:
    for part in range(2):
        partition = deployment.topic_store.get("keyed.jobs", part)
        partition.append([encode_keyed_record(key, value) for key in KEYS])


async def run_job(deployment: InProcessDeployment, job_id: str, prefix: str) -> None:
    job = make_job(2, prefix=prefix)
    assert await deployment.submit_job("e1", job, job_id) == 202
    results = await deployment.wait_for_results("e1", job_id, 2)
    assert {result["text"] for result in results} == {
        make_expected_text(f"{prefix}{number}") for number in range(2)
    }


@pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
def test_odd_records_hurt_no_other_job(value: bytes) -> None:
    """One record kept an entry from loading, or from doing anything at all."""

    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        deployment.add_worker("w1", PLAIN_SERVICE)
        deployment.add_worker("m1", MODEL_SERVICE)
        put_odd_records(deployment, value)
        await deployment.add_entry("e1")
        await run_job(deployment, "j2", "a")
        put_odd_records(deployment, value)
        await run_job(deployment, "j3", "b")
        # The entry reads the records again, as the newest of their keys.
        for partition in deployment.topic_store.partitions.values():
            partition.drop_history()
        await run_job(deployment, "j4", "c")
        await deployment.kill_entry("e1")
        await deployment.add_entry("e1")
        await run_job(deployment, "j5", "d")

    test()


TOPICS = ["presence", "duties", "keyed.crashes", "keyed.op", "keyed.servers"]
ODD_KEYS = ["", "x", "config", "version/llm", "evacuate/", "a/b", "w1/x/y", "\x00"]


@pytest.mark.parametrize("topic", TOPICS)
def test_odd_records_of_other_topics_hurt_nothing(topic: str) -> None:
    @with_deployment
    async def test(deployment: InProcessDeployment) -> None:
        def put_records() -> None:
            partition = deployment.topic_store.get(topic, 0)
            for value in VALUES.values():
                if topic.startswith("keyed."):
                    records = [encode_keyed_record(key, value) for key in ODD_KEYS]
                else:
                    records = [value]
                partition.append(records)

        deployment.add_worker("w1", PLAIN_SERVICE)
        deployment.add_worker("m1", MODEL_SERVICE)
        put_records()
        deployment.put_configuration()
        entry = await deployment.add_entry("e1")
        await run_job(deployment, "j2", "a")
        put_records()
        deployment.put_configuration()
        await run_job(deployment, "j3", "b")
        lease = entry.lease_holder_tasks.lease_manager.lease
        await deployment.wait_for(lease.is_held)
        for partition in deployment.topic_store.partitions.values():
            partition.drop_history()
        await deployment.kill_entry("e1")
        deployment.put_configuration()
        await deployment.add_entry("e1")
        await run_job(deployment, "j4", "c")

    test()
