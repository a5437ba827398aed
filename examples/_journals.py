"""Compares what callers and the trainer got with what the stand-ins saw."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from buckthornstile import LotSpecification, ReceivedSample, Slot
from examples._callers import make_tokens
from standins.deployment import Deployment

JournalEntry = dict[str, Any]


@dataclass(slots=True)
class LotTally:
    """What the trainer got.

    Args:
        samples: Each sample, in the order of delivery.
        trainer_versions: The trainer's version at each delivery.
    """

    samples: list[ReceivedSample] = field(default_factory=list)
    trainer_versions: list[int] = field(default_factory=list)

    def add(self, sample: ReceivedSample, trainer_version: int) -> None:
        """Notes a delivery."""
        self.samples.append(sample)
        self.trainer_versions.append(trainer_version)

    def count_slots(self) -> "Counter[Slot]":
        """Counts the deliveries of each slot."""
        return Counter(sample.slot for sample in self.samples)

    def count_too_old(self, maximum_age: int) -> int:
        """Counts samples older than the bound when they were delivered."""
        pairs = zip(self.samples, self.trainer_versions, strict=True)
        return sum(
            sample.oldest_version < version - maximum_age for sample, version in pairs
        )


def count_label_errors(
    samples: Iterable[ReceivedSample],
    lot: LotSpecification,
    journals: Iterable[Sequence[JournalEntry]],
) -> int:
    """Counts samples that no run in the engines' journals vouches for.

    A sample is right if some run of its prompt and seed made just these tokens
    with just these versions, all of them labelled.

    Args:
        samples: What the trainer got.
        lot: What it asked for.
        journals: The engines' journals.
    """
    runs: dict[tuple[str, str], list[JournalEntry]] = {}
    for journal in journals:
        for entry in journal:
            if entry["what"] == "completion" and entry.get("outcome") == "whole":
                body = json.loads(entry["body"])
                tokens = make_tokens(
                    body["prompt"], body["max_tokens"], seed=body.get("seed", 0)
                )
                key = (body["prompt"], "".join(tokens))
                runs.setdefault(key, []).append(entry)
    return sum(not _is_vouched_for(sample, lot, runs) for sample in samples)


def _is_vouched_for(
    sample: ReceivedSample,
    lot: LotSpecification,
    runs: dict[tuple[str, str], list[JournalEntry]],
) -> bool:
    prompt = lot.groups[sample.slot.group].prompt
    labels = [[label.first, label.last, label.version] for label in sample.labels]
    made = runs.get((prompt, sample.text), ())
    return any(labels == run["true_ranges"] for run in made)


def count_order_runs(deployment: Deployment) -> "Counter[str]":
    """Counts how often plain services ran each order, by the order's name."""
    runs: Counter[str] = Counter()
    for upstream in deployment.upstreams.values():
        for entry in upstream.read_journal("run"):
            if entry["uri"] == "/v1/orders":
                runs[json.loads(entry["body"])["order"]] += 1
    return runs


def count_keys_seen(deployment: Deployment, keys: Iterable[str]) -> int:
    """Counts journal entries of upstreams and platform that hold a key in clear."""
    processes = [deployment.platform, *deployment.upstreams.values()]
    entries = [
        json.dumps(entry)
        for process in processes
        if process.is_running
        for entry in process.read_journal()
    ]
    secrets = list(keys)
    return sum(any(key in entry for key in secrets) for entry in entries)


def find_withdrawal(deployment: Deployment, key_name: str) -> float:
    """Finds when the log took the record that withdrew a key.

    Returns:
        Seconds since the epoch.
    """
    for entry in deployment.platform.read_journal("append"):
        for item in _list_put_items(entry["data"]):
            if item.get("name") == key_name and item.get("withdrawn"):
                return entry["at"]
    raise LookupError(f"the log holds no withdrawal of {key_name}")


def _list_put_items(data: str) -> list[dict[str, Any]]:
    record = json.loads(data)
    return [item for item in record.get("put", ()) if item.get("kind") == "key"]
