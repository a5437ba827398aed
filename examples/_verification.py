"""Compares what callers and the trainer received with the stand-ins' journals."""

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
    """The samples that the trainer received.

    Args:
        samples: The samples, in the order of delivery.
        trainer_versions: The trainer's weight version at each delivery.
    """

    samples: list[ReceivedSample] = field(default_factory=list)
    trainer_versions: list[int] = field(default_factory=list)

    def record_sample(self, sample: ReceivedSample, trainer_version: int) -> None:
        """Records the delivery of a sample."""
        self.samples.append(sample)
        self.trainer_versions.append(trainer_version)

    def count_slots(self) -> "Counter[Slot]":
        """Counts the deliveries of each slot."""
        return Counter(sample.slot for sample in self.samples)

    def count_stale(self, maximum_age: int) -> int:
        """Counts the samples that exceeded the maximum age when they were delivered."""
        pairs = zip(self.samples, self.trainer_versions, strict=True)
        return sum(
            sample.oldest_version < version - maximum_age for sample, version in pairs
        )


def count_label_errors(
    samples: Iterable[ReceivedSample],
    lot: LotSpecification,
    journals: Iterable[Sequence[JournalEntry]],
) -> int:
    """Counts the samples whose text or labels don't match the engines' journals.

    A sample is correct if its text is the one of its prompt and seed, and if some run
    generated each event with the weight version that its label names.

    Args:
        samples: The samples that the trainer received.
        lot: The lot that it requested.
        journals: The engines' journals.
    """
    versions_by_event: dict[tuple[str, int], dict[int, set[int]]] = {}
    for journal in journals:
        for entry in journal:
            if "versions" in entry:
                body = json.loads(entry["body"])
                events = versions_by_event.setdefault(
                    (body["prompt"], body.get("seed", 0)), {}
                )
                first = int(entry["headers"].get("Last-Event-Id", 0))
                for number, version in enumerate(entry["versions"]):
                    events.setdefault(first + number, set()).add(version)
    return sum(
        not _is_sample_correct(sample, lot, versions_by_event) for sample in samples
    )


def _is_sample_correct(
    sample: ReceivedSample,
    lot: LotSpecification,
    versions_by_event: dict[tuple[str, int], dict[int, set[int]]],
) -> bool:
    group = lot.groups[sample.slot.group]
    seed = sample.slot.index
    tokens = generate_tokens(group.prompt, seed, group.max_tokens)
    if sample.text != "\n".join(tokens):
        return False
    events = versions_by_event.get((group.prompt, seed), {})
    labelled = {
        event: label.version
        for label in sample.labels
        for event in range(label.first, label.last + 1)
    }
    return len(labelled) == group.max_tokens and all(
        version in events.get(event, ()) for event, version in labelled.items()
    )


def count_order_runs(deployment: Deployment) -> "Counter[str]":
    """Counts the runs of each order on the plain services, by the order's name."""
    runs: Counter[str] = Counter()
    for worker in deployment.workers.values():
        for entry in worker.read_journal("run"):
            if entry["path"] == "/v1/orders":
                runs[json.loads(entry["body"])["order"]] += 1
    return runs


def count_key_leaks(deployment: Deployment, keys: Iterable[str]) -> int:
    """Counts the journal entries of workers and store that hold a key in clear text."""
    processes = [deployment.store, *deployment.workers.values()]
    entries = [
        json.dumps(entry)
        for process in processes
        if process.is_running
        for entry in process.read_journal()
    ]
    secrets = list(keys)
    return sum(any(key in entry for key in secrets) for entry in entries)


def find_withdrawal_time(deployment: Deployment, key_name: str) -> float:
    """Returns when the record that withdrew a key was appended to the store.

    Returns:
        Seconds since the epoch.

    Raises:
        LookupError: The store holds no such record.
    """
    for entry in deployment.store.read_journal("append"):
        data = entry["data"]
        if f'"name":"{key_name}"' in data and '"withdrawn":true' in data:
            return entry["at"]
    raise LookupError(f"the store holds no record that withdraws key {key_name}")
