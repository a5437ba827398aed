"""Compares what callers and the trainer got with what the stand-ins saw."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from buckthornstile import LotSpecification, ReceivedSample, Slot
from standins.deployment import Deployment
from standins.worker import generate_tokens

JournalEntry = dict[str, Any]


@dataclass(slots=True)
class LotStatistics:
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

    A sample is right if it is the text of its prompt and seed, and if for each event
    some run made it under the version that its label names.

    Args:
        samples: What the trainer got.
        lot: What it asked for.
        journals: The engines' journals.
    """
    truth: dict[tuple[str, int], dict[int, set[int]]] = {}
    for journal in journals:
        for entry in journal:
            if "versions" in entry:
                body = json.loads(entry["body"])
                events = truth.setdefault((body["prompt"], body.get("seed", 0)), {})
                first = int(entry["headers"].get("Last-Event-Id", 0))
                for number, version in enumerate(entry["versions"]):
                    events.setdefault(first + number, set()).add(version)
    return sum(not _is_vouched_for(sample, lot, truth) for sample in samples)


def _is_vouched_for(
    sample: ReceivedSample,
    lot: LotSpecification,
    truth: dict[tuple[str, int], dict[int, set[int]]],
) -> bool:
    group = lot.groups[sample.slot.group]
    seed = sample.slot.index
    tokens = generate_tokens(group.prompt, seed, group.max_tokens)
    if sample.text != "\n".join(tokens):
        return False
    events = truth.get((group.prompt, seed), {})
    labelled = {
        event: label.version
        for label in sample.labels
        for event in range(label.first, label.last + 1)
    }
    return len(labelled) == group.max_tokens and all(
        version in events.get(event, ()) for event, version in labelled.items()
    )


def count_order_runs(deployment: Deployment) -> "Counter[str]":
    """Counts how often plain services ran each order, by the order's name."""
    runs: Counter[str] = Counter()
    for worker in deployment.workers.values():
        for entry in worker.read_journal("run"):
            if entry["path"] == "/v1/orders":
                runs[json.loads(entry["body"])["order"]] += 1
    return runs


def count_keys_seen(deployment: Deployment, keys: Iterable[str]) -> int:
    """Counts journal entries of workers and store that hold a key in clear."""
    processes = [deployment.store, *deployment.workers.values()]
    entries = [
        json.dumps(entry)
        for process in processes
        if process.is_running
        for entry in process.read_journal()
    ]
    secrets = list(keys)
    return sum(any(key in entry for key in secrets) for entry in entries)


def find_withdrawal(deployment: Deployment, key_name: str) -> float:
    """Finds when the store took the record that withdrew a key.

    Returns:
        Seconds since the epoch.
    """
    for entry in deployment.store.read_journal("append"):
        data = entry["data"]
        if f'"name":"{key_name}"' in data and '"withdrawn":true' in data:
            return entry["at"]
    raise LookupError(f"the store holds no withdrawal of {key_name}")
